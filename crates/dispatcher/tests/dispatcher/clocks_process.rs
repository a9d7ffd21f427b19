//! The program itself on a machine whose wall clock is an hour off, from its start or while it runs.

use crate::common::request;
use crate::rig::{Rig, UNHURRIED, answer, told};
use copperroute_fault_injection::FaultPlan;
use std::io::Write;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// The example's purges are heeded for so long: older copies lie about for 6 s, and all hear of one within 1 s.
const HEEDED: Duration = Duration::from_secs(7);
/// The purge's time, the age so far and the limit are in whole milliseconds.
const ROUNDED_MS: u128 = 2;
/// The plans' clocks have stepped by then.
const STEPPED_AFTER: Duration = Duration::from_millis(700);
/// What a loaded machine may take for a request.
const LATE: Duration = Duration::from_secs(1);

/// Asks for a request; returns the age limit of its attempt in milliseconds, if it has one.
fn limit(rig: &Rig, number: u64) -> Option<u64> {
    let mut client = rig.client();
    let id = format!("9b{number:02x}");
    client.write_all(&request(number, "image", &id, UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told(&format!("{id} ok why=local 1"), b"x\r\n")).expect("the program reads");
    answer(&client);
    asked.line.split("maxage=").nth(1)?.split([',', ' ']).next()?.parse().ok()
}

/// A purge is told to a program under this plan: it is heeded at once, by its age at the most, and no longer than it has to be.
fn heeds_a_purge_for_its_time(plan: &FaultPlan) {
    let mut rig = Rig::failing(plan, Stdio::null());
    let last = rig.beats(1);
    limit(&rig, 1);
    std::thread::sleep(STEPPED_AFTER);
    let purged = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    rig.tell(&format!("{{\"seq\":2,\"invalidate\":{{\"object\":\"7f3a000000000000\",\"time\":{unix}}}}}\n"));
    last.store(2, Ordering::Relaxed);
    let first = (2..80).find_map(|number| {
        std::thread::sleep(Duration::from_millis(20));
        limit(&rig, number)
    });
    let age_ms = purged.elapsed().as_millis() + ROUNDED_MS;
    assert!(
        first.is_some_and(|limit_ms| u128::from(limit_ms) <= age_ms),
        "{plan}: {first:?} after {age_ms} ms"
    );
    std::thread::sleep((HEEDED + LATE).saturating_sub(purged.elapsed()));
    assert_eq!(limit(&rig, 90), None, "{plan}: heeded for too long");
}

#[test]
fn a_purge_is_heeded_for_its_time_whatever_the_wall_clock_says() {
    let plans = [
        FaultPlan::default(),
        FaultPlan::default().wall(HOUR_MS, 0),
        FaultPlan::default().wall(-HOUR_MS, 0),
        FaultPlan::default().wall(5_000, 0),
        FaultPlan::default().wall(HOUR_MS, 500),
        FaultPlan::default().wall(-HOUR_MS, 500),
    ];
    std::thread::scope(|scope| {
        plans.iter().for_each(|plan| drop(scope.spawn(|| heeds_a_purge_for_its_time(plan))));
    });
}
