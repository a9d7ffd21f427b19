//! Unit tests of admission and freshness.

use super::*;
use expect_test::expect;

#[test]
fn frequently_requested_and_small_parts_are_kept_and_rank_higher() {
    let mut trace = String::new();
    for rate in [None, Some(0.004), Some(0.02), Some(0.2), Some(2.0)] {
        for bytes in [200, 16_384, 240_000] {
            let seen = Seen { rate, hops: 1.0, bytes, keepable: true };
            let tiers = [Tier::Memory, Tier::Disk].map(|tier| tier.keeps(&seen));
            trace += &format!("rate {rate:?}, {bytes} bytes: memory {:?}, disk {:?}\n", tiers[0], tiers[1]);
        }
    }
    expect![[r#"
        rate None, 200 bytes: memory None, disk None
        rate None, 16384 bytes: memory None, disk None
        rate None, 240000 bytes: memory None, disk None
        rate Some(0.004), 200 bytes: memory Some(1), disk Some(3)
        rate Some(0.004), 16384 bytes: memory None, disk None
        rate Some(0.004), 240000 bytes: memory None, disk None
        rate Some(0.02), 200 bytes: memory Some(3), disk Some(3)
        rate Some(0.02), 16384 bytes: memory None, disk Some(2)
        rate Some(0.02), 240000 bytes: memory None, disk None
        rate Some(0.2), 200 bytes: memory Some(3), disk Some(3)
        rate Some(0.2), 16384 bytes: memory Some(3), disk Some(3)
        rate Some(0.2), 240000 bytes: memory None, disk Some(2)
        rate Some(2.0), 200 bytes: memory Some(3), disk Some(3)
        rate Some(2.0), 16384 bytes: memory Some(3), disk Some(3)
        rate Some(2.0), 240000 bytes: memory Some(2), disk Some(3)
    "#]]
    .assert_eq(&trace);
    let not_keepable = Seen { rate: Some(9.0), hops: 2.0, bytes: 200, keepable: false };
    assert_eq!([Tier::Memory, Tier::Disk].map(|tier| tier.keeps(&not_keepable)), [None, None]);
}

#[test]
fn age_counts_from_creation_and_is_unknown_after_the_clock_was_set_back() {
    let (fresh, grace) = (Some(Nanos::from_secs(8.0)), Nanos::from_secs(2.0));
    let ages = [9_999, 10_000, 10_001].map(|age| may_serve(50_000 + age, 50_000, fresh, grace));
    assert_eq!(ages, [true, true, false]);
    assert!(!may_serve(49_999, 50_000, None, grace));
    assert!(may_serve(u64::MAX, 0, None, grace));
}
