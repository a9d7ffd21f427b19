//! Overload control in retry storms, as traces: a location with three caches, and clients that retry.

use crate::overload_scenario::{ClientRequest, Scenario, overload_settings};
use copperroute_routing::interface::*;
use expect_test::expect;
use std::fmt::Write as _;

/// A request for an image by a client that honours retry-after.
fn image(client: u64, object: u32, retries: u32) -> ClientRequest {
    ClientRequest { client, object, content_type: 0, retries, attempts: 0, honours_retry_after: true }
}

#[test]
fn an_outage_becomes_a_storm_that_is_limited_and_recovers() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.pass(5, [2, 3, 1], |_| true);
    scenario.begin_outage();
    scenario.pass(20, [2, 3, 1], |_| true);
    scenario.end_outage();
    (0..4).for_each(|_| scenario.pass(5, [2, 3, 1], |_| true));
    let _ = writeln!(scenario.trace, "most attempts {}", scenario.most_attempts);
    expect![[r#"
        5: served [94, 150, 50], rejected 0, failed 0, attempts 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.0 content type 2: Rising after Calm
        6.4 content type 0: Storm after Rising
        6.5 content type 1: Storm after Rising
        6.6 content type 2: Storm after Rising
        25: served [6, 0, 0], rejected 7931, failed 0, attempts 42
        25.1 content type 1: Recovering after Storm
        25.8 content type 0: Recovering after Storm
        29.4 content type 2: Recovering after Storm
        30: served [66, 600, 102], rejected 2613, failed 0, attempts 784
        35: served [252, 286, 198], rejected 980, failed 0, attempts 743
        35.8 content type 2: Calm after Recovering
        40: served [368, 161, 50], rejected 357, failed 0, attempts 570
        44.5 content type 1: Calm after Recovering
        44.8 content type 0: Calm after Recovering
        45: served [108, 153, 50], rejected 0, failed 0, attempts 303
        most attempts 4
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_second_outage_while_recovering_is_limited_again() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.pass(5, [3, 3, 0], |_| true);
    scenario.begin_outage();
    scenario.pass(10, [3, 3, 0], |_| true);
    scenario.end_outage();
    scenario.pass(3, [3, 3, 0], |_| true);
    scenario.begin_outage();
    scenario.pass(10, [3, 3, 0], |_| true);
    scenario.end_outage();
    scenario.pass(20, [3, 3, 0], |_| true);
    expect![[r#"
        5: served [141, 150, 0], rejected 0, failed 0, attempts 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.7 content type 0: Storm after Rising
        8.2 content type 1: Storm after Rising
        15: served [9, 0, 0], rejected 2258, failed 0, attempts 40
        15.1 content type 1: Recovering after Storm
        15.5 content type 0: Recovering after Storm
        18: served [52, 258, 0], rejected 776, failed 0, attempts 319
        19.8 content type 1: Storm after Recovering
        22.7 content type 0: Storm after Recovering
        28: served [5, 4, 0], rejected 4781, failed 0, attempts 30
        28.1 content type 1: Recovering after Storm
        28.5 content type 0: Recovering after Storm
        48: served [1224, 1028, 0], rejected 5445, failed 0, attempts 2261
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn high_load_without_an_outage_is_no_storm() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.refused_percent = 35;
    scenario.pass(30, [8, 8, 2], |_| true);
    expect![[r#"
        30: served [2371, 2392, 598], rejected 1100, failed 9, attempts 8417
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_few_clients_that_retry_rapidly_are_no_storm() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.pass(2, [2, 3, 1], |_| true);
    // Five clients retry a request that no cache serves in time immediately, a hundred times a second.
    for step in 0..500 {
        for client in 0..5 {
            let (object, retries) = (900 + client, u32::from(step > 0));
            scenario.arrive(image(u64::from(client), object, retries));
        }
        if step % 50 == 49 {
            scenario.pass(1, [2, 3, 1], |_| true);
        }
    }
    expect![[r#"
        2: served [34, 60, 20], rejected 0, failed 0, attempts 120
        2.0 content type 0: Rising after Calm
        2.7 content type 0: Calm after Rising
        3: served [179, 30, 10], rejected 274, failed 0, attempts 248
        3.2 content type 0: Rising after Calm
        3.7 content type 0: Calm after Rising
        4: served [269, 30, 10], rejected 413, failed 0, attempts 311
        5: served [346, 30, 10], rejected 450, failed 0, attempts 371
        6: served [286, 30, 10], rejected 274, failed 0, attempts 310
        7: served [270, 30, 10], rejected 233, failed 0, attempts 310
        8: served [270, 30, 10], rejected 212, failed 0, attempts 310
        9: served [270, 30, 10], rejected 188, failed 0, attempts 310
        10: served [270, 30, 10], rejected 173, failed 0, attempts 310
        11: served [270, 30, 10], rejected 156, failed 0, attempts 310
        12: served [270, 30, 10], rejected 151, failed 0, attempts 310
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_dispatcher_started_during_a_storm_detects_it_by_the_retries() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.begin_outage();
    for client in 0..400 {
        let request = image(client, client as u32 % 50, 1);
        scenario.arrivals.entry(scenario.now.0 + client * 2_000_000).or_default().push(request);
    }
    scenario.pass(4, [1, 1, 0], |_| true);
    scenario.end_outage();
    scenario.pass(10, [1, 1, 0], |_| true);
    expect![[r#"
        0.1 content type 0: Rising after Calm
        0.6 content type 0: Storm after Rising
        0.7 content type 1: Rising after Calm
        1.2 content type 1: Storm after Rising
        4: served [0, 0, 0], rejected 1290, failed 0, attempts 38
        4.4 content type 0: Recovering after Storm
        4.5 content type 1: Recovering after Storm
        14: served [439, 138, 0], rejected 1519, failed 0, attempts 597
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn clients_that_ignore_retry_after_gain_nothing() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.pass(3, [4, 4, 0], |client| client % 2 == 0);
    scenario.begin_outage();
    scenario.pass(15, [4, 4, 0], |client| client % 2 == 0);
    scenario.end_outage();
    scenario.served_by_client = [0; 2];
    scenario.pass(8, [4, 4, 0], |client| client % 2 == 0);
    let [ignoring, honouring] = scenario.served_by_client;
    let _ = writeln!(
        scenario.trace,
        "served to clients that honour retry-after {honouring}, that ignore it {ignoring}"
    );
    expect![[r#"
        3: served [108, 120, 0], rejected 0, failed 0, attempts 240
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.4 content type 0: Storm after Rising
        4.5 content type 1: Storm after Rising
        18: served [12, 0, 0], rejected 48238, failed 0, attempts 57
        18.1 content type 1: Recovering after Storm
        20.2 content type 0: Recovering after Storm
        26: served [190, 887, 0], rejected 42244, failed 0, attempts 1095
        served to clients that honour retry-after 614, that ignore it 463
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn when_all_caches_are_cold_at_peak_load_none_is_sent_more_than_it_can_take() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.pass(3, [20, 20, 1], |_| true);
    scenario.begin_outage();
    scenario.pass(12, [20, 20, 1], |_| true);
    scenario.end_outage();
    scenario.work.clear();
    let from = scenario.now.0 / 3_000_000_000;
    scenario.pass(18, [20, 20, 1], |_| true);
    // Three caches of twelve transfers each warm up from a fifth of that. 2.5 times their capacity over three seconds
    // overloads them.
    for (window, work) in scenario.work.range(from..from + 5) {
        let share = 0.2 + 0.8 * (3.0 * (window - from) as f64 / 15.0).min(1.0);
        let _ = writeln!(
            scenario.trace,
            "window {}: {:.2} of their capacity",
            window - from,
            work / (36.0 * 3.0 * share)
        );
    }
    expect![[r#"
        3: served [540, 600, 30], rejected 0, failed 0, attempts 1230
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.0 content type 2: Rising after Calm
        4.5 content type 2: Storm after Rising
        6.3 content type 1: Storm after Rising
        6.4 content type 0: Storm after Rising
        15: served [60, 0, 0], rejected 21099, failed 0, attempts 140
        15.1 content type 1: Recovering after Storm
        16.6 content type 2: Recovering after Storm
        23.0 content type 0: Recovering after Storm
        23.1 content type 2: Calm after Recovering
        33: served [643, 5893, 300], rejected 61329, failed 0, attempts 6876
        window 0: 1.15 of their capacity
        window 1: 1.05 of their capacity
        window 2: 1.05 of their capacity
        window 3: 1.04 of their capacity
        window 4: 1.11 of their capacity
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_post_that_may_have_run_is_failed_and_neither_sent_again_nor_rejected() {
    let mut scenario = Scenario::new(overload_settings());
    let post = |client, retries| ClientRequest { content_type: 2, ..image(client, 7, retries) };
    let (lost, never_ran, answered) = (post(1, 0), post(2, 0), post(3, 0));
    // Longer than the time for which requests from before the start may be retried.
    scenario.pass(61, [0, 0, 0], |_| true);
    for (request, outcome) in
        [(lost, Outcome::Broken), (never_ran, Outcome::Unreachable), (answered, Outcome::Served)]
    {
        scenario.arrive(request);
        scenario.attempt_ends.values_mut().flatten().for_each(|end| end.2 = outcome);
        scenario.pass(1, [0, 0, 0], |_| true);
        scenario.arrivals.clear();
        let _ = writeln!(scenario.trace, "its retry, on another connection");
        scenario.arrive(ClientRequest { retries: 1, ..request });
        scenario.pass(1, [0, 0, 0], |_| true);
    }
    let _ = writeln!(scenario.trace, "one in flight, and its retry");
    scenario.arrive(post(4, 0));
    scenario.arrive(post(4, 1));
    scenario.pass(1, [0, 0, 0], |_| true);
    let _ = writeln!(scenario.trace, "a retry of an unknown request, long after and just after a start");
    scenario.arrive(post(5, 1));
    scenario.pass(1, [0, 0, 0], |_| true);
    let mut restarted = Scenario::new(overload_settings());
    restarted.arrive(post(5, 1));
    restarted.pass(1, [0, 0, 0], |_| true);
    scenario.trace.push_str(&restarted.trace);
    expect![[r#"
        61: served [0, 0, 0], rejected 0, failed 0, attempts 0
        62: served [0, 0, 0], rejected 0, failed 1, attempts 1
        its retry, on another connection
        63: served [0, 0, 0], rejected 0, failed 1, attempts 0
        64: served [0, 0, 0], rejected 7, failed 0, attempts 1
        its retry, on another connection
        65: served [0, 0, 0], rejected 7, failed 0, attempts 0
        65.3 content type 2: Rising after Calm
        66: served [0, 0, 0], rejected 7, failed 0, attempts 0
        its retry, on another connection
        67: served [0, 0, 0], rejected 1, failed 0, attempts 0
        one in flight, and its retry
        67.0 content type 2: Calm after Rising
        68: served [0, 0, 2], rejected 11, failed 1, attempts 2
        a retry of an unknown request, long after and just after a start
        69: served [0, 0, 0], rejected 0, failed 1, attempts 0
        1: served [0, 0, 0], rejected 0, failed 1, attempts 0
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn attempts_of_a_request_and_its_retries_count_together() {
    let mut scenario = Scenario::new(overload_settings());
    scenario.refused_percent = 100;
    let mut request = image(9, 3, 0);
    for _ in 0..8 {
        scenario.arrive(request);
        scenario.pass(1, [0, 0, 0], |_| true);
        request.retries += 1;
        scenario.arrivals.clear();
    }
    expect![[r#"
        1: served [0, 0, 0], rejected 3, failed 1, attempts 6
        2: served [0, 0, 0], rejected 0, failed 1, attempts 0
        3: served [0, 0, 0], rejected 0, failed 1, attempts 0
        4: served [0, 0, 0], rejected 0, failed 1, attempts 0
        5: served [0, 0, 0], rejected 0, failed 1, attempts 0
        6: served [0, 0, 0], rejected 0, failed 1, attempts 0
        7: served [0, 0, 0], rejected 0, failed 1, attempts 0
        8: served [0, 0, 0], rejected 0, failed 1, attempts 0
    "#]]
    .assert_eq(&scenario.trace);
}
