//! What was read from a client is answered, and what is shut is shut unread: each path on which a client's connection ends by
//! the program's will. Events in, effects out, and the program on loopback sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use crate::rig::{Rig, UNHURRIED, answer, items, lies_unread, told};
use copperroute_dispatcher::effects::{Event, Peer};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// What was written to a client, by tag: the words of its answers.
fn answers(trace: &str, client: u32) -> Vec<(u64, String)> {
    let start = format!("Client({client}) <- ");
    let of_client = trace.lines().filter_map(|line| line.strip_prefix(&start));
    let fields = of_client.map(|line| line.split(' ').collect::<Vec<_>>());
    fields.map(|fields| (fields[2].parse().expect("a tag"), fields[4].to_string())).collect()
}

/// Half of a message, and then nothing: what was asked before on that connection was forsaken with no answer.
#[test]
fn what_was_asked_before_half_of_something_is_answered() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",timeout=5000,need=100000"));
    play.client(&message("HEALTH", 8)[..9]);
    play.pass(2_600);
    assert!(!play.take().contains("Client(1)"));
    play.node("9b1f ok why=local 4");
    let trace = play.take();
    assert_eq!(answers(&trace, 1), [(7, "OK".to_string())], "{trace}");
    assert!(trace.contains("shut Client(1)\n"), "{trace}");
}

/// The same on sockets: the answer comes, and then the end.
#[test]
fn who_sends_half_of_something_is_answered_and_then_shut() {
    let (_rig, mut client, mut asked) = Rig::asked_for("image");
    client.write_all(&message("HEALTH", 8)[..9]).expect("the program reads");
    thread::sleep(Duration::from_millis(2_500));
    asked.back.write_all(&told("9b1f ok - 4", b"body\r\n")).expect("the program reads");
    assert_eq!(answer(&client), "7 OK etag=4b00000000000000 body\n".replace("etag=4b00000000000000", ""));
    assert_eq!(client.read(&mut [0; 1]).expect("an end"), 0);
}

/// A client that never spoke is shut after two seconds. What it asks behind that stays unread.
#[test]
fn what_is_asked_behind_the_end_of_a_connection_stays_unread() {
    let rig = Rig::start();
    let mut client = rig.client();
    assert_eq!(client.read(&mut [0; 1]).expect("an end"), 0);
    client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("its side is open");
    lies_unread(&client, false);
    // Several turns later it lies there still.
    for tag in 1..4 {
        let mut other = rig.client();
        other.write_all(&message("HEALTH", tag)).expect("the program reads");
        answer(&other);
        lies_unread(&client, false);
    }
    assert!(rig.asked.try_recv().is_err());
}

/// A client that ends as well is let go of at once, though nothing is read from it any more.
#[test]
fn a_client_that_ends_behind_the_end_is_let_go_of() {
    let mut rig = Rig::start();
    let folder = format!("/proc/{}/fd", rig.program.id());
    let descriptors = || std::fs::read_dir(&folder).expect("it runs").count();
    let client = rig.client();
    // The change log is heard all the while: else it would be called anew.
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(400));
        rig.tell("1\n");
    }
    assert_eq!((&client).read(&mut [0; 1]).expect("an end"), 0);
    let before = descriptors();
    drop(client);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(descriptors(), before - 1);
}

/// Behind a tag used twice nothing new is begun, but each request that was read is answered, also where the connection could
/// end in the middle of what came.
#[test]
fn what_was_read_behind_a_tag_used_twice_is_answered() {
    let mut play = Play::new();
    let ask = |tag, id| request(tag, "image", id, ",need=100");
    let batch =
        [ask(7, "9b07"), ask(7, "9b08"), message("ABORT", 7), ask(9, "9b09"), ask(10, "9b10")].concat();
    play.client(&batch);
    let trace = play.take();
    assert_eq!(answers(&trace, 1), [(9, "BUSY".to_string()), (10, "BUSY".to_string())], "{trace}");
    assert!(trace.contains("shut Client(1)\n"), "{trace}");
}

/// Memory has run out over a client that goes on asking: all that was read of it is answered before its connection ends.
#[test]
fn who_takes_too_little_is_answered_all_that_was_read() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    for tag in 7..11 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.calm = false;
    let body = "x".repeat(240_000);
    for id in ["9b07", "9b08", "9b09"] {
        play.node_bytes(&format!("{id} ok - {}", body.len()), &format!("{body}\r\n"));
    }
    let (mut asked, mut answered) = (vec![10], Vec::new());
    play.take();
    for first in (100..).step_by(3) {
        let tags = [first, first + 1, first + 2];
        let batch: Vec<u8> =
            tags.iter().flat_map(|tag| request(*tag, "image", &format!("{tag:06x}"), ",need=100")).collect();
        play.client(&batch);
        asked.extend(tags);
        let trace = play.take();
        answered.extend(answers(&trace, 1).into_iter().map(|(tag, _)| tag));
        assert!(!trace.contains("fetch"), "{trace}");
        if trace.contains("Client(1)\n") && trace.contains("shut") {
            break;
        }
    }
    answered.sort();
    assert_eq!(answered, asked);
}

/// A client that has taken nothing for long is told what becomes of what is open, should it take it yet.
#[test]
fn who_takes_nothing_is_told_and_shut() {
    let mut play = Play::of(&CONFIG.replace("\"conn_idle_s\": 30.0", "\"conn_idle_s\": 1.0"));
    play.client(&request(7, "image", "9b07", ",need=100"));
    play.client(&request(8, "image", "9b08", ",timeout=5000,need=100000"));
    play.calm = false;
    play.node("9b07 ok why=local 4");
    play.take();
    play.pass(1_300);
    let trace = play.take();
    assert_eq!(answers(&trace, 1), [(8, "FAILED".to_string())], "{trace}");
    assert!(trace.contains("shut Client(1)\n"), "{trace}");
}

/// Clients that are ended for others' sake: none of it is read on, whether they are new, rest, or are one too many.
#[test]
fn who_is_shut_for_want_of_room_is_shut_unread() {
    let mut play = Play::of(&CONFIG.replace("\"sockets\": 1024", "\"sockets\": 8"));
    play.client(&message("HEALTH", 1));
    (2..=9).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
    (10..=20).for_each(|client| {
        play.event(Event::Accepted(client, LOOPBACK));
        let busy = request(7, "image", &format!("{client:016x}"), ",need=100");
        play.event(Event::Received(Peer::Client(client), &busy));
    });
    play.event(Event::NoDescriptors);
    let trace = play.take();
    assert!(trace.matches("shut Client").count() > 8, "{trace}");
    assert!(!trace.contains("read on"), "{trace}");
}

/// Requests come on more connections than there are descriptors: each is answered, or was never read.
#[test]
fn under_want_of_descriptors_what_was_read_is_answered() {
    let rig = Rig::limited("ulimit -n 40", Stdio::null());
    let (mut answered, mut unread) = (0, 0);
    for round in 0..10 {
        rig.signal("STOP");
        let clients: Vec<_> = (0..60)
            .map(|number| {
                let mut client = rig.client();
                let id = format!("{:016x}", round * 100 + number);
                client.write_all(&request(7, "nothing", &id, "")).expect("it is kept for the program");
                client
            })
            .collect();
        rig.signal("CONT");
        for client in &clients {
            let mut reader = BufReader::new(client);
            match reader.fill_buf() {
                Ok([]) => {
                    lies_unread(client, false);
                    unread += 1;
                }
                Ok(_) => {
                    assert_eq!(items(&mut reader)[1], b"FAILED");
                    answered += 1;
                }
                // Closed over what it had not read.
                Err(fault) if fault.kind() == ErrorKind::ConnectionReset => unread += 1,
                Err(fault) => panic!("round {round}: {fault}"),
            }
        }
    }
    println!("{answered} answered, {unread} unread");
    assert_eq!(answered + unread, 600);
}
