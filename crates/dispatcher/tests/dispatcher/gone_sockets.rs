//! No attempt begins for a client that has closed or cancelled, on real sockets; checked by what stand-ins for
//! nodes receive. The program is stopped (SIGSTOP) to fix the order of its input; no test waits for time to pass.

use crate::common::{message, request};
use crate::rig::{Asked, Rig, UNHURRIED, answer, items, lies_unread, quiet, reset, told};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Aborts,
    /// It shuts down its sending side.
    Ends,
    /// It closes with unread data, which is a reset.
    Resets,
}

const LEAVES: [Leave; 3] = [Leave::Aborts, Leave::Ends, Leave::Resets];

impl Leave {
    /// The client sends these bytes and leaves.
    fn play(self, client: &mut TcpStream, before: &[u8]) {
        let mut bytes = before.to_vec();
        if let Leave::Aborts = self {
            bytes.extend(message("ABORT", 7));
        }
        client.write_all(&bytes).expect("the kernel buffers it for the program");
        match self {
            Leave::Aborts => {}
            Leave::Ends => client.shutdown(Shutdown::Write).expect("an end"),
            Leave::Resets => reset(client),
        }
    }
}

/// A node answers a lookup with a miss, which leads to a fill if the client still waits.
fn answer_miss(asked: &mut Asked) {
    // The connection may be closed by now.
    let _ = asked.back.write_all(&told("9b1f nothing - 0", b"\r\n"));
}

/// The attempts that nodes receive until new clients were answered three times, at least one whole turn of the
/// event loop.
fn sent(rig: &Rig) -> String {
    (0..3).map(|_| quiet(rig)).filter(|trace| trace.contains("fetch")).collect()
}

/// The end of a connection is noticed behind unparsable bytes: a miss that arrives later leads to no fill.
#[test]
fn the_end_of_a_connection_is_noticed_behind_unparsable_bytes() {
    for leave in [Leave::Ends, Leave::Resets] {
        let (rig, mut client, mut first) = Rig::asked_for("image");
        leave.play(&mut client, b"GET / HTTP/1.1\r\n");
        // The node is sent an abort: the end was noticed.
        assert!(rig.asked().line.starts_with("abort 9b1f"));
        answer_miss(&mut first);
        assert_eq!(sent(&rig), "");
    }
}

/// After SIGTERM, a client that leaves is treated as before.
#[test]
fn no_attempt_begins_for_a_client_that_leaves_during_shutdown() {
    for leave in LEAVES {
        let (rig, mut client, mut first) = Rig::asked_for("image");
        // A pending request keeps the program from exiting.
        let mut other = rig.client();
        other.write_all(&request(9, "post", "9b20", UNHURRIED)).expect("the program reads");
        let _ = rig.asked();
        rig.signal("TERM");
        leave.play(&mut client, b"");
        assert!(rig.asked().line.starts_with("abort 9b1f"));
        answer_miss(&mut first);
        let mut late = rig.client();
        for tag in 1..4 {
            late.write_all(&message("HEALTH", tag)).expect("the program reads");
            answer(&late);
        }
        let fetched = rig.asked.try_iter().find(|asked| asked.line.starts_with("fetch"));
        assert!(fetched.is_none(), "{}", fetched.map(|asked| asked.line).unwrap_or_default());
    }
}

/// A miss, and the abort or end of the client behind it, are read in one turn of the event loop; also on a
/// connection that may send no new requests because it used a tag twice.
#[test]
fn a_miss_and_an_abort_in_one_turn_lead_to_no_fill() {
    for twice in [false, true] {
        for leave in LEAVES {
            let (rig, mut client, mut first) = Rig::asked_for("image");
            rig.signal("STOP");
            answer_miss(&mut first);
            lies_unread(&first.back, false);
            let before = if twice { message("HEALTH", 7) } else { Vec::new() };
            leave.play(&mut client, &before);
            lies_unread(&client, !matches!(leave, Leave::Aborts));
            rig.signal("CONT");
            assert_eq!(sent(&rig), "", "{leave:?}, a tag twice: {twice}");
        }
    }
}

/// The maximum number of open requests of a connection, at the maximum size, and its end wait unread together: the
/// end is noticed before any of them is sent to a node.
#[test]
fn the_end_behind_the_maximum_of_open_requests_is_noticed_first() {
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
        client.write_all(&posts).expect("the kernel buffers it for the program");
        client.shutdown(Shutdown::Write).expect("an end");
        rig.signal("CONT");
        // Each is answered FAILED once the end is read: from then on nothing is sent to nodes.
        let mut reader = BufReader::new(&client);
        (0..32).for_each(|_| assert_eq!(items(&mut reader)[1], b"FAILED"));
        assert_eq!(sent(&rig), "", "round {round}");
    }
}

/// Unread requests with aborts between and behind them: no cancelled request is sent to a node.
#[test]
fn requests_aborted_in_the_same_batch_are_not_sent() {
    let rig = Rig::start();
    let mut client = rig.client();
    let ask = |tag: u64, id: &str| request(tag, "image", id, UNHURRIED);
    let cancelled =
        [ask(1, "9b01"), ask(2, "9b02"), message("ABORT", 1), ask(3, "9b03"), message("ABORT", 3)];
    let batch = [cancelled.concat(), ask(4, "9b04"), message("ABORT", 2)].concat();
    rig.signal("STOP");
    client.write_all(&batch).expect("the kernel buffers it for the program");
    lies_unread(&client, false);
    rig.signal("CONT");
    let line = rig.asked().line;
    assert!(line.starts_with("fetch 9b04"), "{line}");
    assert_eq!(sent(&rig), "");
}

/// Clients that leave at once, each with so much unread that the program needs many turns to read to their ends.
const LEAVING_CLIENTS: usize = 60;
const UNREAD_BYTES: usize = 60_000;

/// Guards against requests that are sent on for clients that have gone, as their end lies behind much unread input: output
/// to nodes is held back for some turns only.
#[test]
fn clients_that_leave_with_much_unread_have_no_request_sent_on() {
    for leave in [Leave::Ends, Leave::Resets] {
        let rig = Rig::start();
        let mut clients: Vec<_> = (0..LEAVING_CLIENTS).map(|_| rig.client()).collect();
        for client in &mut clients {
            client.write_all(&message("HEALTH", 1)).expect("the program reads");
            // A reset discards what its client has sent and the kernel not delivered, so the answer is read first.
            answer(client);
        }
        rig.signal("STOP");
        let others = message("ABORT", 9);
        for (number, client) in clients.iter_mut().enumerate() {
            let mut bytes = request(7, "image", &format!("{:016x}", number + 1), UNHURRIED);
            bytes.extend(others.repeat(UNREAD_BYTES / others.len()));
            leave.play(client, &bytes);
        }
        if let Leave::Ends = leave {
            clients.iter().for_each(|client| lies_unread(client, true));
        }
        rig.signal("CONT");
        assert_eq!(sent(&rig), "", "{leave:?}");
    }
}
