//! No attempt begins for a client that has closed or cancelled, whatever its request was waiting for. Without
//! sockets; the tests in `gone_sockets.rs` use sockets.

use crate::common::{CONFIG, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Aborts,
    /// It shuts down its sending side.
    Ends,
    /// Its connection is closed or reset.
    Closes,
    /// It aborts after a message with a tag that is already open, which forbids new requests on the connection.
    AbortsBehindTagTwice,
    EndsBehindTagTwice,
    /// It sends unparsable bytes, then ends or closes.
    EndsBehindUnreadable,
    ClosesBehindUnreadable,
}

const LEAVES: [Leave; 7] = [
    Leave::Aborts,
    Leave::Ends,
    Leave::Closes,
    Leave::AbortsBehindTagTwice,
    Leave::EndsBehindTagTwice,
    Leave::EndsBehindUnreadable,
    Leave::ClosesBehindUnreadable,
];

impl Leave {
    fn play(self, play: &mut Play) {
        let twice = message("HEALTH", 7);
        let (ends, closes) = (Event::EndOfStream(Peer::Client(1)), Event::Closed(Peer::Client(1)));
        match self {
            Leave::Aborts => play.client(&message("ABORT", 7)),
            Leave::Ends => play.event(ends),
            Leave::Closes => play.event(closes),
            Leave::AbortsBehindTagTwice => play.client(&[twice, message("ABORT", 7)].concat()),
            Leave::EndsBehindTagTwice => {
                play.client(&twice);
                play.event(ends);
            }
            Leave::EndsBehindUnreadable => {
                play.client(b"GET / HTTP/1.1\r\n");
                play.event(ends);
            }
            Leave::ClosesBehindUnreadable => {
                play.client(b"GET / HTTP/1.1\r\n");
                play.event(closes);
            }
        }
    }
}

/// What a request waits for when its client leaves, and the later event that would lead to an attempt.
#[derive(Debug, Clone, Copy)]
enum Wait {
    /// Its first attempt waits for a connection to come up.
    Connecting,
    /// The same, and the connection never comes up.
    ConnectOverdue,
    /// Its first attempt is queued on a connection that takes no bytes.
    Unwritten,
    /// A lookup is in flight, which misses.
    Lookup,
    /// A lookup is in flight, and its connection is reset.
    LookupReset,
    /// A lookup is in flight, and its node drains.
    LookupRefused,
    /// It waits for the fill of another request.
    OtherFill,
    /// A fill is in flight, which its source refuses.
    Fill,
    /// The program receives SIGTERM while a lookup is in flight.
    LookupAtEnd,
}

const WAITS: [Wait; 9] = [
    Wait::Connecting,
    Wait::ConnectOverdue,
    Wait::Unwritten,
    Wait::Lookup,
    Wait::LookupReset,
    Wait::LookupRefused,
    Wait::OtherFill,
    Wait::Fill,
    Wait::LookupAtEnd,
];

impl Wait {
    /// Plays the events before the client leaves.
    fn begin(self, play: &mut Play) {
        play.calm = !matches!(self, Wait::Connecting | Wait::ConnectOverdue | Wait::Unwritten);
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=5000"));
        match self {
            Wait::Unwritten => play.event(Event::Connected(Peer::Node(1))),
            Wait::OtherFill => play.node("9b1f nothing why=rode 0"),
            Wait::Fill => play.node("9b1f nothing - 0"),
            Wait::LookupAtEnd => play.event(Event::Terminate),
            _ => {}
        }
    }

    /// Plays the events after the client has left.
    fn go_on(self, play: &mut Play) {
        match self {
            Wait::Connecting => play.event(Event::Connected(Peer::Node(1))),
            Wait::ConnectOverdue => {
                play.calm = true;
                play.pass(500);
            }
            // Its connection closes before a byte was sent: the request would be retried at another node.
            Wait::Unwritten => {
                play.calm = true;
                play.event(Event::Closed(Peer::Node(1)));
            }
            Wait::Lookup | Wait::LookupAtEnd => play.node("9b1f nothing - 0"),
            Wait::LookupReset => play.event(Event::Closed(Peer::Node(1))),
            Wait::LookupRefused => play.node("9b1f refused why=turned_away 0"),
            Wait::OtherFill => play.pass(400),
            Wait::Fill => play.node("9b1f refused why=turned_away 0"),
        }
        play.pass(8_000);
    }
}

/// A dispatcher that cancels attempts or does not.
fn with_cancel(cancel: bool) -> Play {
    Play::of(&CONFIG.replace("\"cancel\": true", &format!("\"cancel\": {cancel}")))
}

#[test]
fn no_attempt_begins_for_a_client_that_left_whatever_its_request_waits_for() {
    for wait in WAITS {
        for cancel in [true, false] {
            // While the client still waits, an attempt begins.
            let mut play = with_cancel(cancel);
            wait.begin(&mut play);
            play.take();
            wait.go_on(&mut play);
            let waiting_trace = play.take();
            assert!(
                waiting_trace.contains("fetch"),
                "{wait:?}: no attempt for a client that waits: {waiting_trace}"
            );
            for leave in LEAVES {
                let mut play = with_cancel(cancel);
                wait.begin(&mut play);
                play.take();
                leave.play(&mut play);
                wait.go_on(&mut play);
                let trace = play.take();
                assert!(!trace.contains("fetch"), "{wait:?}, {leave:?}, cancel {cancel}: {trace}");
            }
        }
    }
}

/// An abort behind a tag that is used twice is still read: its request is cancelled, the connection is closed, and
/// nothing else on it is processed.
#[test]
fn an_abort_behind_a_tag_used_twice_is_processed() {
    let mut play = Play::new();
    play.client(&request(6, "post", "9b1e", ""));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.take();
    let behind = [message("HEALTH", 7), request(8, "image", "9b20", ""), message("ABORT", 7)];
    play.client(&behind.concat());
    play.node("9b1e ok - 4");
    let trace = play.take();
    assert!(trace.contains("<- abort 9b1f"), "{trace}");
    assert!(!trace.contains("9b20"), "{trace}");
    assert!(trace.contains("$1 6 $2 OK"), "{trace}");
    assert!(trace.ends_with("shut Client(1)\n"), "{trace}");
}

/// At shutdown, open requests are answered before their deadlines. A retry that is waiting for its connection at
/// that time must not be sent, also where attempts are not cancelled.
#[test]
fn requests_answered_at_shutdown_are_not_sent_to_nodes() {
    for cancel in [true, false] {
        let mut play = with_cancel(cancel);
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=5000"));
        play.event(Event::Terminate);
        // The node answers another request, so that it is not excluded as silent.
        play.client(&request(8, "image", "9b20", ",need=100,timeout=5000"));
        play.node("9b20 ok why=local 4");
        play.calm = false;
        play.take();
        play.pass(3_400);
        let before = play.take();
        assert!(!before.contains("Client") && !before.contains("Node"), "{before}");
        play.pass(200);
        let ending = play.take();
        assert!(ending.contains("$1 7 $6 FAILED"), "{ending}");
        assert!(ending.contains("connect Node"), "no retry was started: {ending}");
        (2..9).for_each(|connection| play.event(Event::Connected(Peer::Node(connection))));
        let trace = play.take();
        assert!(!trace.contains("fetch"), "cancel {cancel}: {ending}{trace}");
    }
}
