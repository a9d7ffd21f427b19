//! A connection to the change log that fails for lack of local resources says nothing about the change log itself,
//! so the reconnect backoff must not grow.

use crate::common::Play;
use copperroute_dispatcher::effects::{Event, Peer};

/// The number of the last connection to the change log in the trace.
fn last_connection(trace: &str) -> Option<u32> {
    let (_, rest) = trace.rsplit_once("connect ChangeLog(")?;
    rest.split(')').next()?.parse().ok()
}

#[test]
fn local_connect_failures_do_not_grow_the_change_log_backoff() {
    let mut play = Play::new();
    play.calm = false;
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.pass(1_000);
    let trace = play.take();
    let mut number = last_connection(&trace)
        .unwrap_or_else(|| panic!("no reconnect after the first connection closed: {trace}"));
    let mut waits = Vec::new();
    for _ in 0..20 {
        let since = play.passed_ms();
        play.event(Event::ConnectFailedLocally(Peer::ChangeLog(number)));
        number = loop {
            play.pass(10);
            if let Some(number) = last_connection(&play.take()) {
                break number;
            }
            assert!(play.passed_ms() - since < 10_000, "no reconnect; earlier reconnects after {waits:?} ms");
        };
        waits.push(play.passed_ms() - since);
    }
    assert!(waits.iter().all(|wait| (500..=1_010).contains(wait)), "reconnects after {waits:?} ms");
    // The resources are back: the change log is followed at once.
    play.event(Event::Connected(Peer::ChangeLog(number)));
    assert_eq!(play.take(), format!("ChangeLog({number}) <- since 1\\n\n"));
}
