//! On each path where the program itself closes a client's connection, every request that was read is answered,
//! and nothing is read after the close. Events in, effects out, and the program on loopback sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use crate::rig::{Rig, UNHURRIED, answer, items, lies_unread, told};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_routing::interface::Nanos;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// The answers written to a client: tag and status word.
fn answers(trace: &str, client: u32) -> Vec<(u64, String)> {
    let start = format!("Client({client}) <- ");
    let of_client = trace.lines().filter_map(|line| line.strip_prefix(&start));
    let fields = of_client.map(|line| line.split(' ').collect::<Vec<_>>());
    fields.map(|fields| (fields[2].parse().expect("a tag"), fields[4].to_string())).collect()
}

/// A client sends half a message and then nothing: earlier requests on that connection were dropped without an
/// answer.
#[test]
fn requests_before_half_a_message_are_answered() {
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

/// Guards against a client being closed as too slow because its message lay unread here while others were read.
#[test]
fn a_message_that_is_read_late_in_pieces_is_answered() {
    let mut play = Play::new();
    play.beats(1, 1);
    let message = request(7, "image", "9b1f", ",timeout=5000,need=100000");
    play.event(Event::InputDelay(Nanos(100_000_000)));
    for piece in message.chunks(20) {
        play.client(piece);
        play.pass(700);
    }
    let trace = play.take();
    assert!(trace.contains("fetch 9b1f") && !trace.contains("shut Client(1)"), "{trace}");
}

/// The same on sockets: the answer arrives, then the connection is closed.
#[test]
fn a_client_that_sends_half_a_message_is_answered_and_then_shut() {
    let (_rig, mut client, mut asked) = Rig::asked_for("image");
    client.write_all(&message("HEALTH", 8)[..9]).expect("the program reads");
    thread::sleep(Duration::from_millis(2_500));
    asked.back.write_all(&told("9b1f ok - 4", b"body\r\n")).expect("the program reads");
    assert_eq!(answer(&client), "7 OK etag=4b00000000000000 body\n".replace("etag=4b00000000000000", ""));
    assert_eq!(client.read(&mut [0; 1]).expect("an end"), 0);
}

/// A client that never sent anything is shut after two seconds. Requests that it sends later stay unread.
#[test]
fn requests_after_the_connection_was_shut_stay_unread() {
    let rig = Rig::start();
    let mut client = rig.client();
    assert_eq!(client.read(&mut [0; 1]).expect("an end"), 0);
    client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("its side is open");
    lies_unread(&client, false);
    // Several turns of the event loop later it is still unread.
    for tag in 1..4 {
        let mut other = rig.client();
        other.write_all(&message("HEALTH", tag)).expect("the program reads");
        answer(&other);
        lies_unread(&client, false);
    }
    assert!(rig.asked.try_recv().is_err());
}

/// A shut connection is released at once when its client closes too, although it is no longer read.
#[test]
fn a_shut_connection_is_released_when_its_client_closes() {
    let mut rig = Rig::start();
    let folder = format!("/proc/{}/fd", rig.program.id());
    let descriptors = || std::fs::read_dir(&folder).expect("it runs").count();
    let client = rig.client();
    // Heartbeats keep the change log connected: a reconnect would change the number of descriptors.
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

/// After a tag that is used twice no new request is started, but each request that was read is answered, also if
/// the connection could be closed in the middle of the received batch.
#[test]
fn requests_read_behind_a_tag_used_twice_are_answered() {
    let mut play = Play::new();
    let ask = |tag, id| request(tag, "image", id, ",need=100");
    let batch =
        [ask(7, "9b07"), ask(7, "9b08"), message("ABORT", 7), ask(9, "9b09"), ask(10, "9b10")].concat();
    play.client(&batch);
    let trace = play.take();
    assert_eq!(answers(&trace, 1), [(9, "BUSY".to_string()), (10, "BUSY".to_string())], "{trace}");
    assert!(trace.contains("shut Client(1)\n"), "{trace}");
}

/// Memory runs out over a client that keeps sending requests: all requests read are answered before its connection
/// is closed.
#[test]
fn a_client_that_reads_too_slowly_gets_an_answer_to_every_request_read() {
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

/// A client that has read nothing for the idle time is sent an answer to its open request, and its connection is
/// shut.
#[test]
fn a_client_that_reads_nothing_is_answered_and_shut() {
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

/// Clients shut to free descriptors are not read again, whether they are new, idle, or beyond the limit.
#[test]
fn a_client_shut_to_free_descriptors_is_not_read_again() {
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

/// Requests on more connections than there are descriptors: each is answered, or was never read.
#[test]
fn requests_read_without_free_descriptors_are_answered() {
    let rig = Rig::limited("ulimit -n 40", Stdio::null());
    let (mut answered, mut unread) = (0, 0);
    for round in 0..10 {
        rig.signal("STOP");
        let clients: Vec<_> = (0..60)
            .map(|number| {
                let mut client = rig.client();
                let id = format!("{:016x}", round * 100 + number);
                client
                    .write_all(&request(7, "nothing", &id, ""))
                    .expect("the kernel buffers it for the program");
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
                // Closed with unread data.
                Err(fault) if fault.kind() == ErrorKind::ConnectionReset => unread += 1,
                Err(fault) => panic!("round {round}: {fault}"),
            }
        }
    }
    println!("{answered} answered, {unread} unread");
    assert_eq!(answered + unread, 600);
}

/// Guards against new clients being closed as idle in place of those that flood: these have input unread at all times.
#[test]
fn clients_that_flood_are_closed_before_one_that_has_just_connected() {
    let config = CONFIG.replace("\"sockets\": 1024", "\"sockets\": 40");
    let mut play = Play::of(&config);
    play.client(&message("HEALTH", 1));
    for client in 2..=20 {
        play.event(Event::Accepted(client, LOOPBACK));
        play.event(Event::Received(Peer::Client(client), &message("HEALTH", 1)));
    }
    let unread: Vec<u32> = (2..=20).collect();
    play.event(Event::InputUnread(&unread));
    play.take();
    let closed_for = |play: &mut Play, new: u32| {
        play.event(Event::Accepted(new, LOOPBACK));
        let trace = play.take();
        let shut = trace
            .lines()
            .filter_map(|line| line.strip_prefix("shut Client(")?.strip_suffix(')')?.parse().ok());
        shut.collect::<Vec<u32>>()
    };
    // The resting client comes first, then those that were read last.
    let closed = closed_for(&mut play, 21);
    assert_eq!(closed[..2], [1, 2], "{closed:?}");
    (22..=30).for_each(|client| drop(closed_for(&mut play, client)));
    play.event(Event::Received(Peer::Client(21), &request(7, "image", "9b1f", ",need=100")));
    assert!(play.take().contains("fetch 9b1f"));
}
