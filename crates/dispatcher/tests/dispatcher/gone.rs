//! A client that closes or cancels has gone: no attempt begins for it later, whatever its request was waiting for. Without
//! sockets; `gone_sockets.rs` has what depends on them.

use crate::common::{CONFIG, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};

/// How a client goes.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Aborts,
    /// It ends its sending side.
    Ends,
    /// Its connection is closed or reset.
    Closes,
    /// It aborts behind a tag that is open already, after which it may ask for nothing new.
    AbortsBehindTagTwice,
    EndsBehindTagTwice,
    /// It sends what can't be read, then ends or closes.
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

/// What a request waits for as its client leaves, and what then happens that leads to an attempt.
#[derive(Debug, Clone, Copy)]
enum Wait {
    /// Its first attempt waits for a connection to come up.
    Connecting,
    /// The same, and the connection never comes up.
    ConnectOverdue,
    /// Its first attempt was given to a connection that takes nothing.
    Unwritten,
    /// A lookup is out, which misses.
    Lookup,
    /// A lookup is out, and its connection is reset.
    LookupReset,
    /// A lookup is out, and its node drains.
    LookupRefused,
    /// A fill for another request is waited for.
    OtherFill,
    /// A fill is out, which its source refuses.
    Fill,
    /// The program is told to end while a lookup is out.
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
    /// Until the client leaves.
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

    /// What comes afterwards.
    fn go_on(self, play: &mut Play) {
        match self {
            Wait::Connecting => play.event(Event::Connected(Peer::Node(1))),
            Wait::ConnectOverdue => {
                play.calm = true;
                play.pass(500);
            }
            // Its connection ends before a byte has left: another would be asked.
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

/// Whether attempts are cancelled or not.
fn of(cancel: bool) -> Play {
    Play::of(&CONFIG.replace("\"cancel\": true", &format!("\"cancel\": {cancel}")))
}

#[test]
fn whatever_a_request_waits_for_no_attempt_begins_once_its_client_has_gone() {
    for wait in WAITS {
        for cancel in [true, false] {
            // Where the client waits on, an attempt begins.
            let mut play = of(cancel);
            wait.begin(&mut play);
            play.take();
            wait.go_on(&mut play);
            let waited_on = play.take();
            assert!(waited_on.contains("fetch"), "{wait:?} shows nothing: {waited_on}");
            for leave in LEAVES {
                let mut play = of(cancel);
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

/// An abort behind a tag that is used twice can be read: its request is cancelled, the connection ends, and nothing else that
/// comes on it is heard.
#[test]
fn an_abort_behind_a_tag_used_twice_is_heard() {
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

/// As the program ends, what is open is answered before its deadline. Another attempt that is ordered in that moment must not
/// follow, also where attempts are not cancelled.
#[test]
fn what_is_answered_at_the_end_of_the_program_is_not_sent_on() {
    for cancel in [true, false] {
        let mut play = of(cancel);
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=5000"));
        play.event(Event::Terminate);
        // Its node goes on answering others, so that it is not left out for silence.
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
        assert!(ending.contains("connect Node"), "no other attempt was ordered: {ending}");
        (2..9).for_each(|connection| play.event(Event::Connected(Peer::Node(connection))));
        let trace = play.take();
        assert!(!trace.contains("fetch"), "cancel {cancel}: {ending}{trace}");
    }
}
