//! What clients send: incomplete requests, open requests, ever new names. The limits are the least memory with the most
//! descriptors.

use crate::common::{message, request};
use crate::memory_watch::{LEAST_MEMORY_MB, MOST_DESCRIPTORS, MemoryWatch, rig_with_limits, serve_attempts};
use crate::rig::{Rig, items};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The largest body of a request.
const BODY_BYTES: usize = 48_000;
/// Clients that hold an incomplete request each: fewer than half of the descriptors, so that none is closed for others.
const SLOW_CLIENTS: usize = 450;
/// A client that has not completed its request after this time may be closed.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Clients that send many requests at once, and how many.
const GREEDY_CLIENTS: usize = 150;
const REQUESTS_AT_ONCE: usize = 150;
const FLOOD: Duration = Duration::from_secs(4);

/// A request that brings a body of `BODY_BYTES`.
fn write_request(tag: u64, id: &str) -> Vec<u8> {
    let without_body = request(tag, "post", id, ",need=100,timeout=3000");
    let head = without_body.strip_suffix(b"$0\r\n\r\n").expect("an empty body");
    let length = format!("${BODY_BYTES}\r\n");
    [head, length.as_bytes(), &[b'x'; BODY_BYTES], b"\r\n"].concat()
}

/// Fails unless a usual client is answered its health check and a small request.
fn assert_serves(rig: &Rig) {
    let mut client = rig.client();
    let mut answers = BufReader::new(client.try_clone().expect("a second handle"));
    client.write_all(&message("HEALTH", 1)).expect("the program reads");
    assert_eq!(items(&mut answers)[1], b"UP");
    client.write_all(&request(2, "image", "feed", ",need=25000,timeout=15000")).expect("the program reads");
    assert_eq!(items(&mut answers)[1], b"OK");
}

/// Guards against incomplete requests that nobody counts: hundreds of clients that stopped within a large body took more
/// than the limit. Each is answered once its request is complete.
#[test]
fn clients_that_stop_within_a_large_request_take_bounded_memory() {
    let mut rig = rig_with_limits(LEAST_MEMORY_MB, MOST_DESCRIPTORS);
    serve_attempts(&mut rig, 100);
    let watch = MemoryWatch::start(rig.program.id());
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..SLOW_CLIENTS)
        .map(|number| (rig.client(), write_request(1, &format!("{:016x}", number + 1))))
        .collect();
    let began = Instant::now();
    // In pieces, and each stops at another place.
    let stops_at = |number: usize, bytes: &[u8]| bytes.len() - 1 - number * 7 % 8_000;
    for piece in 0..4 {
        for (number, (client, bytes)) in clients.iter_mut().enumerate() {
            let stop = stops_at(number, bytes);
            let _ = client.write_all(&bytes[stop * piece / 4..stop * (piece + 1) / 4]);
        }
    }
    assert_serves(&rig);
    let mut words = BTreeMap::<String, usize>::new();
    for (number, (client, bytes)) in clients.iter_mut().enumerate() {
        let _ = client.write_all(&bytes[stops_at(number, bytes)..]);
        let answer = word_of_answer(client);
        *words.entry(answer).or_default() += 1;
    }
    println!("answers to the slow clients: {words:?}");
    let count = |word: &str| words.get(word).copied().unwrap_or_default();
    let is_in_time = began.elapsed() < MESSAGE_TIMEOUT;
    assert!(!is_in_time || count("OK") + count("BUSY") == SLOW_CLIENTS, "each is answered: {words:?}");
    watch.assert_within(&mut rig, LEAST_MEMORY_MB);
}

/// The word of the answer that a client gets; "closed" if its connection ends instead.
fn word_of_answer(client: &TcpStream) -> String {
    let mut reader = BufReader::new(client);
    match reader.fill_buf() {
        Ok(bytes) if !bytes.is_empty() => String::from_utf8_lossy(&items(&mut reader)[1]).into_owned(),
        _ => "closed".into(),
    }
}

/// Guards against bodies of open requests that nobody counts: clients that send hundreds of writes at once took more than
/// the limit. Nodes answer nothing, so that all that is accepted stays open.
#[test]
fn bodies_of_open_requests_take_bounded_memory() {
    let mut rig = rig_with_limits(LEAST_MEMORY_MB, MOST_DESCRIPTORS);
    let watch = MemoryWatch::start(rig.program.id());
    let clients: Vec<_> = (0..GREEDY_CLIENTS)
        .map(|number| {
            let mut client = rig.client();
            let mut reader = client.try_clone().expect("a second handle");
            thread::spawn(move || while matches!(reader.read(&mut [0; 65_536]), Ok(1..)) {});
            thread::spawn(move || {
                for tag in 1..=REQUESTS_AT_ONCE {
                    let id = format!("{:016x}", number * REQUESTS_AT_ONCE + tag);
                    if client.write_all(&write_request(tag as u64, &id)).is_err() {
                        return client;
                    }
                }
                client
            })
        })
        .collect();
    let clients: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    thread::sleep(Duration::from_secs(1));
    watch.assert_within(&mut rig, LEAST_MEMORY_MB);
    drop(clients);
}

/// Guards against tables that grow by names that clients send: at full speed, each request under an id, and for an object,
/// that never came before.
#[test]
fn ever_new_names_take_bounded_memory() {
    let mut rig = rig_with_limits(LEAST_MEMORY_MB, MOST_DESCRIPTORS);
    serve_attempts(&mut rig, 100);
    let watch = MemoryWatch::start(rig.program.id());
    let began = Instant::now();
    let floods: Vec<_> = (0..4u64)
        .map(|flood| {
            let mut client = rig.client();
            let mut reader = client.try_clone().expect("a second handle");
            thread::spawn(move || while matches!(reader.read(&mut [0; 65_536]), Ok(1..)) {});
            thread::spawn(move || {
                let mut tag = 0;
                while began.elapsed() < FLOOD {
                    let batch: Vec<u8> = (0..200)
                        .flat_map(|_| {
                            tag += 1;
                            let id = format!("{:016x}", (flood + 1) << 40 | tag);
                            let bytes = request(tag, "image", &id, ",need=100,timeout=3000");
                            let text = String::from_utf8(bytes).expect("text");
                            text.replace("subject=7f3a000000000000", &format!("subject={id}")).into_bytes()
                        })
                        .collect();
                    if client.write_all(&batch).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    floods.into_iter().for_each(|flood| flood.join().expect("a client"));
    assert_serves(&rig);
    watch.assert_within(&mut rig, LEAST_MEMORY_MB);
}
