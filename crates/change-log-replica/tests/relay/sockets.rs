//! The event loop on loopback sockets: a simulated change log, replicas in threads, and followers.

use crate::common::{delta, list, purge, secs};
use copperroute_change_log_replica::config::{Config, Source, SourceKind};
use copperroute_change_log_replica::event_loop::{Stop, serve_until};
use copperroute_change_log_replica::followers::FollowerSettings;
use copperroute_change_log_replica::retention::RetentionSettings;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// The longest wait of a test for something that must happen.
const MAX_WAIT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct LogState {
    events: Vec<String>,
    /// A change of this number ends all streams.
    history: u32,
    is_silent: bool,
    is_down: bool,
}

/// The change log: sends all events after the requested one, and a heartbeat each second.
#[derive(Clone)]
struct Log {
    state: Arc<Mutex<LogState>>,
    address: SocketAddr,
}

impl Log {
    fn start() -> Log {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has one");
        let log = Log { state: Arc::default(), address };
        log.state.lock().expect("nobody panicked").events.push(list(1));
        let serving = log.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                spawn(move || serving.serve_stream(stream));
            }
        });
        log
    }

    fn change(&self, change: impl FnOnce(&mut LogState)) {
        change(&mut self.state.lock().expect("nobody panicked"));
    }

    fn issue(&self, make: impl FnOnce(u64) -> String) -> u64 {
        let state = &mut *self.state.lock().expect("nobody panicked");
        let seq = state.events.len() as u64 + 1;
        state.events.push(make(seq));
        seq
    }

    fn serve_stream(&self, mut stream: TcpStream) {
        let mut ask = String::new();
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        if reader.read_line(&mut ask).is_err() {
            return;
        }
        let Some(mut at) = ask.trim().strip_prefix("since ").and_then(|of| of.parse::<usize>().ok()) else {
            return;
        };
        let history = self.state.lock().expect("nobody panicked").history;
        let mut beat = Instant::now();
        loop {
            let mut text = String::new();
            {
                let state = self.state.lock().expect("nobody panicked");
                if state.history != history || state.is_down {
                    return;
                }
                if !state.is_silent {
                    for event in state.events.iter().skip(at) {
                        text += &format!("{event}\n");
                    }
                    at = at.max(state.events.len());
                    if beat <= Instant::now() {
                        text += &format!("{}\n", state.events.len());
                        beat = Instant::now() + Duration::from_secs(1);
                    }
                }
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            sleep(Duration::from_millis(2));
        }
    }
}

/// A replica in a thread, which is stopped when this is dropped.
struct Replica {
    address: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl Replica {
    fn start(sources: &[(SocketAddr, SourceKind)], change: impl Fn(&mut Config)) -> Replica {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = free.local_addr().expect("it has one");
        drop(free);
        Self::start_at(address, sources, change)
    }

    fn start_at(
        address: SocketAddr,
        sources: &[(SocketAddr, SourceKind)],
        change: impl Fn(&mut Config),
    ) -> Replica {
        let sources =
            sources.iter().map(|(address, kind)| Source { address: *address, kind: *kind }).collect();
        let mut config = Config {
            name: format!("replica-{}", address.port()),
            listen: address,
            sources,
            retention: RetentionSettings { max_age: secs(3600.0), bytes: 8_000_000 },
            followers: FollowerSettings {
                most: 50,
                calls_per_s: 200.0,
                catch_up_bytes_per_s: 4_000_000.0,
                queue_bytes: 65_536,
            },
            propagation_bound: secs(0.5),
        };
        change(&mut config);
        let stop = Stop::default();
        let stops = stop.clone();
        let thread = Some(spawn(move || serve_until(&config, &stops)));
        Replica { address, stop, thread }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.stop.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A follower's stream from a replica.
struct Follower {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Follower {
    /// A follower that is served: it connects again until it receives a line.
    fn of(replica: &Replica, since: u64) -> (Follower, String) {
        let started = Instant::now();
        while started.elapsed() < MAX_WAIT {
            if let Some(mut follower) = Follower::call(replica.address, since)
                && let Some(line) = follower.line()
            {
                return (follower, line);
            }
            sleep(Duration::from_millis(50));
        }
        panic!("{} serves no follower", replica.address);
    }

    fn call(address: SocketAddr, since: u64) -> Option<Follower> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
        stream.write_all(format!("since {since}\n").as_bytes()).ok()?;
        Some(Follower { stream, buffer: Vec::new() })
    }

    /// The next line; `None` at the end of the stream.
    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8(line).expect("text").trim_end().to_string());
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(fault) if fault.kind() == ErrorKind::ConnectionReset => return None,
                Err(fault) => panic!("{fault}"),
            }
        }
    }

    /// Reads until this line is received; returns the time.
    fn until(&mut self, wanted: &str) -> Instant {
        loop {
            let line = self.line().expect("the stream goes on");
            if line == wanted {
                return Instant::now();
            }
        }
    }

    /// Reads until the stream ends; returns the lines and the time of the end.
    fn until_the_end(&mut self) -> (Vec<String>, Instant) {
        let started = Instant::now();
        let next = || {
            assert!(started.elapsed() < MAX_WAIT, "the stream does not end");
            self.line()
        };
        (std::iter::from_fn(next).collect(), Instant::now())
    }
}

const LOG: SourceKind = SourceKind::ChangeLog;
const REPLICA: SourceKind = SourceKind::Replica;

#[test]
fn events_pass_unchanged_through_two_replicas_within_half_a_second() {
    let log = Log::start();
    let odd = r#"{"invalidate" : {"time":1,"bucket":7,"more":1.50}, "seq":2}"#;
    log.issue(|_| odd.into());
    let first = Replica::start(&[(log.address, LOG)], |_| {});
    let second = Replica::start(&[(first.address, REPLICA)], |_| {});
    let (mut follower, line) = Follower::of(&second, 0);
    assert_eq!(line, list(1));
    assert_eq!(follower.line().expect("it goes on"), odd);
    follower.until("2");
    let mut delays = Vec::new();
    for _ in 0..40 {
        let issued = Instant::now();
        let seq = log.issue(purge);
        delays.push(follower.until(&purge(seq)) - issued);
        sleep(Duration::from_millis(20));
    }
    delays.sort();
    println!("two steps: median {:?}, worst {:?}", delays[20], delays[39]);
    assert!(delays[39] < Duration::from_millis(500), "{delays:?}");
}

#[test]
fn a_silent_source_ends_all_streams_down_the_chain_two_seconds_after_its_last_line() {
    let log = Log::start();
    let first = Replica::start(&[(log.address, LOG)], |_| {});
    let second = Replica::start(&[(first.address, REPLICA)], |_| {});
    let (mut follower, _) = Follower::of(&second, 0);
    let last = follower.until("1");
    log.change(|state| state.is_silent = true);
    let silent = Instant::now();
    let (lines, ended) = follower.until_the_end();
    assert!(lines.iter().all(|line| line == "1") && lines.len() <= 1, "{lines:?}");
    assert!(ended - last < Duration::from_millis(4_000), "{:?}", ended - last);
    assert!(ended - silent > Duration::from_millis(500));
    // No follower is served in the meantime: a connection ends without a line.
    let mut refused = Follower::call(first.address, 0).expect("it listens");
    assert_eq!(refused.line(), None);
    log.change(|state| state.is_silent = false);
    let (mut again, _) = Follower::of(&second, 0);
    again.until("1");
}

#[test]
fn followers_keep_their_streams_if_the_change_log_reconnects_at_once() {
    let log = Log::start();
    let replica = Replica::start(&[(log.address, LOG)], |_| {});
    let (mut follower, _) = Follower::of(&replica, 0);
    follower.until("1");
    log.change(|state| state.history += 1);
    let seq = log.issue(purge);
    follower.until(&purge(seq));
    follower.until("2");
}

#[test]
fn the_second_source_is_followed_when_the_first_is_lost_and_no_event_is_missed() {
    let log = Log::start();
    let first = Replica::start(&[(log.address, LOG)], |_| {});
    let second = Replica::start(&[(log.address, LOG)], |_| {});
    // Until the first replica is current it closes connections, and the third would follow the second from the start.
    let (_, _) = Follower::of(&first, 0);
    let third = Replica::start(&[(first.address, REPLICA), (second.address, REPLICA)], |_| {});
    let (mut follower, _) = Follower::of(&third, 0);
    follower.until("1");
    drop(first);
    let (_, _) = follower.until_the_end();
    for _ in 0..5 {
        log.issue(purge);
    }
    let (mut follower, line) = Follower::of(&third, 1);
    assert_eq!(line, purge(2));
    follower.until(&purge(6));
    follower.until("6");
}

#[test]
fn a_restarted_replica_requests_all_events_and_its_followers_continue() {
    let log = Log::start();
    for _ in 0..10 {
        log.issue(purge);
    }
    let replica = Replica::start(&[(log.address, LOG)], |_| {});
    let address = replica.address;
    let (mut follower, line) = Follower::of(&replica, 8);
    assert_eq!(line, purge(9));
    follower.until("11");
    drop(replica);
    follower.until_the_end();
    let replica = Replica::start_at(address, &[(log.address, LOG)], |_| {});
    log.issue(purge);
    let (_, line) = Follower::of(&replica, 11);
    assert_eq!(line, purge(12));
}

#[test]
fn a_change_log_with_a_new_history_is_followed_from_its_first_event() {
    let log = Log::start();
    for _ in 0..10 {
        log.issue(purge);
    }
    let replica = Replica::start(&[(log.address, LOG)], |_| {});
    let (mut follower, _) = Follower::of(&replica, 0);
    follower.until("11");
    log.change(|state| {
        state.events = vec![list(1).replace("s-0", "s-9")];
        state.history += 1;
    });
    follower.until_the_end();
    let (mut again, line) = Follower::of(&replica, 0);
    assert!(line.contains("s-9"), "{line}");
    again.until("1");
}

#[test]
fn a_follower_whose_next_event_was_evicted_gets_a_snapshot_first() {
    let log = Log::start();
    log.issue(|seq| delta(seq, "s-1", "active"));
    for _ in 0..40 {
        log.issue(purge);
    }
    let bound = |config: &mut Config| config.retention.bytes = 1_000;
    let replica = Replica::start(&[(log.address, LOG)], bound);
    let (mut follower, line) = Follower::of(&replica, 3);
    let state: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(state["fleet"]["full"], true);
    assert_eq!(state["fleet"]["servers"].as_array().map(Vec::len), Some(2));
    follower.until("42");
}

#[test]
fn a_follower_that_reads_nothing_is_closed_and_the_others_get_all_events() {
    let log = Log::start();
    let replica = Replica::start(&[(log.address, LOG)], |_| {});
    let (mut prompt, _) = Follower::of(&replica, 0);
    let (mut slow, _) = Follower::of(&replica, 0);
    prompt.until("1");
    let wide = "x".repeat(2_000);
    let mut last = String::new();
    for _ in 0..1_500 {
        log.issue(|seq| {
            last = format!("{{\"seq\":{seq},\"wide\":\"{wide}\"}}");
            last.clone()
        });
        sleep(Duration::from_millis(1));
    }
    prompt.until(&last);
    sleep(Duration::from_millis(2_500));
    let (lines, _) = slow.until_the_end();
    let whole: Vec<_> = lines.iter().filter(|line| line.ends_with('}')).collect();
    assert!(whole.len() < 1_500, "{} lines were sent", whole.len());
    let of =
        |line: &str| serde_json::from_str::<serde_json::Value>(line).ok().and_then(|of| of["seq"].as_u64());
    let seqs: Vec<_> = whole.iter().filter_map(|line| of(line)).collect();
    assert!(seqs.windows(2).all(|pair| pair[1] == pair[0] + 1), "a gap");
}

#[test]
fn one_follower_too_many_is_closed_without_a_line() {
    let log = Log::start();
    let replica = Replica::start(&[(log.address, LOG)], |config| config.followers.most = 1);
    let (mut follower, _) = Follower::of(&replica, 0);
    let mut second = Follower::call(replica.address, 0).expect("it listens");
    assert_eq!(second.line(), None);
    follower.until("1");
}
