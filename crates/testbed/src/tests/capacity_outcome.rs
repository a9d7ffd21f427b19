use super::*;

fn spread(worst_s: f64) -> Spread {
    Spread { count: 10, p50_s: 2.0, p99_s: 2.0, p999_s: 2.0, worst_s, never: 0 }
}

/// A run in which every figure is 2, and hollow and real dispatchers are alike.
fn outcome() -> Outcome {
    let class = Class { last: spread(2.0), ..Class::default() };
    let told = Told { dispatchers: 3, messages_per_s: 2.0, bytes_per_s: 2.0 };
    let share = Share { dispatchers: 3, cores: 2.0, memory_mb: 2.0 };
    let beside = Beside {
        hollow: told,
        real: told,
        hollow_purge: spread(2.0),
        real_purge: spread(2.0),
        real_purge_earliest: Spread { p50_s: 1.0, ..spread(2.0) },
    };
    let harm = Harm { times: 1, late_s: 0.0, current: spread(2.0) };
    Outcome {
        purges: class,
        lists: class,
        versions: class,
        harm: [(Cause::Cut, harm)].into(),
        beside,
        hollow_share: share,
        real_share: share,
        real_idle_share: share,
        replica_followers: 2.0,
        replica_calls_most: 2,
        calls_most: 2,
        bytes_most: 2,
        memory_most_gb: 2.0,
        ..Outcome::default()
    }
}

fn expect(bound: f64) -> Expect {
    Expect {
        purge_p50_s: Some(bound),
        purge_p99_s: Some(bound),
        purge_p999_s: Some(bound),
        purge_worst_s: Some(bound),
        list_worst_s: Some(bound),
        version_worst_s: Some(bound),
        current_worst_s: Some(bound),
        bytes_per_s: Some(bound),
        bytes_most_per_s: Some(bound),
        cores: Some(bound),
        memory_mb: Some(bound),
        calls_per_s: Some(bound),
        replica_followers: Some(bound),
        replica_calls_per_s: Some(bound),
        all_memory_gb: Some(bound),
        hollow_differs: Some(0.1),
        hollow_differs_s: Some(0.1),
    }
}

#[test]
fn bounds_that_are_just_kept_are_kept_and_each_is_missed_when_halved() {
    assert_eq!(outcome().missed(&expect(2.0)), [""; 0]);
    let missed = outcome().missed(&expect(1.0));
    assert_eq!(missed.len(), 15, "{missed:?}");
    assert_eq!(missed[0], "purge_p50_s: 2.000; expected at most 1");
}

#[test]
fn hollow_dispatchers_that_are_not_like_real_ones_are_found_out() {
    let mut fewer = outcome();
    fewer.beside.hollow.messages_per_s *= 0.85;
    assert_eq!(fewer.missed(&expect(2.0)), ["hollow_differs, messages: 0.150; expected at most 0.1"]);
    let mut larger = outcome();
    larger.beside.hollow.bytes_per_s *= 0.85;
    assert_eq!(larger.missed(&expect(2.0)), ["hollow_differs, bytes: 0.150; expected at most 0.1"]);
    for p50_s in [0.8, 2.2] {
        let mut other = outcome();
        other.beside.hollow_purge.p50_s = p50_s;
        assert_eq!(other.missed(&expect(2.0)), ["hollow_differs_s: 0.200; expected at most 0.1"]);
    }
}

#[test]
fn what_was_never_acted_on_and_what_went_wrong_on_the_rig_fails_without_any_bound() {
    let mut outcome = outcome();
    outcome.lists.last.never = 1;
    outcome.failed.push("a host ended by itself".into());
    let missed = outcome.missed(&Expect::default());
    assert_eq!(missed, ["lists: 1 never acted on everywhere reachable", "a host ended by itself"]);
}
