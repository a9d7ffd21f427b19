//! The change log can't be called for want of this machine's own: that says nothing of the service.

use crate::common::Play;
use copperroute_dispatcher::effects::{Event, Peer};

/// The connection to the change log that was last made since the trace was taken.
fn called(trace: &str) -> Option<u32> {
    let (_, rest) = trace.rsplit_once("connect ChangeLog(")?;
    rest.split(')').next()?.parse().ok()
}

#[test]
fn wants_of_this_machine_make_no_wait_for_the_change_log_grow() {
    let mut play = Play::new();
    play.calm = false;
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.pass(1_000);
    let trace = play.take();
    let mut number = called(&trace).unwrap_or_else(|| panic!("not called again after a first end: {trace}"));
    let mut waits = Vec::new();
    for _ in 0..20 {
        let since = play.passed_ms();
        play.event(Event::ConnectFailedLocally(Peer::ChangeLog(number)));
        number = loop {
            play.pass(10);
            if let Some(number) = called(&play.take()) {
                break number;
            }
            assert!(play.passed_ms() - since < 10_000, "not tried again; before after {waits:?} ms");
        };
        waits.push(play.passed_ms() - since);
    }
    assert!(waits.iter().all(|wait| (500..=1_010).contains(wait)), "tried again after {waits:?} ms");
    // The wants are over: it is followed at once.
    play.event(Event::Connected(Peer::ChangeLog(number)));
    assert_eq!(play.take(), format!("ChangeLog({number}) <- since 1\\n\n"));
}
