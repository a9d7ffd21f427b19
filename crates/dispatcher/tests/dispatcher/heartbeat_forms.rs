//! The platform writes a heartbeat as an event that holds the last sequence number only: `{"seq":41}`.

use crate::common::Play;

#[test]
fn a_heartbeat_in_the_form_of_an_event_does_not_count_as_that_event() {
    let mut play = Play::new();
    play.log(1, r#"{"seq":1}"#);
    assert_eq!((play.applied(), play.take().as_str()), (1, ""));
    // The heartbeat names an event that was not delivered, as when a connection breaks before it: it is requested
    // again.
    play.log(1, r#"{"seq":2}"#);
    assert_eq!(play.applied(), 1);
    play.pass(1_000);
    let trace = play.take();
    assert!(trace.contains("close ChangeLog(1)") && trace.contains("ChangeLog(2) <- since 1"), "{trace}");
    play.log(2, r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576000000}}"#);
    play.log(2, r#"{"seq":2}"#);
    assert_eq!((play.applied(), play.take().as_str()), (2, ""));
}
