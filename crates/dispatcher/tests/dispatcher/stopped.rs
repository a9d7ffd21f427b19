//! The machine stops the program at drawn moments under load: clients go meanwhile, others wait on. Judged by what stand-ins
//! of nodes were sent, and when.

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
/// How long each client waits.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// No attempt begins so long after its client has gone; nor is more time told than is left, but for that much more.
const GONE_FOR: Duration = Duration::from_millis(100);
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
/// For what a busy machine takes between a byte's leaving and its being seen here.
const MEASURING: Duration = Duration::from_millis(60);

/// An attempt as a node saw it.
struct Seen {
    id: String,
    at: Instant,
    left: Duration,
}

/// Nodes that hold nothing, and fill whatever is asked of them with a source; each attempt is told.
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
        // Its connection may have ended meanwhile.
        let _ = asked.back.write_all(answer.as_bytes());
        if seen.send(Seen { id: id.to_string(), at, left: Duration::from_millis(left) }).is_err() {
            return;
        }
    }
}

/// Until a client of its own was answered three times: at least one whole turn lies between.
fn settle(rig: &Rig) {
    for tag in 1..4 {
        let mut client = rig.client();
        client.write_all(&message("HEALTH", tag)).expect("the program reads");
        answer(&client);
    }
    thread::sleep(Duration::from_millis(50));
}

/// Clients go while the program is stopped, at any moment of its turns: nothing begins for them once it goes on. What is sent
/// on for the others tells no more time than they have left.
#[test]
fn who_goes_while_the_program_is_stopped_is_not_sent_for() {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").subsec_nanos().into();
    println!("seed {seed}");
    let mut random = Random::new(seed);
    let (mut late, mut sent_on) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let mut rig = Rig::start();
        let asked = std::mem::replace(&mut rig.asked, channel().1);
        let (tell, seen) = channel();
        thread::spawn(move || answer_all(asked, tell));
        let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| rig.client()).collect();
        settle(&rig);
        let mut sent = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate() {
            let ids: Vec<_> = (1..=REQUESTS).map(|tag| format!("{round:04x}{number:04x}{tag:08x}")).collect();
            let ask = |(id, tag): (&String, u64)| request(tag, "image", id, ",need=100,timeout=1500");
            let batch: Vec<u8> = ids.iter().zip(1..).flat_map(ask).collect();
            client.write_all(&batch).expect("it is kept for the program");
            sent.extend(ids.into_iter().map(|id| (id, (number, Instant::now()))));
        }
        thread::sleep(Duration::from_micros((random.next_f64() * 25_000.0) as u64));
        rig.signal("STOP");
        let mut gone = HashMap::new();
        for (number, client) in clients.iter_mut().enumerate().filter(|(number, _)| number % 4 != 0) {
            match number % 4 {
                1 => (1..=REQUESTS).for_each(|tag| {
                    client.write_all(&message("ABORT", tag)).expect("it is kept for the program");
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
        while let Ok(seen) = seen.recv_timeout(MEASURING) {
            let (number, asked_at) = sent[&seen.id];
            let left = TIMEOUT.saturating_sub(seen.at - asked_at);
            if let Some(gone) = gone.get(&number).filter(|gone| seen.at > **gone + GONE_FOR + MEASURING) {
                late.push(format!(
                    "round {round}: {} {:?} after its client had gone",
                    seen.id,
                    seen.at - *gone
                ));
            } else if seen.left > left + TIME_LEFT_SLACK + MEASURING {
                late.push(format!("round {round}: {} told {:?}, left {left:?}", seen.id, seen.left));
            }
            sent_on += 1;
        }
    }
    println!("{sent_on} pulls seen");
    assert!(sent_on > 0);
    assert!(late.is_empty(), "seed {seed}: {} late\n{}", late.len(), late.join("\n"));
}
