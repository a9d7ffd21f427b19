//! The set of purges, compared with a simple model: a list of all purges.

use crate::common::ms;
use copperroute_routing::interface::Nanos;
use copperroute_routing::purges::{MAX_PURGES, Purged, Purges};
use proptest::prelude::*;

/// All purges in the order of arrival, searched linearly.
#[derive(Default)]
struct PurgeList(Vec<(Purged, Nanos)>);

impl PurgeList {
    fn add(&mut self, what: Purged, at: Nanos) {
        self.0.push((what, at));
    }

    fn forget(&mut self, now: Nanos, span: Nanos) {
        self.0.retain(|purge| now.since(purge.1) <= span);
    }

    fn last(&self, object: u64, group: Option<u64>) -> Option<Nanos> {
        let meant = |purge: &&(Purged, Nanos)| match purge.0 {
            Purged::Object(hash) => object == hash,
            Purged::Group(of) => group == Some(of),
            Purged::Anything => true,
        };
        self.0.iter().filter(meant).map(|purge| purge.1).max()
    }
}

/// A step of the property test: a purge of some age, time that passes, or old purges that are dropped.
#[derive(Debug, Clone)]
enum Step {
    Purge(Purged, u64),
    Pass(u64),
    Forget(u64),
}

fn purged() -> impl Strategy<Value = Purged> {
    prop_oneof![
        12 => (0_u64..12).prop_map(Purged::Object),
        4 => (0_u64..4).prop_map(Purged::Group),
        1 => Just(Purged::Anything),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (purged(), 0_u64..12_000).prop_map(|(what, age_ms)| Step::Purge(what, age_ms)),
        2 => (0_u64..3_000).prop_map(Step::Pass),
        // The span may change with the settings.
        2 => (1_000_u64..9_000).prop_map(Step::Forget),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn answers_match_a_list_of_all_purges(steps in prop::collection::vec(step(), 1..120)) {
        let (mut purges, mut list) = (Purges::default(), PurgeList::default());
        let mut now = ms(20_000);
        for step in steps {
            match step {
                Step::Purge(what, age_ms) => {
                    purges.add(what, now.since(ms(age_ms)));
                    list.add(what, now.since(ms(age_ms)));
                }
                Step::Pass(passed_ms) => now = now.after(ms(passed_ms)),
                Step::Forget(span_ms) => {
                    purges.forget(now, ms(span_ms));
                    list.forget(now, ms(span_ms));
                }
            }
            prop_assert!(purges.len() <= list.0.len());
            for object in 0..13 {
                for group in [None, Some(0), Some(3), Some(5)] {
                    prop_assert_eq!(purges.last(object, group), list.last(object, group));
                }
            }
        }
        purges.forget(now.after(ms(60_000)), ms(9_000));
        prop_assert!(purges.is_empty());
    }
}

#[test]
fn purges_over_the_bound_become_one_of_any_object() {
    let mut purges = Purges::default();
    let over = 10;
    for at in 0..MAX_PURGES as u64 + over {
        purges.add(Purged::Object(at), Nanos(at + 1));
        assert!(purges.len() <= MAX_PURGES);
    }
    assert_eq!(purges.len(), MAX_PURGES);
    // Objects whose purges were dropped, and those never purged, count as purged at the time of the last one dropped.
    assert_eq!(purges.last(0, None), Some(Nanos(over)));
    assert_eq!(purges.last(u64::MAX, None), Some(Nanos(over)));
    assert_eq!(purges.last(over, None), Some(Nanos(over + 1)));
    assert_eq!(purges.last(over + 1, None), Some(Nanos(over + 2)));
}

#[test]
fn repeated_purges_of_an_object_take_one_entry() {
    let mut purges = Purges::default();
    for at in 0..100_000 {
        purges.add(Purged::Object(7), Nanos(at));
    }
    assert_eq!((purges.len(), purges.last(7, None)), (1, Some(Nanos(99_999))));
}
