//! Rare moments on real sockets: what comes in the very moment in which a connection, a client or the program ends. The
//! program is stopped where two things are to be found by it at once, so that no test waits and hopes. Each line of
//! `docs/crossings.md` names its test.

use crate::common::{message, request};
use crate::rig::{Rig, UNHURRIED, answer, items, lies_unread, quiet, reset, rest, shown, told};
use expect_test::expect;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

/// A client that sends far more than is read in one turn behind what can't be read: what was answered reaches it, and then
/// an end, no reset. A close over unread bytes would be one, and take the answer with it.
#[test]
fn what_was_answered_reaches_a_client_that_goes_on_sending_what_cannot_be_read() {
    for _ in 0..10 {
        let rig = Rig::start();
        let mut client = rig.client();
        let mut bytes = message("HEALTH", 1);
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
        bytes.extend(std::iter::repeat_n(b'x', 400_000));
        rig.signal("STOP");
        client.write_all(&bytes).expect("it is kept for the program");
        rig.signal("CONT");
        assert_eq!(
            rest(&client),
            "*4\\r\\n$1\\r\\n1\\r\\n$2\\r\\nUP\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n end\n"
        );
    }
}

/// What was asked before a line that can't be read is owed its answer.
#[test]
fn what_was_asked_before_a_line_that_cannot_be_read_is_answered() {
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

/// A client that ends its sending side may have left: nothing is sent on for it any more. One that still reads is told so.
#[test]
fn a_client_that_ends_its_sending_side_is_told_at_once_and_nothing_goes_on() {
    let (rig, client, mut first) = Rig::asked_for("image");
    client.shutdown(Shutdown::Write).expect("an end");
    let mut trace = answer(&client);
    trace += &rest(&client);
    let abort = rig.asked();
    trace += &shown(&abort);
    // The miss that would have led to a fill.
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

/// A node's miss and its client's end are found in one turn, the miss first: no fill is asked for.
#[test]
fn a_miss_and_its_clients_end_in_one_turn_lead_to_no_fill() {
    for _ in 0..10 {
        let (rig, client, mut first) = Rig::asked_for("image");
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("it is kept for the program");
        lies_unread(&first.back, false);
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        let mut trace = shown(&rig.asked());
        trace += &quiet(&rig);
        assert_eq!(trace, "s-a: abort 9b1f\n8 UP\nnobody is asked\n");
    }
}

/// A request and its client's end lie waiting together, on a connection that is new or not: nothing is sent on.
#[test]
fn a_request_whose_client_has_left_is_not_sent_on() {
    for round in 0..10 {
        let rig = Rig::start();
        let mut old = rig.client();
        old.write_all(&message("HEALTH", 1)).expect("the program reads");
        assert_eq!(answer(&old), "1 UP\n");
        rig.signal("STOP");
        let mut client = if round % 2 == 0 { old } else { rig.client() };
        client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("it is kept for the program");
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
    }
}

/// A drain and a miss are found in one turn, the miss first: the fill is not asked of the node that drains.
#[test]
fn a_miss_and_a_drain_in_one_turn_lead_to_no_pull_there() {
    for _ in 0..10 {
        let (mut rig, _client, mut first) = Rig::asked_for("image");
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("it is kept for the program");
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

/// An abort lies behind more than is read in a turn, and a timer that would ask another node falls due in the same one.
#[test]
fn an_abort_behind_many_bytes_is_heard_before_time_is_called() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", ",need=1500,timeout=15000")).expect("the program reads");
    let first = rig.asked();
    rig.signal("STOP");
    let body = "x".repeat(40_000);
    let mut bytes = Vec::new();
    for tag in 100..107 {
        let unusable = request(tag, "nothing-known", &format!("9c{tag}"), "");
        let text = String::from_utf8(unusable).expect("text").replace("$0\r\n", &format!("$40000\r\n{body}"));
        bytes.extend(text.into_bytes());
    }
    bytes.extend(message("ABORT", 7));
    SockRef::from(&client).set_send_buffer_size(1_000_000).expect("an option");
    client.write_all(&bytes).expect("it is kept for the program");
    // The attempt is overdue after 0.9 s, and its node silent: all that is out there would go elsewhere.
    thread::sleep(Duration::from_millis(1_200));
    rig.signal("CONT");
    let next = rig.asked();
    assert_eq!((next.node, &next.line[..5]), (first.node, "abort"));
    let mut reader = BufReader::new(&client);
    (0..7).for_each(|_| assert_eq!(items(&mut reader)[1], b"FAILED"));
    assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
}

/// Connections and requests that lie unread in the kernel as the program ends are answered, and each connection ends
/// without a reset. Before, the listener and all connections were dropped over them.
#[test]
fn what_lies_unread_at_the_end_is_refused_and_every_connection_ends_in_order() {
    let mut rig = Rig::start();
    let resting = rig.client();
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
    late.write_all(&request(8, "image", "9b20", UNHURRIED)).expect("it is kept for the program");
    // Nothing new is waited for 0.75 s after the signal.
    thread::sleep(Duration::from_millis(900));
    rig.signal("CONT");
    trace += &answer(&late);
    trace += &rest(&resting);
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

/// Told to end twice, and to read its configuration in between, it answers what is open and ends well.
#[test]
fn further_signals_change_nothing_of_the_end() {
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

/// An answer and a reset behind it are found in one turn: the answer counts, and the request runs once.
#[test]
fn an_answer_with_a_reset_behind_it_counts() {
    for _ in 0..10 {
        let (rig, client, mut asked) = Rig::asked_for("post");
        rig.signal("STOP");
        asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("it is kept for the program");
        lies_unread(&asked.back, false);
        reset(&asked.back);
        rig.signal("CONT");
        assert_eq!(answer(&client), "7 OK  done\n");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
    }
}
