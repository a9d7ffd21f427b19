//! A client that closes or cancels has gone, on real sockets, judged by what stand-ins of nodes were sent. The order of what
//! the program finds is made by stopping it; no test waits for time to pass.

use crate::common::{message, request};
use crate::rig::{Asked, Rig, UNHURRIED, answer, items, lies_unread, quiet, reset, told};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};

/// How a client goes.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Aborts,
    /// It ends its sending side.
    Ends,
    /// It closes over what it has not read, which is a reset.
    Resets,
}

const LEAVES: [Leave; 3] = [Leave::Aborts, Leave::Ends, Leave::Resets];

impl Leave {
    /// The client sends these bytes, and goes.
    fn play(self, client: &mut TcpStream, before: &[u8]) {
        let mut bytes = before.to_vec();
        if let Leave::Aborts = self {
            bytes.extend(message("ABORT", 7));
        }
        client.write_all(&bytes).expect("it is kept for the program");
        match self {
            Leave::Aborts => {}
            Leave::Ends => client.shutdown(Shutdown::Write).expect("an end"),
            Leave::Resets => reset(client),
        }
    }
}

/// A node answers that it holds nothing, which leads to a fill where the client waits.
fn misses(asked: &mut Asked) {
    // Its connection may have ended meanwhile.
    let _ = asked.back.write_all(&told("9b1f nothing - 0", b"\r\n"));
}

/// What nodes were sent before a client of its own was answered three times: at least one whole turn lies between.
fn sent(rig: &Rig) -> String {
    (0..3).map(|_| quiet(rig)).filter(|trace| trace.contains("fetch")).collect()
}

/// Behind what can't be read, an end is heard: a miss that comes after it leads to no fill.
#[test]
fn the_end_of_a_client_that_cannot_be_read_is_heard() {
    for leave in [Leave::Ends, Leave::Resets] {
        let (rig, mut client, mut first) = Rig::asked_for("image");
        leave.play(&mut client, b"GET / HTTP/1.1\r\n");
        // The node is told to give it up: the end was heard.
        assert!(rig.asked().line.starts_with("abort 9b1f"));
        misses(&mut first);
        assert_eq!(sent(&rig), "");
    }
}

/// After the signal to end, who leaves has gone as before.
#[test]
fn who_leaves_while_the_program_ends_is_not_sent_for() {
    for leave in LEAVES {
        let (rig, mut client, mut first) = Rig::asked_for("image");
        // It keeps the program from ending.
        let mut other = rig.client();
        other.write_all(&request(9, "post", "9b20", UNHURRIED)).expect("the program reads");
        let _ = rig.asked();
        rig.signal("TERM");
        leave.play(&mut client, b"");
        assert!(rig.asked().line.starts_with("abort 9b1f"));
        misses(&mut first);
        let mut late = rig.client();
        for tag in 1..4 {
            late.write_all(&message("HEALTH", tag)).expect("the program reads");
            answer(&late);
        }
        let fetched = rig.asked.try_iter().find(|asked| asked.line.starts_with("fetch"));
        assert!(fetched.is_none(), "{}", fetched.map(|asked| asked.line).unwrap_or_default());
    }
}

/// A miss, and the abort or end of its client behind it, are found in one turn, also on a connection that asks for nothing new
/// any more as it used a tag twice.
#[test]
fn a_miss_and_an_abort_in_one_turn_lead_to_no_fill() {
    for twice in [false, true] {
        for leave in LEAVES {
            let (rig, mut client, mut first) = Rig::asked_for("image");
            rig.signal("STOP");
            misses(&mut first);
            lies_unread(&first.back, false);
            let before = if twice { message("HEALTH", 7) } else { Vec::new() };
            leave.play(&mut client, &before);
            lies_unread(&client, !matches!(leave, Leave::Aborts));
            rig.signal("CONT");
            assert_eq!(sent(&rig), "", "{leave:?}, a tag twice: {twice}");
        }
    }
}

/// All that may be open on a connection, in the largest requests, and its end lie waiting together: the end is heard before any
/// of it is sent on.
#[test]
fn the_end_behind_as_many_bytes_as_may_be_open_is_heard_first() {
    let body = "x".repeat(47_900);
    for round in 0..5 {
        let rig = Rig::start();
        let mut client = rig.client();
        SockRef::from(&client).set_send_buffer_size(3_000_000).expect("an option");
        rig.signal("STOP");
        let mut posts = Vec::new();
        for tag in 1..=32 {
            let post = request(tag, "post", &format!("9b{tag:02x}"), UNHURRIED);
            let post = String::from_utf8(post).expect("text");
            posts.extend(post.replace("$0\r\n", &format!("$47900\r\n{body}")).into_bytes());
        }
        client.write_all(&posts).expect("it is kept for the program");
        client.shutdown(Shutdown::Write).expect("an end");
        rig.signal("CONT");
        // Each is answered as failed once the end is read: from then on nothing is sent.
        let mut reader = BufReader::new(&client);
        (0..32).for_each(|_| assert_eq!(items(&mut reader)[1], b"FAILED"));
        assert_eq!(sent(&rig), "", "round {round}");
    }
}

/// Requests lie unread with their aborts between and behind them: of those that were cancelled nothing is sent on.
#[test]
fn requests_and_their_aborts_in_one_batch_are_not_sent_on() {
    let rig = Rig::start();
    let mut client = rig.client();
    let ask = |tag: u64, id: &str| request(tag, "image", id, UNHURRIED);
    let cancelled =
        [ask(1, "9b01"), ask(2, "9b02"), message("ABORT", 1), ask(3, "9b03"), message("ABORT", 3)];
    let batch = [cancelled.concat(), ask(4, "9b04"), message("ABORT", 2)].concat();
    rig.signal("STOP");
    client.write_all(&batch).expect("it is kept for the program");
    lies_unread(&client, false);
    rig.signal("CONT");
    let line = rig.asked().line;
    assert!(line.starts_with("fetch 9b04"), "{line}");
    assert_eq!(sent(&rig), "");
}
