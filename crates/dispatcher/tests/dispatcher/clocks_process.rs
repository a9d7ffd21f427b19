//! The program on a machine whose wall clock is wrong by 5 s or an hour, from its start or from a step while it runs.

use crate::common::request;
use crate::rig::{Rig, UNHURRIED, answer, told};
use copperroute_fault_injection::FaultPlan;
use std::io::Write;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// How long attempts limit the age of copies after a purge in the example configuration: copies from before it may
/// exist for 6 s, and every node receives it within 1 s.
const PURGE_LIMITS_AGE: Duration = Duration::from_secs(7);
/// Tolerance for rounding: the purge's time, its age and the limit are in whole milliseconds.
const ROUNDING_MS: u128 = 2;
/// The clocks of the plans that step have stepped by then.
const STEP_DONE: Duration = Duration::from_millis(700);
/// Longest time that a request may take on a loaded machine.
const REQUEST_MAX: Duration = Duration::from_secs(1);

/// Sends a request and answers it; returns the age limit of its attempt in milliseconds, if it has one.
fn age_limit_ms(rig: &Rig, number: u64) -> Option<u64> {
    let mut client = rig.client();
    let id = format!("9b{number:02x}");
    client.write_all(&request(number, "image", &id, UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told(&format!("{id} ok why=local 1"), b"x\r\n")).expect("the program reads");
    answer(&client);
    asked.line.split("maxage=").nth(1)?.split([',', ' ']).next()?.parse().ok()
}

/// Sends a purge to a program under this plan. Attempts must limit the age of copies at once, to no more than the age
/// of the purge, and must stop doing so after `PURGE_LIMITS_AGE`.
fn check_age_limit_after_purge(plan: &FaultPlan) {
    let mut rig = Rig::failing(plan, Stdio::null());
    let last = rig.beats(1);
    age_limit_ms(&rig, 1);
    std::thread::sleep(STEP_DONE);
    let purged = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    rig.tell(&format!("{{\"seq\":2,\"invalidate\":{{\"object\":\"7f3a000000000000\",\"time\":{unix}}}}}\n"));
    last.store(2, Ordering::Relaxed);
    let first = (2..80).find_map(|number| {
        std::thread::sleep(Duration::from_millis(20));
        age_limit_ms(&rig, number)
    });
    let age_ms = purged.elapsed().as_millis() + ROUNDING_MS;
    assert!(
        first.is_some_and(|limit_ms| u128::from(limit_ms) <= age_ms),
        "{plan}: {first:?} after {age_ms} ms"
    );
    std::thread::sleep((PURGE_LIMITS_AGE + REQUEST_MAX).saturating_sub(purged.elapsed()));
    assert_eq!(age_limit_ms(&rig, 90), None, "{plan}: the age of copies is limited for too long");
}

#[test]
fn the_age_limit_after_a_purge_does_not_depend_on_the_wall_clock() {
    let plans = [
        FaultPlan::default(),
        FaultPlan::default().wall(HOUR_MS, 0),
        FaultPlan::default().wall(-HOUR_MS, 0),
        FaultPlan::default().wall(5_000, 0),
        FaultPlan::default().wall(HOUR_MS, 500),
        FaultPlan::default().wall(-HOUR_MS, 500),
    ];
    std::thread::scope(|scope| {
        plans.iter().for_each(|plan| drop(scope.spawn(|| check_age_limit_after_purge(plan))));
    });
}
