//! Reproduces an incident: the change log fails just before a cache and a parent drain and half of the groups are
//! purged.

use crate::change_log::LogFault;
use crate::fleet::{Fleet, Terms};
use crate::judge::Record;
use crate::nodes::NodeFault;
use std::time::Duration;

/// When the fault starts, in seconds of the scenario, as the times below.
const FAULT_AT_S: f64 = 8.0;
/// When the nodes drain and the groups are purged.
const EVENTS_AT_S: f64 = 8.2;
/// When the fault ends.
const HEALED_AT_S: f64 = 18.0;
/// When the scenario ends.
const END_AT_S: f64 = 22.0;

/// Runs the incident with this fault of the change log.
fn incident(name: &str, fault: LogFault) -> Record {
    let mut fleet = Fleet::start(name, Terms::default(), 47);
    fleet.wait_until(FAULT_AT_S);
    fleet.fault(fault);
    fleet.wait_until(EVENTS_AT_S);
    fleet.drain("s-1");
    fleet.drain("p-0");
    fleet.purge_half();
    fleet.wait_until(HEALED_AT_S);
    fleet.end_fault();
    fleet.wait_until(END_AT_S);
    fleet.end()
}

/// The number of the event of the second drain; event 1 is in the configuration.
const LAST_DRAIN: u64 = 3;
/// The longest time between two connection attempts to a change log that refused connections or stayed silent.
const RECONNECT_WITHIN_S: f64 = 2.5;
/// The lowest share of requests that must be served while the change log works.
const MIN_SERVED_SHARE: f64 = 0.98;

/// Fails if a record has violations, and prints the first one and the whole record.
fn assert_none(record: &Record, violations: &[String]) {
    assert!(
        violations.is_empty(),
        "{} times, first {}\n{}",
        violations.len(),
        violations[0],
        record.report()
    );
}

#[test]
fn no_rule_is_broken_while_the_change_log_works_and_changes_its_address_three_times() {
    let mut fleet = Fleet::start("well", Terms::default(), 47);
    let _idle_clients = fleet.idle_clients(100);
    fleet.wait_until(FAULT_AT_S);
    fleet.drain("s-1");
    fleet.drain("p-0");
    fleet.purge_half();
    for (number, second) in [(1, 10.0), (2, 10.3), (3, 10.6)] {
        fleet.wait_until(second);
        fleet.move_log(number);
    }
    fleet.wait_until(12.0);
    fleet.activate("s-1");
    fleet.nodes.node("s-2").fault(Some(NodeFault::Hangs));
    fleet.wait_until(13.0);
    fleet.nodes.node("s-2").fault(None);
    fleet.wait_until(END_AT_S);
    let record = fleet.end();
    assert_eq!(record.broken(), None);
    let served = record.served(0.0, END_AT_S);
    assert!(served >= MIN_SERVED_SHARE, "{served}\n{}", record.report());
}

/// When every event of an incident had first been delivered to the program, in seconds.
fn first_delivered(record: &Record) -> Option<f64> {
    let delivered = record.log_connections.iter().filter_map(|connection| connection.delivered);
    let whole = delivered.filter(|(seq, _)| *seq >= LAST_DRAIN);
    whole.map(|(_, at)| at.as_secs_f64()).min_by(f64::total_cmp)
}

#[test]
fn a_slow_change_log_delivers_its_events_during_the_fault() {
    let span = Duration::from_secs_f64;
    let faults = [
        LogFault::LateAnswers(span(2.5)),
        LogFault::LateAnswers(span(4.0)),
        LogFault::LateBytes(span(4.0)),
        LogFault::LateBytes(span(9.0)),
        LogFault::ByteByByte(span(1.4)),
        LogFault::ByteByByte(span(4.0)),
        LogFault::ClosesEach(span(0.5)),
    ];
    let late = std::thread::scope(|scope| {
        let scenarios = faults.map(|fault| scope.spawn(move || incident(&format!("{fault:?}"), fault)));
        let records = scenarios.map(|run| run.join().expect("a scenario ends"));
        let undelivered = |record: &&Record| first_delivered(record).is_none_or(|at| at >= HEALED_AT_S);
        records.iter().filter(undelivered).map(Record::report).collect::<Vec<_>>()
    });
    assert!(
        late.is_empty(),
        "{} of {} not delivered during the fault\n{}",
        late.len(),
        faults.len(),
        late.join("\n")
    );
}

#[test]
fn events_are_delivered_soon_after_the_change_log_recovers() {
    let faults = [LogFault::Refuses, LogFault::Silent, LogFault::CutsEvents, LogFault::HeartbeatsOnly];
    let late = std::thread::scope(|scope| {
        let scenarios = faults.map(|fault| scope.spawn(move || incident(&format!("{fault:?}"), fault)));
        let records = scenarios.map(|run| run.join().expect("a scenario ends"));
        let late = |record: &&Record| {
            first_delivered(record).is_none_or(|at| at >= HEALED_AT_S + RECONNECT_WITHIN_S)
        };
        records.iter().filter(late).map(Record::report).collect::<Vec<_>>()
    });
    assert!(late.is_empty(), "{} of {} delivered late\n{}", late.len(), faults.len(), late.join("\n"));
}

#[test]
fn no_purged_copy_is_served_while_the_change_log_refuses() {
    let record = incident("refuses", LogFault::Refuses);
    assert_none(&record, &record.purge_violations());
}

#[test]
fn no_fetch_reaches_a_drained_node_while_the_change_log_refuses() {
    let record = incident("refuses", LogFault::Refuses);
    assert_none(&record, &record.drain_violations());
}
