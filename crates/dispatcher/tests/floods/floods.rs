//! Clients that send at full speed do not delay the final answers of others: the program on loopback sockets, with
//! nodes that never answer. The bound is the users': half a second after the request's time, and 50 ms for sockets.

use crate::common::{message, request};
use crate::rig::{Rig, items, told};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 700;
const MAX_LATE_MS: u64 = 550;
/// The program may be killed this long after the signal to end.
const MAX_COUNTED_DEADLINE_MS: u64 = 3_000;
const KILL_DELAY_MS: u64 = 700;
/// Requests of a usual client, one after the other.
const REQUESTS: u64 = 3;
const FLOODING_CLIENTS: usize = 12;
/// Bytes that a flooding client writes at once.
const BATCH_BYTES: usize = 1_500_000;

/// Clients that send without a pause and read what they are sent.
struct Flood {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// `batch` returns what is written next; after `batches_per_connection` the client connects anew.
    fn start(
        rig: &Rig,
        batch: impl Fn() -> Arc<Vec<u8>> + Clone + Send + 'static,
        batches_per_connection: usize,
    ) -> Flood {
        Flood::of(FLOODING_CLIENTS, rig, batch, batches_per_connection)
    }

    /// The same with this many clients.
    fn of(
        clients: usize,
        rig: &Rig,
        batch: impl Fn() -> Arc<Vec<u8>> + Clone + Send + 'static,
        batches_per_connection: usize,
    ) -> Flood {
        let is_over = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let (address, batch, is_over) = (rig.address.clone(), batch.clone(), is_over.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    send_batches(&address, &batch, batches_per_connection, &is_over);
                }
            })
        };
        let threads = (0..clients).map(client).collect();
        Flood { is_over, threads }
    }

    fn end(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn send_batches(address: &str, batch: &impl Fn() -> Arc<Vec<u8>>, count: usize, is_over: &AtomicBool) {
    let Ok(mut writer) = TcpStream::connect(address) else {
        return thread::sleep(Duration::from_millis(10));
    };
    let _ = writer.set_write_timeout(Some(Duration::from_millis(200)));
    let mut reader = writer.try_clone().expect("a second handle");
    let reads = thread::spawn(move || while matches!(reader.read(&mut [0; 65_536]), Ok(1..)) {});
    let mut sends = || (0..count).all(|_| write_batch(&mut writer, &batch(), is_over));
    sends();
    let _ = writer.shutdown(Shutdown::Both);
    let _ = reads.join();
}

/// Writes a batch; returns whether the connection takes more, and the flood is not over.
fn write_batch(writer: &mut TcpStream, batch: &[u8], is_over: &AtomicBool) -> bool {
    let mut written = 0;
    while written < batch.len() && !is_over.load(Ordering::Relaxed) {
        match writer.write(&batch[written..]) {
            Ok(count) => written += count,
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    written == batch.len()
}

/// As many copies of a message as fit into a batch.
fn repeated(message: &[u8]) -> impl Fn() -> Arc<Vec<u8>> + Clone + Send + 'static {
    let batch = Arc::new(message.repeat(BATCH_BYTES / message.len()));
    move || batch.clone()
}

/// Well-formed requests, each with an id of its own, most of which exceed what may be open on a connection.
fn distinct_requests() -> Arc<Vec<u8>> {
    static IDS: AtomicU64 = AtomicU64::new(0xf00d_0000);
    let first = IDS.fetch_add(4_000, Ordering::Relaxed);
    let ids = first..first + 4_000;
    Arc::new(ids.flat_map(|id| request(id, "image", &format!("{id:016x}"), ",need=100")).collect())
}

/// An unusable request with as many fields as may be.
fn largest_unusable() -> Vec<u8> {
    request(1, "image", "9b1f", &format!(",timeout=99999999999999999999{}", ",x=".repeat(1_330)))
}

/// How late the final answer to each request of usual clients is, in milliseconds. Each comes on a new connection.
fn lateness_of_answers(rig: &Rig) -> Vec<u64> {
    let ask = |id: u64| {
        let mut client = rig.client();
        let fields = format!(",timeout={TIMEOUT_MS},need=100000");
        client.write_all(&request(id, "image", &format!("{id:016x}"), &fields)).expect("the program reads");
        let written = Instant::now();
        let answer = items(&mut BufReader::new(&client));
        assert_eq!(answer[0], id.to_string().as_bytes());
        (written.elapsed().as_millis() as u64).saturating_sub(TIMEOUT_MS)
    };
    (1..=REQUESTS).map(ask).collect()
}

fn assert_answers_in_time(
    batch: impl Fn() -> Arc<Vec<u8>> + Clone + Send + 'static,
    batches_per_connection: usize,
) {
    let rig = Rig::start();
    let flood = Flood::start(&rig, batch, batches_per_connection);
    thread::sleep(Duration::from_millis(300));
    let late = lateness_of_answers(&rig);
    flood.end();
    assert!(late.iter().all(|late_ms| *late_ms <= MAX_LATE_MS), "late by {late:?} ms");
}

/// Guards against a turn of the event loop that reads all of what many clients send before it looks at timers.
#[test]
fn unusable_requests_of_others_delay_no_final_answer() {
    assert_answers_in_time(repeated(&largest_unusable()), usize::MAX);
}

/// The same with the shortest messages, of which the most fit into a read.
#[test]
fn shortest_messages_of_others_delay_no_final_answer() {
    assert_answers_in_time(repeated(&message("ABORT", 1)), usize::MAX);
}

/// The same with requests that could be served.
#[test]
fn well_formed_requests_of_others_delay_no_final_answer() {
    assert_answers_in_time(distinct_requests, usize::MAX);
}

/// The same with clients that go and come back after each batch, with answers unread.
#[test]
fn clients_that_send_much_and_go_delay_no_final_answer() {
    assert_answers_in_time(repeated(&largest_unusable()), 1);
}

/// The same with clients that connect, say nothing and go, at full speed.
#[test]
fn crowds_of_connections_delay_no_final_answer() {
    assert_answers_in_time(repeated(&message("ABORT", 1)[..1]), 0);
}

/// Guards against a last read at the end of the program that takes all of what clients send: the requests that are open
/// at the signal are answered, and the program ends, before it may be killed.
#[test]
fn during_a_flood_the_program_ends_in_time() {
    let mut rig = Rig::start();
    let flood = Flood::start(&rig, repeated(&largest_unusable()), usize::MAX);
    thread::sleep(Duration::from_millis(300));
    let mut client = rig.client();
    client
        .write_all(&request(1, "image", "9b1f", &format!(",timeout={TIMEOUT_MS},need=100000")))
        .expect("the program reads");
    thread::sleep(Duration::from_millis(400));
    rig.signal("TERM");
    let signalled = Instant::now();
    let answer = items(&mut BufReader::new(&client));
    assert_eq!(answer[0], b"1");
    let status = rig.program.wait().expect("the program ends");
    let ended_ms = signalled.elapsed().as_millis() as u64;
    flood.end();
    assert_eq!(status.code(), Some(0));
    assert!(ended_ms <= MAX_COUNTED_DEADLINE_MS + KILL_DELAY_MS, "ended after {ended_ms} ms");
}

/// How late requests are served whose nodes answer at once, in milliseconds from when each was written.
fn delays_of_served_requests(rig: &mut Rig) -> Vec<u64> {
    let (_, none) = std::sync::mpsc::channel();
    let asked = std::mem::replace(&mut rig.asked, none);
    thread::spawn(move || {
        while let Ok(mut attempt) = asked.recv() {
            let id = attempt.line.split(' ').nth(1).unwrap_or_default().to_string();
            if attempt.line.starts_with("fetch") {
                let _ = attempt.back.write_all(&told(&format!("{id} ok why=local 4"), b"body\r\n"));
            }
        }
    });
    let ask = |id: u64| {
        let mut client = rig.client();
        let fields = ",timeout=5000,need=100000";
        client.write_all(&request(id, "image", &format!("{id:016x}"), fields)).expect("the program reads");
        let written = Instant::now();
        let answer = items(&mut BufReader::new(&client));
        assert_eq!(answer[1], b"OK");
        written.elapsed().as_millis() as u64
    };
    (1..=REQUESTS).map(ask).collect()
}

/// Guards against one client that takes all turns of the event loop: others are served meanwhile, in the same bound.
#[test]
fn one_flooding_client_delays_no_served_answer() {
    for batch in [repeated(&largest_unusable()), repeated(&message("ABORT", 1))] {
        let mut rig = Rig::start();
        let flood = Flood::of(1, &rig, batch, usize::MAX);
        thread::sleep(Duration::from_millis(300));
        let delays = delays_of_served_requests(&mut rig);
        flood.end();
        assert!(delays.iter().all(|delay_ms| *delay_ms <= MAX_LATE_MS), "served after {delays:?} ms");
    }
}
