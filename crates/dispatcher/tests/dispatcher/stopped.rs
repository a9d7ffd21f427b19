//! The program is stopped (SIGSTOP) at random times under load; meanwhile some clients leave and others wait.
//! Checked by what the stand-ins for nodes receive, and when.

use crate::common::{message, request};
use crate::rig::{Asked, Rig, answer, reset};
use copperroute_routing::structures::random::Random;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ROUNDS: u64 = 12;
const CLIENTS: u64 = 24;
const REQUESTS: u64 = 6;
/// Each client's timeout.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// No attempt begins later than this after its client has left.
const MAX_START_AFTER_LEAVING: Duration = Duration::from_millis(100);
/// An attempt may send at most this much more time to live than its client has left.
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
/// Allowance for the delay on a busy machine between the sending of a byte and its receipt by the test.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(60);

/// An attempt as a node received it.
struct Seen {
    id: String,
    at: Instant,
    left: Duration,
}

/// Answers as nodes with empty caches: a lookup misses, a fill succeeds. Reports each attempt to `seen`.
fn answer_all(asked: Receiver<Asked>, seen: Sender<Seen>) {
    for mut asked in asked {
        let at = Instant::now();
        let Some((id, fields)) = asked.line.strip_prefix("fetch ").and_then(|rest| rest.split_once(' '))
        else {
            continue;
        };
        let field = |name: &str| fields.split([',', ' ']).find_map(|field| field.strip_prefix(name));
        let left = field("ttl=").and_then(|left| left.parse().ok()).expect("a time");
        let answer = match field("src=") {
            None => format!("{id} nothing - 0\r\n\r\n"),
            Some(_) => format!("{id} ok etag=4b00000000000000,made=1764 4\r\nbody\r\n"),
        };
        // The connection may be closed by now.
        let _ = asked.back.write_all(answer.as_bytes());
        if seen.send(Seen { id: id.to_string(), at, left: Duration::from_millis(left) }).is_err() {
            return;
        }
    }
}

/// Waits until new clients were answered three times, which takes at least one whole turn of the event loop.
fn settle(rig: &Rig) {
    for tag in 1..4 {
        let mut client = rig.client();
        client.write_all(&message("HEALTH", tag)).expect("the program reads");
        answer(&client);
    }
    thread::sleep(Duration::from_millis(50));
}

/// Clients leave while the program is stopped at any point of its event loop: once it continues, no attempt begins
/// for them. Attempts for the others send no more time to live than those clients have left.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_program_was_stopped() {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").subsec_nanos().into();
    println!("seed {seed}");
    let mut random = Random::new(seed);
    let (mut faults, mut attempts) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let mut rig = Rig::start();
        let asked = std::mem::replace(&mut rig.asked, channel().1);
        let (sender, seen) = channel();
        thread::spawn(move || answer_all(asked, sender));
        let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| rig.client()).collect();
        settle(&rig);
        let mut sent = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate() {
            let ids: Vec<_> = (1..=REQUESTS).map(|tag| format!("{round:04x}{number:04x}{tag:08x}")).collect();
            let ask = |(id, tag): (&String, u64)| request(tag, "image", id, ",need=100,timeout=1500");
            let batch: Vec<u8> = ids.iter().zip(1..).flat_map(ask).collect();
            client.write_all(&batch).expect("the kernel buffers it for the program");
            sent.extend(ids.into_iter().map(|id| (id, (number, Instant::now()))));
        }
        thread::sleep(Duration::from_micros((random.next_f64() * 25_000.0) as u64));
        rig.signal("STOP");
        let mut gone = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate().filter(|(number, _)| number % 4 != 0) {
            match number % 4 {
                1 => (1..=REQUESTS).for_each(|tag| {
                    client.write_all(&message("ABORT", tag)).expect("the kernel buffers it for the program");
                }),
                2 => client.shutdown(std::net::Shutdown::Both).expect("an end"),
                _ => reset(client),
            }
            gone.insert(number, Instant::now());
        }
        thread::sleep(Duration::from_millis(250 + (random.next_f64() * 100.0) as u64));
        rig.signal("CONT");
        settle(&rig);
        drop(rig);
        while let Ok(seen) = seen.recv_timeout(MEASUREMENT_SLACK) {
            let (number, asked_at) = sent[&seen.id];
            let left = TIMEOUT.saturating_sub(seen.at - asked_at);
            if let Some(gone) = gone
                .get(&number)
                .filter(|gone| seen.at > **gone + MAX_START_AFTER_LEAVING + MEASUREMENT_SLACK)
            {
                faults.push(format!(
                    "round {round}: attempt {} began {:?} after its client left",
                    seen.id,
                    seen.at - *gone
                ));
            } else if seen.left > left + TIME_LEFT_SLACK + MEASUREMENT_SLACK {
                faults.push(format!(
                    "round {round}: attempt {} sent a time to live of {:?}; the client has {left:?} left",
                    seen.id, seen.left
                ));
            }
            attempts += 1;
        }
    }
    println!("{attempts} attempts seen");
    assert!(attempts > 0);
    assert!(faults.is_empty(), "seed {seed}: {} faults\n{}", faults.len(), faults.join("\n"));
}
