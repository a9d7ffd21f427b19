//! Which heartbeats can be vouched for.

use crate::common::{at, secs};
use copperroute_change_log_replica::heartbeat::Heartbeats;

#[test]
fn what_comes_after_a_silence_may_have_waited_and_is_not_vouched_for() {
    let mut heartbeats = Heartbeats::new(secs(0.5));
    heartbeats.request_sent(at(0.0));
    assert!(heartbeats.is_fresh(at(0.1)), "an answer");
    assert!(heartbeats.is_fresh(at(1.1)));
    assert!(heartbeats.is_fresh(at(2.6)), "as late as the bound allows");
    assert!(!heartbeats.is_fresh(at(4.2)), "too late: it may have waited");
    assert!(!heartbeats.is_fresh(at(4.3)), "so may all that come right behind it");
    assert!(heartbeats.is_fresh(at(5.2)), "this one can't have waited for longer than the bound");
}

#[test]
fn the_first_after_a_call_may_have_waited_since_and_is_vouched_for_only_as_an_answer() {
    let mut heartbeats = Heartbeats::new(secs(0.5));
    heartbeats.request_sent(at(0.0));
    assert!(!heartbeats.is_fresh(at(0.6)), "it may have left with the call");
    assert!(!heartbeats.is_fresh(at(1.0)), "so may all that come right behind it");
    assert!(heartbeats.is_fresh(at(1.6)), "this one follows in time");
    heartbeats.request_sent(at(2.0));
    assert!(heartbeats.is_fresh(at(2.5)), "as late as the bound allows");
}

#[test]
fn nothing_is_vouched_for_two_seconds_after_the_last() {
    let mut heartbeats = Heartbeats::new(secs(0.5));
    assert!(!heartbeats.is_current(at(0.0)));
    heartbeats.confirm(at(0.0));
    assert!(heartbeats.is_current(at(1.99)));
    assert!(!heartbeats.is_current(at(2.0)));
    heartbeats.confirm(at(3.0));
    heartbeats.forget();
    assert!(!heartbeats.is_current(at(3.0)));
}
