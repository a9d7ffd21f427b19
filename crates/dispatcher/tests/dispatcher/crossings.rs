//! Races on real sockets: input that arrives just as a connection, a client or the program ends. Where two events must
//! be found in one turn of the event loop, the program is stopped with SIGSTOP meanwhile, so that no test depends on
//! timing. Each line of `docs/crossings.md` names its test.

use crate::common::{message, request};
use crate::rig::{Rig, UNHURRIED, answer, items, lies_unread, quiet, reset, rest, shown, told};
use expect_test::expect;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

/// A client sends malformed input and then far more bytes than are read in one turn. It must receive the answer to its
/// earlier message and then an end of stream. Closing with unread bytes would send a reset, which discards the answer.
#[test]
fn an_answer_reaches_a_client_that_goes_on_sending_malformed_input() {
    for _ in 0..10 {
        let rig = Rig::start();
        let mut client = rig.client();
        let mut bytes = message("HEALTH", 1);
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
        bytes.extend(std::iter::repeat_n(b'x', 400_000));
        rig.signal("STOP");
        client.write_all(&bytes).expect("the kernel buffers it");
        rig.signal("CONT");
        assert_eq!(
            rest(&client),
            "*4\\r\\n$1\\r\\n1\\r\\n$2\\r\\nUP\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n end\n"
        );
    }
}

/// A request that was sent before malformed input is still answered.
#[test]
fn a_request_before_malformed_input_is_answered() {
    let rig = Rig::start();
    let mut client = rig.client();
    let mut bytes = request(7, "post", "9b1f", UNHURRIED);
    bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
    client.write_all(&bytes).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    let mut trace = answer(&client);
    trace += &rest(&client);
    expect![[r#"
        7 OK  done
         end
    "#]]
    .assert_eq(&trace);
}

/// A client that shuts down its sending side may have left: its requests fail at once, which it sees if it still reads,
/// and no further attempts are sent.
#[test]
fn a_client_that_shuts_down_its_sending_side_is_answered_at_once_and_no_attempt_follows() {
    let (rig, client, mut first) = Rig::asked_for("image");
    client.shutdown(Shutdown::Write).expect("an end");
    let mut trace = answer(&client);
    trace += &rest(&client);
    let abort = rig.asked();
    trace += &shown(&abort);
    // A miss, which would lead to a fill if the request were still open.
    first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("the program reads");
    trace += &quiet(&rig);
    expect![[r#"
        7 FAILED
         end
        s-a: abort 9b1f
        8 UP
        nobody is asked
    "#]]
    .assert_eq(&trace);
}

/// A node's miss and the client's end of stream are found in one turn, the miss first: no fill is sent.
#[test]
fn a_miss_and_the_clients_end_in_one_turn_lead_to_no_fill() {
    for _ in 0..10 {
        let (rig, client, mut first) = Rig::asked_for("image");
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("the kernel buffers it");
        lies_unread(&first.back, false);
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        let mut trace = shown(&rig.asked());
        trace += &quiet(&rig);
        assert_eq!(trace, "s-a: abort 9b1f\n8 UP\nnobody is asked\n");
    }
}

/// A request and its client's end of stream are found together, on a new or an older connection: no attempt is sent.
#[test]
fn a_request_whose_client_has_left_leads_to_no_attempt() {
    for round in 0..10 {
        let rig = Rig::start();
        let mut old = rig.client();
        old.write_all(&message("HEALTH", 1)).expect("the program reads");
        assert_eq!(answer(&old), "1 UP\n");
        rig.signal("STOP");
        let mut client = if round % 2 == 0 { old } else { rig.client() };
        client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the kernel buffers it");
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
    }
}

/// A drain and a miss are found in one turn, the miss first: the fill is not sent to the draining node.
#[test]
fn a_miss_and_a_drain_in_one_turn_lead_to_no_attempt_there() {
    for _ in 0..10 {
        let (mut rig, _client, mut first) = Rig::asked_for("image");
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("the kernel buffers it");
        lies_unread(&first.back, false);
        let node = first.node;
        rig.tell(&format!(
            "{{\"seq\":2,\"fleet\":{{\"servers\":[{{\"id\":\"{node}\",\"state\":\"leaving\",\"zone\":\"east\",\"kind\":\"box\"}}]}}}}\n"
        ));
        lies_unread(&rig.log, false);
        rig.signal("CONT");
        let second = rig.asked();
        assert_ne!(second.node, node, "{}", second.line);
    }
}

/// An abort follows more bytes than are read in one turn, and a timer that would try another node is due in the same
/// turn: the abort must be handled first.
#[test]
fn an_abort_after_many_bytes_is_handled_before_a_due_timer() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", ",need=1500,timeout=15000")).expect("the program reads");
    let first = rig.asked();
    rig.signal("STOP");
    let body = "x".repeat(40_000);
    let mut bytes = Vec::new();
    for tag in 100..107 {
        let invalid = request(tag, "nothing-known", &format!("9c{tag}"), "");
        let text = String::from_utf8(invalid).expect("text").replace("$0\r\n", &format!("$40000\r\n{body}"));
        bytes.extend(text.into_bytes());
    }
    bytes.extend(message("ABORT", 7));
    SockRef::from(&client).set_send_buffer_size(1_000_000).expect("an option");
    client.write_all(&bytes).expect("the kernel buffers it");
    // The attempt times out after 0.9 s without an answer: all requests in flight there would move to another node.
    thread::sleep(Duration::from_millis(1_200));
    rig.signal("CONT");
    let next = rig.asked();
    assert_eq!((next.node, &next.line[..5]), (first.node, "abort"));
    let mut reader = BufReader::new(&client);
    (0..7).for_each(|_| assert_eq!(items(&mut reader)[1], b"FAILED"));
    assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
}

/// Connections and requests that are unread in the kernel as the program ends are answered, and each connection ends
/// without a reset. Guards against dropping the listener and all connections with unread input.
#[test]
fn requests_unread_at_shutdown_are_refused_and_no_connection_is_reset() {
    let mut rig = Rig::start();
    let idle = rig.client();
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 1)).expect("the program reads");
    let mut trace = answer(&client);
    rig.signal("TERM");
    while {
        client.write_all(&message("HEALTH", 2)).expect("the program reads");
        !answer(&client).contains("DOWN")
    } {}
    rig.signal("STOP");
    let mut late = rig.client();
    late.write_all(&request(8, "image", "9b20", UNHURRIED)).expect("the kernel buffers it");
    // The program stops waiting for new input 0.75 s after the signal.
    thread::sleep(Duration::from_millis(900));
    rig.signal("CONT");
    trace += &answer(&late);
    trace += &rest(&idle);
    trace += &rest(&client);
    trace += &rest(&late);
    trace += &format!("{:?}\n", rig.program.wait().expect("the program ends").code());
    expect![[r#"
        1 UP
        8 BUSY
         end
         end
         end
        Some(0)
    "#]]
    .assert_eq(&trace);
}

/// After repeated signals to terminate and to reload, the program answers open requests and exits with status 0.
#[test]
fn repeated_signals_do_not_change_the_shutdown() {
    let (mut rig, client, mut asked) = Rig::asked_for("post");
    ["TERM", "HUP", "TERM", "HUP"].iter().for_each(|name| rig.signal(name));
    let mut late = rig.client();
    while {
        late.write_all(&message("HEALTH", 1)).expect("the program reads");
        answer(&late).contains("UP")
    } {}
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    let mut trace = answer(&client);
    trace += &rest(&client);
    trace += &format!("{:?}\n", rig.program.wait().expect("the program ends").code());
    expect![[r#"
        7 OK  done
         end
        Some(0)
    "#]]
    .assert_eq(&trace);
}

/// An answer and a reset after it are found in one turn: the answer is used, and the request is not retried.
#[test]
fn an_answer_followed_by_a_reset_is_used() {
    for _ in 0..10 {
        let (rig, client, mut asked) = Rig::asked_for("post");
        rig.signal("STOP");
        asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the kernel buffers it");
        lies_unread(&asked.back, false);
        reset(&asked.back);
        rig.signal("CONT");
        assert_eq!(answer(&client), "7 OK  done\n");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
    }
}
