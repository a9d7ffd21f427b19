//! Retry storms, as traces: a location of three caches, and clients that come back.

use crate::overload_scenario::{Day, Try, told};
use copperroute_routing::interface::*;
use expect_test::expect;
use std::fmt::Write as _;

#[test]
fn an_outage_becomes_a_storm_is_damped_and_recovers() {
    let mut day = Day::new(told());
    day.pass(5, [2, 3, 1], |_| true);
    day.down();
    day.pass(20, [2, 3, 1], |_| true);
    day.back();
    (0..4).for_each(|_| day.pass(5, [2, 3, 1], |_| true));
    let _ = writeln!(day.trace, "most pulls {}", day.most_attempts);
    expect![[r#"
        5: ok [94, 150, 50], later 0, never 0, pulls 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.0 content type 2: Rising after Calm
        6.4 content type 0: Storm after Rising
        6.5 content type 1: Storm after Rising
        6.6 content type 2: Storm after Rising
        25: ok [6, 0, 0], later 7931, never 0, pulls 42
        25.1 content type 1: Recovering after Storm
        25.8 content type 0: Recovering after Storm
        29.4 content type 2: Recovering after Storm
        30: ok [66, 600, 102], later 2613, never 0, pulls 784
        35: ok [252, 286, 198], later 980, never 0, pulls 743
        35.8 content type 2: Calm after Recovering
        40: ok [368, 161, 50], later 357, never 0, pulls 570
        44.5 content type 1: Calm after Recovering
        44.8 content type 0: Calm after Recovering
        45: ok [108, 153, 50], later 0, never 0, pulls 303
        most pulls 4
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_second_outage_while_recovering_is_met_again() {
    let mut day = Day::new(told());
    day.pass(5, [3, 3, 0], |_| true);
    day.down();
    day.pass(10, [3, 3, 0], |_| true);
    day.back();
    day.pass(3, [3, 3, 0], |_| true);
    day.down();
    day.pass(10, [3, 3, 0], |_| true);
    day.back();
    day.pass(20, [3, 3, 0], |_| true);
    expect![[r#"
        5: ok [141, 150, 0], later 0, never 0, pulls 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.7 content type 0: Storm after Rising
        8.2 content type 1: Storm after Rising
        15: ok [9, 0, 0], later 2258, never 0, pulls 40
        15.1 content type 1: Recovering after Storm
        15.5 content type 0: Recovering after Storm
        18: ok [52, 258, 0], later 776, never 0, pulls 319
        19.8 content type 1: Storm after Recovering
        22.7 content type 0: Storm after Recovering
        28: ok [5, 4, 0], later 4781, never 0, pulls 30
        28.1 content type 1: Recovering after Storm
        28.5 content type 0: Recovering after Storm
        48: ok [1224, 1028, 0], later 5445, never 0, pulls 2261
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_heavy_day_without_outage_is_no_storm() {
    let mut day = Day::new(told());
    day.refused = 35;
    day.pass(30, [8, 8, 2], |_| true);
    expect![[r#"
        30: ok [2371, 2392, 598], later 1100, never 9, pulls 8417
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_few_that_hammer_are_no_storm() {
    let mut day = Day::new(told());
    day.pass(2, [2, 3, 1], |_| true);
    // Five clients ask again at once for what no cache serves in time, a hundred times a second.
    for step in 0..500 {
        for client in 0..5 {
            let (object, tries) = (900 + client, u32::from(step > 0));
            day.come(Try { client: u64::from(client), object, kind: 0, tries, attempts: 0, heeds: true });
        }
        if step % 50 == 49 {
            day.pass(1, [2, 3, 1], |_| true);
        }
    }
    expect![[r#"
        2: ok [34, 60, 20], later 0, never 0, pulls 120
        2.0 content type 0: Rising after Calm
        2.7 content type 0: Calm after Rising
        3: ok [179, 30, 10], later 274, never 0, pulls 248
        3.2 content type 0: Rising after Calm
        3.7 content type 0: Calm after Rising
        4: ok [269, 30, 10], later 413, never 0, pulls 311
        5: ok [346, 30, 10], later 450, never 0, pulls 371
        6: ok [286, 30, 10], later 274, never 0, pulls 310
        7: ok [270, 30, 10], later 233, never 0, pulls 310
        8: ok [270, 30, 10], later 212, never 0, pulls 310
        9: ok [270, 30, 10], later 188, never 0, pulls 310
        10: ok [270, 30, 10], later 173, never 0, pulls 310
        11: ok [270, 30, 10], later 156, never 0, pulls 310
        12: ok [270, 30, 10], later 151, never 0, pulls 310
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn started_in_the_middle_it_knows_a_storm_by_its_repeats() {
    let mut day = Day::new(told());
    day.down();
    for client in 0..400 {
        let tried = Try { client, object: client as u32 % 50, kind: 0, tries: 1, attempts: 0, heeds: true };
        day.coming.entry(day.now.0 + client * 2_000_000).or_default().push(tried);
    }
    day.pass(4, [1, 1, 0], |_| true);
    day.back();
    day.pass(10, [1, 1, 0], |_| true);
    expect![[r#"
        0.1 content type 0: Rising after Calm
        0.6 content type 0: Storm after Rising
        0.7 content type 1: Rising after Calm
        1.2 content type 1: Storm after Rising
        4: ok [0, 0, 0], later 1290, never 0, pulls 38
        4.4 content type 0: Recovering after Storm
        4.5 content type 1: Recovering after Storm
        14: ok [439, 138, 0], later 1519, never 0, pulls 597
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn who_ignores_advice_gains_nothing() {
    let mut day = Day::new(told());
    day.pass(3, [4, 4, 0], |client| client % 2 == 0);
    day.down();
    day.pass(15, [4, 4, 0], |client| client % 2 == 0);
    day.back();
    day.heeded = [0; 2];
    day.pass(8, [4, 4, 0], |client| client % 2 == 0);
    let [ignored, heeded] = day.heeded;
    let _ = writeln!(day.trace, "served that heed {heeded}, that do not {ignored}");
    expect![[r#"
        3: ok [108, 120, 0], later 0, never 0, pulls 240
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.4 content type 0: Storm after Rising
        4.5 content type 1: Storm after Rising
        18: ok [12, 0, 0], later 48238, never 0, pulls 57
        18.1 content type 1: Recovering after Storm
        20.2 content type 0: Recovering after Storm
        26: ok [190, 887, 0], later 42244, never 0, pulls 1095
        served that heed 614, that do not 463
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn all_cold_at_the_height_none_is_sent_more_than_it_bears() {
    let mut day = Day::new(told());
    day.pass(3, [20, 20, 1], |_| true);
    day.down();
    day.pass(12, [20, 20, 1], |_| true);
    day.back();
    day.work.clear();
    let from = day.now.0 / 3_000_000_000;
    day.pass(18, [20, 20, 1], |_| true);
    // Three caches of twelve transfers, from a fifth on; over three seconds, and 2.5 times that fells them.
    for (window, work) in day.work.range(from..from + 5) {
        let share = 0.2 + 0.8 * (3.0 * (window - from) as f64 / 15.0).min(1.0);
        let _ = writeln!(
            day.trace,
            "window {}: {:.2} of what they do",
            window - from,
            work / (36.0 * 3.0 * share)
        );
    }
    expect![[r#"
        3: ok [540, 600, 30], later 0, never 0, pulls 1230
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.0 content type 2: Rising after Calm
        4.5 content type 2: Storm after Rising
        6.3 content type 1: Storm after Rising
        6.4 content type 0: Storm after Rising
        15: ok [60, 0, 0], later 21099, never 0, pulls 140
        15.1 content type 1: Recovering after Storm
        16.6 content type 2: Recovering after Storm
        23.0 content type 0: Recovering after Storm
        23.1 content type 2: Calm after Recovering
        33: ok [643, 5893, 300], later 61329, never 0, pulls 6876
        window 0: 1.15 of what they do
        window 1: 1.05 of what they do
        window 2: 1.05 of what they do
        window 3: 1.04 of what they do
        window 4: 1.11 of what they do
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_post_that_may_have_run_is_never_sent_again_nor_refused() {
    let mut day = Day::new(told());
    let post = |client, tries| Try { client, object: 7, kind: 2, tries, attempts: 0, heeds: true };
    let (lost, never_ran, answered) = (post(1, 0), post(2, 0), post(3, 0));
    // Past the time in which what was in hand before the start may still be asked for again.
    day.pass(61, [0, 0, 0], |_| true);
    for (tried, outcome) in
        [(lost, Outcome::Broken), (never_ran, Outcome::Unreachable), (answered, Outcome::Served)]
    {
        day.come(tried);
        day.ending.values_mut().flatten().for_each(|end| end.2 = outcome);
        day.pass(1, [0, 0, 0], |_| true);
        day.coming.clear();
        let _ = writeln!(day.trace, "its retry, on another connection");
        day.come(Try { tries: 1, ..tried });
        day.pass(1, [0, 0, 0], |_| true);
    }
    let _ = writeln!(day.trace, "one in hand, and its retry");
    day.come(post(4, 0));
    day.come(post(4, 1));
    day.pass(1, [0, 0, 0], |_| true);
    let _ = writeln!(day.trace, "a retry of one not known, later and just after a start");
    day.come(post(5, 1));
    day.pass(1, [0, 0, 0], |_| true);
    let mut young = Day::new(told());
    young.come(post(5, 1));
    young.pass(1, [0, 0, 0], |_| true);
    day.trace.push_str(&young.trace);
    expect![[r#"
        61: ok [0, 0, 0], later 0, never 0, pulls 0
        62: ok [0, 0, 0], later 0, never 1, pulls 1
        its retry, on another connection
        63: ok [0, 0, 0], later 0, never 1, pulls 0
        64: ok [0, 0, 0], later 7, never 0, pulls 1
        its retry, on another connection
        65: ok [0, 0, 0], later 7, never 0, pulls 0
        65.3 content type 2: Rising after Calm
        66: ok [0, 0, 0], later 7, never 0, pulls 0
        its retry, on another connection
        67: ok [0, 0, 0], later 1, never 0, pulls 0
        one in hand, and its retry
        67.0 content type 2: Calm after Rising
        68: ok [0, 0, 2], later 11, never 1, pulls 2
        a retry of one not known, later and just after a start
        69: ok [0, 0, 0], later 0, never 1, pulls 0
        1: ok [0, 0, 0], later 0, never 1, pulls 0
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn pulls_of_a_download_and_its_repeats_count_together() {
    let mut day = Day::new(told());
    day.refused = 100;
    let mut tried = Try { client: 9, object: 3, kind: 0, tries: 0, attempts: 0, heeds: true };
    for _ in 0..8 {
        day.come(tried);
        day.pass(1, [0, 0, 0], |_| true);
        tried.tries += 1;
        day.coming.clear();
    }
    expect![[r#"
        1: ok [0, 0, 0], later 3, never 1, pulls 6
        2: ok [0, 0, 0], later 0, never 1, pulls 0
        3: ok [0, 0, 0], later 0, never 1, pulls 0
        4: ok [0, 0, 0], later 0, never 1, pulls 0
        5: ok [0, 0, 0], later 0, never 1, pulls 0
        6: ok [0, 0, 0], later 0, never 1, pulls 0
        7: ok [0, 0, 0], later 0, never 1, pulls 0
        8: ok [0, 0, 0], later 0, never 1, pulls 0
    "#]]
    .assert_eq(&day.trace);
}
