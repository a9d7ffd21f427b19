//! What is sent to clients.

use crate::common::request;
use crate::memory_watch::{LEAST_MEMORY_MB, MOST_DESCRIPTORS, MemoryWatch, rig_with_limits, serve_attempts};
use crate::rig::items;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

/// The largest object.
const OBJECT_BYTES: usize = 240_000;
/// Requests that the client keeps open: more than the sockets' buffers hold, so that output always waits in the program.
const OPEN_REQUESTS: u64 = 24;
/// The client's receive buffer.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// The pace of its reading: far slower than the nodes.
const BYTES_PER_SECOND: f64 = 40e6;
/// Objects read in all: several times the limit of memory.
const OBJECTS: u64 = 500;

/// Guards against output that is kept after it was sent, for as long as more follows it: the program grew by all that it
/// had sent to a client that asked again before it had read everything.
#[test]
fn output_that_was_sent_is_freed_although_more_follows() {
    let mut rig = rig_with_limits(LEAST_MEMORY_MB, MOST_DESCRIPTORS);
    serve_attempts(&mut rig, OBJECT_BYTES);
    let watch = MemoryWatch::start(rig.program.id());
    let mut client = rig.client();
    SockRef::from(&client).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an option");
    let mut answers = BufReader::new(client.try_clone().expect("a second handle"));
    let mut ask = |tag: u64| {
        let bytes = request(tag, "image", &format!("{tag:016x}"), ",need=25000,timeout=15000");
        client.write_all(&bytes).expect("the program reads");
    };
    (1..=OPEN_REQUESTS).for_each(&mut ask);
    let began = Instant::now();
    for read in 1..=OBJECTS {
        let answer = items(&mut answers);
        assert_eq!((answer[1].as_slice(), answer[3].len()), (b"OK".as_slice(), OBJECT_BYTES));
        ask(OPEN_REQUESTS + read);
        let due = Duration::from_secs_f64((read as usize * OBJECT_BYTES) as f64 / BYTES_PER_SECOND);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    watch.assert_within(&mut rig, LEAST_MEMORY_MB);
}
