//! Shutdown with short deadlines and hanging nodes: every request is answered before the program may be killed.

use crate::common::{CONFIG, LOOPBACK, Play, request};
use crate::rig::{Rig, items};
use copperroute_dispatcher::effects::{Event, Peer};
use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

/// Requests arrive for 0.6 s after the signal. The program may be killed this long after the longest deadline, of which
/// at most `MAX_COUNTED_DEADLINE_MS` counts.
const KILL_DELAY_MS: u64 = 700;
const MAX_COUNTED_DEADLINE_MS: u64 = 3_000;

#[test]
fn with_any_deadline_all_requests_are_answered_before_the_kill() {
    for deadline_ms in [50, 100, 300, 700, 1_500, 3_000, 8_000] {
        let deadline = format!("\"deadline_s\": {:?}", deadline_ms as f64 / 1e3);
        let config =
            CONFIG.replace("\"deadline_s\": 5.0", &deadline).replace("\"deadline_s\": 3.0", &deadline);
        let mut play = Play::of(&config);
        (2..=14).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
        let ask = |play: &mut Play, client: u32, of: &str| {
            let id = format!("{client:04x}{:04x}", of.len());
            let timeout = format!(",need=100,timeout={deadline_ms}");
            play.event(Event::Received(Peer::Client(client), &request(of.len() as u64, of, &id, &timeout)));
        };
        // Nodes accept attempts and answer none.
        let image_and_post =
            |play: &mut Play, client| ["image", "post"].iter().for_each(|of| ask(play, client, of));
        image_and_post(&mut play, 1);
        play.event(Event::Terminate);
        for client in 2..=14 {
            play.pass(46);
            image_and_post(&mut play, client);
        }
        play.pass(deadline_ms.min(MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS - 13 * 46 - 1);
        let trace = play.take();
        for client in 1..=14 {
            let answers = trace.matches(&format!("Client({client}) <- ")).count();
            assert_eq!(answers, 2, "{deadline_ms} ms, client {client}: {trace}");
        }
        assert!(trace.ends_with("exit\n"), "{deadline_ms} ms: {trace}");
    }
}

/// The same on sockets, with nodes that never answer.
#[test]
fn requests_at_hanging_nodes_are_answered_before_the_kill() {
    let mut rig = Rig::start();
    let ask = |tag: u64, id: u64| {
        let of = if tag.is_multiple_of(2) { "image" } else { "post" };
        request(tag, of, &format!("{id:016x}"), ",need=25000,timeout=15000")
    };
    let mut clients: Vec<_> = (0..8).map(|_| rig.client()).collect();
    for (number, client) in (0..).zip(&mut clients) {
        (1..=4).for_each(|tag| client.write_all(&ask(tag, number * 100 + tag)).expect("the program reads"));
    }
    let _ = rig.asked();
    rig.signal("TERM");
    let signalled_at = Instant::now();
    while signalled_at.elapsed() < Duration::from_millis(550) {
        thread::sleep(Duration::from_millis(50));
    }
    for (number, client) in (0..).zip(&mut clients) {
        (5..=8).for_each(|tag| client.write_all(&ask(tag, number * 100 + tag)).expect("the program reads"));
    }
    thread::sleep(
        Duration::from_millis(MAX_COUNTED_DEADLINE_MS + KILL_DELAY_MS).saturating_sub(signalled_at.elapsed()),
    );
    rig.program.kill().expect("a child");
    for client in &clients {
        let mut reader = BufReader::new(client);
        let mut tags: Vec<_> = (0..8).map(|_| items(&mut reader).swap_remove(0)).collect();
        tags.sort();
        assert_eq!(tags, (1..=8).map(|tag| tag.to_string().into_bytes()).collect::<Vec<_>>());
    }
}
