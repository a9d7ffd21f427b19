//! Which heartbeats are fresh enough to be confirmed.

use crate::common::{at, secs};
use copperroute_change_log_replica::heartbeat::Heartbeats;

#[test]
fn a_heartbeat_after_a_silence_may_have_been_delayed_and_is_not_fresh() {
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
fn the_first_heartbeat_after_a_request_is_fresh_only_within_the_propagation_bound() {
    let mut heartbeats = Heartbeats::new(secs(0.5));
    heartbeats.request_sent(at(0.0));
    assert!(!heartbeats.is_fresh(at(0.6)), "it may have left with the call");
    assert!(!heartbeats.is_fresh(at(1.0)), "so may all that come right behind it");
    assert!(heartbeats.is_fresh(at(1.6)), "this one follows in time");
    heartbeats.request_sent(at(2.0));
    assert!(heartbeats.is_fresh(at(2.5)), "as late as the bound allows");
}

#[test]
fn a_confirmed_heartbeat_expires_after_two_seconds() {
    let mut heartbeats = Heartbeats::new(secs(0.5));
    assert!(!heartbeats.is_current(at(0.0)));
    heartbeats.confirm(at(0.0));
    assert!(heartbeats.is_current(at(1.99)));
    assert!(!heartbeats.is_current(at(2.0)));
    heartbeats.confirm(at(3.0));
    heartbeats.reset();
    assert!(!heartbeats.is_current(at(3.0)));
}
