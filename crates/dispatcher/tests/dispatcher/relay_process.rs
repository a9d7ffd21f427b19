//! Replica processes between a stand-in for the change log and a dispatcher.

use crate::common::{CONFIG, message};
use crate::rig::{LONG, answer, processor_s};
use copperroute_fault_injection::{Call, FaultPlan, Span, preload};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A program with its configuration file; killed when it is dropped.
struct Program {
    child: Child,
    config: PathBuf,
}

impl Program {
    fn start(command: &str, name: &str, config: &str) -> Program {
        Program::failing(&FaultPlan::new(0), command, name, config)
    }

    /// The same with system calls that fail according to a fault plan.
    fn failing(plan: &FaultPlan, command: &str, name: &str, config: &str) -> Program {
        let path = std::env::temp_dir().join(format!("copperroute-{}-{name}.json", std::process::id()));
        std::fs::write(&path, config).expect("a temporary file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_copperroute"));
        if *plan != FaultPlan::new(0) {
            preload(&mut program, plan);
        }
        let child = program.arg(command).arg("--config").arg(&path).spawn().expect("it starts");
        Program { child, config: path }
    }

    fn replica(name: &str, listen: &str, source: &str, kind: &str) -> Program {
        Program::start("relay", name, &Program::replica_config(name, listen, source, kind))
    }

    /// A replica's configuration.
    fn replica_config(name: &str, listen: &str, source: &str, kind: &str) -> String {
        let source = format!("{{\"address\":\"{source}\",\"kind\":\"{kind}\"}}");
        format!("{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"sources\":[{source}]}}")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A stand-in for the change log: sends all events after the requested one, and the last sequence number each
/// second.
fn change_log() -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let events = Arc::new(Mutex::new(Vec::new()));
    let shared = events.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shared = shared.clone();
            thread::spawn(move || send_events(stream, &shared));
        }
    });
    (address, events)
}

fn send_events(mut stream: TcpStream, events: &Mutex<Vec<String>>) {
    let mut ask = String::new();
    BufReader::new(stream.try_clone().expect("a handle")).read_line(&mut ask).expect("a line");
    let mut at: usize = ask.trim().trim_start_matches("since ").parse().expect("a number");
    let mut next_heartbeat = Instant::now();
    loop {
        let events = events.lock().expect("nobody panicked").clone();
        let mut text: String = events.iter().skip(at).map(|event| format!("{event}\n")).collect();
        at = at.max(events.len());
        if next_heartbeat <= Instant::now() {
            text += &format!("{}\n", events.len());
            next_heartbeat += Duration::from_secs(1);
        }
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// A loopback address of its own: another test may take a port that was found free.
fn own_address(test: u8, last: u8) -> String {
    format!("127.{}.25{test}.{last}:5050", 1 + std::process::id() % 250)
}

/// Asks the dispatcher for its health until the answer contains `wanted`.
fn until_health(address: &str, wanted: &str) {
    let started = Instant::now();
    let mut health = String::new();
    while started.elapsed() < LONG {
        if let Ok(mut client) = TcpStream::connect(address) {
            client.write_all(&message("HEALTH", 1)).expect("it reads");
            health = answer(&client);
            if health.contains(wanted) {
                return;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("last health answer {health:?}; expected {wanted}");
}

fn node_list(seq: u64, state: &str) -> String {
    let node = |id: &str, kind: &str| {
        format!(
            "{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:9\",\"zone\":\"east\",\"kind\":\"{kind}\",\"cell\":0,\
             \"state\":\"{state}\",\"weight\":20,\"started_ms\":0}}"
        )
    };
    let nodes = [("s-a", "box"), ("s-b", "box"), ("p-1", "parent"), ("p-2", "parent"), ("o-1", "origin")]
        .map(|(id, kind)| node(id, kind));
    let nodes = nodes.join(",");
    format!("{{\"seq\":{seq},\"fleet\":{{\"version\":{seq},\"full\":true,\"servers\":[{nodes}]}}}}")
}

#[test]
fn a_dispatcher_receives_drains_through_two_replicas_after_one_is_killed() {
    let (log, events) = change_log();
    events.lock().expect("nobody panicked").push(node_list(1, "active"));
    let (first, second, listen) = (own_address(0, 1), own_address(0, 2), own_address(0, 3));
    let replica = Program::replica("first", &first, &log, "change-log");
    let _second = Program::replica("second", &second, &first, "replica");
    let config = CONFIG.replace("127.0.0.1:5050", &listen).replace("127.0.0.1:2379", &second);
    let _dispatcher = Program::start("serve", "dispatcher", &config);
    until_health(&listen, "UP");
    events.lock().expect("nobody panicked").push(node_list(2, "leaving"));
    until_health(&listen, "DOWN");
    drop(replica);
    events.lock().expect("nobody panicked").push(node_list(3, "active"));
    let _again = Program::replica("first-again", &first, &log, "change-log");
    until_health(&listen, "UP");
}

#[test]
fn a_replica_exits_with_0_on_sigterm() {
    let listen = own_address(1, 1);
    let mut replica = Program::replica("ends", &listen, "127.0.0.1:9", "change-log");
    let started = Instant::now();
    while TcpStream::connect(&listen).is_err() {
        assert!(started.elapsed() < LONG, "the replica does not listen");
        thread::sleep(Duration::from_millis(10));
    }
    let kill = format!("kill -TERM {}", replica.child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    assert_eq!(replica.child.wait().expect("it ends").code(), Some(0));
}

/// Whichever system calls of the replica fail, each follower receives the node list, and a drain arrives.
#[test]
fn a_replica_whose_system_calls_fail_serves_all_its_followers() {
    let (log, events) = change_log();
    events.lock().expect("nobody panicked").push(node_list(1, "active"));
    let accepts =
        [libc::ECONNABORTED, libc::EPROTO, libc::ETIMEDOUT, libc::ENETUNREACH, libc::ENFILE, libc::ENOBUFS];
    let plan = FaultPlan::new(4)
        .fail(Call::Accept, &accepts, 2, Span::ALWAYS)
        .fail(Call::Connect, &[libc::EINTR], 2, Span::ALWAYS)
        .fail(Call::Recv, &[libc::EINTR, libc::EAGAIN, libc::ENOMEM], 3, Span::ALWAYS)
        .fail(Call::Send, &[libc::EINTR, libc::EAGAIN, libc::ENOBUFS], 3, Span::ALWAYS)
        .fail(Call::Setsockopt, &[libc::ENOBUFS], 3, Span::ALWAYS)
        .short(3);
    let (first, listen) = (own_address(2, 1), own_address(2, 2));
    let config = Program::replica_config("failing", &first, &log, "change-log");
    let replica = Program::failing(&plan, "relay", "failing", &config);
    let config = CONFIG.replace("127.0.0.1:5050", &listen).replace("127.0.0.1:2379", &first);
    let _dispatcher = Program::start("serve", "dispatcher-of-failing", &config);
    until_health(&listen, "UP");
    let followers: Vec<_> = (0..30)
        .map(|_| {
            let mut follower = TcpStream::connect(&first).expect("it listens");
            follower.set_read_timeout(Some(LONG)).expect("a timeout");
            follower.write_all(b"since 0\n").expect("it reads");
            follower
        })
        .collect();
    for (number, follower) in followers.iter().enumerate() {
        let mut lines = BufReader::new(follower).lines();
        let received = lines.find(|line| line.as_ref().map_or(true, |line| line.contains("fleet")));
        assert!(matches!(received, Some(Ok(_))), "follower {number}: {received:?}, {plan}");
    }
    events.lock().expect("nobody panicked").push(node_list(2, "leaving"));
    until_health(&listen, "DOWN");
    let used = processor_s(replica.child.id());
    assert!(used < 5.0, "{used} s of processor time, {plan}");
}
