//! The data structures of decisions, compared with the simplest possible models.

use crate::common::ms;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::generational_map::GenerationalMap;
use copperroute_routing::structures::timer_wheel::TimerWheel;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};

proptest! {
    #[test]
    fn a_timer_wheel_reserves_like_a_plain_map_of_slots(requests in prop::collection::vec((0_u64..40, 0_u64..900, 1_u32..30), 1..200)) {
        let (width, slots) = (20_000_000_u64, 50_u64);
        let mut wheel = TimerWheel::new(Nanos(width * slots), slots as usize);
        let mut plain: BTreeMap<u64, f64> = BTreeMap::new();
        let mut now = 1_000_000_000_u64;
        for (pass, earliest, work) in requests {
            now += pass * 1_000_000;
            let (work, earliest) = (f64::from(work) / 100.0, now + earliest * 1_000_000);
            let room = 0.5;
            let first = now / width;
            plain.retain(|slot, _| *slot >= first);
            let mut free = (earliest.div_ceil(width).max(first)..first + slots).filter(|slot| plain.get(slot).copied().unwrap_or(0.0) < room);
            let expected = free.next();
            if let Some(slot) = expected {
                *plain.entry(slot).or_default() += work;
                for slot in slot..first + slots - 1 {
                    let over = plain[&slot] - room;
                    if over <= 0.0 { break; }
                    *plain.entry(slot).or_default() -= over;
                    *plain.entry(slot + 1).or_default() += over;
                }
            }
            let given = wheel.reserve(Nanos(now), Nanos(earliest), work, |_| room);
            prop_assert_eq!(given, expected.map(|slot| Nanos(slot * width)));
            prop_assert!((wheel.reserved_work(Nanos(now)) - plain.values().sum::<f64>()).abs() < 1e-6);
        }
    }

    #[test]
    fn a_generational_map_keeps_entries_for_its_span_to_twice_that(steps in prop::collection::vec((0_u64..400, 0_u64..30, any::<bool>()), 1..300)) {
        let span = ms(1_000);
        let mut map = GenerationalMap::new(span, 1_000);
        let mut plain: HashMap<u64, (u64, usize)> = HashMap::new();
        let mut now = ms(10_000);
        for (number, (pass, key, put)) in steps.into_iter().enumerate() {
            now = now.after(ms(pass));
            map.rotate(now);
            if put {
                map.insert(now, key, number);
                plain.insert(key, (now.0, number));
            }
            for (key, (at, number)) in &plain {
                let age = now.0 - at;
                match map.get(*key) {
                    Some(kept) => prop_assert!(kept == number && age < 2 * span.0 + ms(400).0),
                    None => prop_assert!(age >= span.0),
                }
            }
            prop_assert!(!map.has_lost_entries(now));
        }
    }

    #[test]
    fn a_generational_map_is_bounded_and_reports_lost_entries(keys in prop::collection::vec(0_u64..5_000, 1..2_000)) {
        let mut map = GenerationalMap::new(ms(1_000), 100);
        let mut plain = HashMap::new();
        for (number, key) in keys.into_iter().enumerate() {
            let now = ms(10_000).after(Nanos(number as u64));
            map.insert(now, key, number);
            plain.insert(key, number);
            prop_assert!(map.len() <= 100);
            prop_assert!(map.has_lost_entries(now) || map.len() == plain.len());
        }
    }
}
