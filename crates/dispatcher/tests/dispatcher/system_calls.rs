//! System calls of the program fail with errors that the Linux manual allows. Checked by what clients and
//! stand-ins for nodes receive.

use crate::common::request;
use crate::rig::{Asked, LONG, Rig, UNHURRIED, answer, processor_s, told};
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

/// Longer than the program takes to load a fault plan that was written.
pub(crate) const TAKES_OVER: Duration = Duration::from_millis(120);
/// Concurrent clients.
const CLIENTS: u64 = 6;
/// Requests per client.
const REQUESTS: u64 = 10;
/// The most requests of all clients that may be refused while one connection in three fails.
const MAX_REFUSED: usize = 3;
/// The most log lines in a few seconds: ten of each kind.
const MAX_LOG_LINES: usize = 80;

/// A program whose system calls fail according to a fault plan, with nodes that answer each attempt at once.
struct Trial {
    rig: Rig,
    plan: PathBuf,
    log: PathBuf,
    /// Attempts received by nodes, by request id.
    asked: Arc<Mutex<HashMap<String, u32>>>,
}

impl Trial {
    fn start(name: &str) -> Trial {
        let path = |kind: &str| {
            std::env::temp_dir().join(format!("copperroute-calls-{}-{name}.{kind}", std::process::id()))
        };
        let (plan, log) = (path("plan"), path("log"));
        let _ = std::fs::remove_file(&plan);
        let errors = File::create(&log).expect("a file");
        let mut rig = Rig::failing(&FaultPlan::new(0).file(&plan), errors.into());
        let attempts = std::mem::replace(&mut rig.asked, channel().1);
        let asked = Arc::default();
        let counts = Arc::clone(&asked);
        thread::spawn(move || answer_all(&attempts, &counts));
        Trial { rig, plan, log, asked }
    }

    /// Makes system calls fail according to this plan from now on.
    fn set_plan(&self, plan: &FaultPlan) {
        // The program would ignore a half-written plan.
        std::fs::write(&self.plan, plan.to_string()).expect("written");
        sleep(TAKES_OVER);
    }

    /// Sends requests, some clients on one connection, others on a new one for each; returns the outcomes of
    /// unserved requests.
    fn send_requests(&self, plan: &FaultPlan) -> Vec<String> {
        let clients: Vec<JoinHandle<Vec<String>>> = (0..CLIENTS)
            .map(|number| {
                let address = self.rig.address.clone();
                thread::spawn(move || one_client(number, &address))
            })
            .collect();
        let unserved = clients.into_iter().flat_map(|client| client.join().expect("it ends")).collect();
        for (id, times) in self.asked.lock().expect("nobody panicked").iter() {
            // Ids of posts, sent by odd clients, end in f.
            assert!(*times == 1 || !id.ends_with('f'), "post {id} was sent to nodes {times} times, {plan}");
        }
        unserved
    }

    /// Checks that without faults all requests are served, and that the log is within its bound.
    fn check_recovery(&self, plan: &FaultPlan) {
        std::fs::write(&self.plan, FaultPlan::new(0).to_string()).expect("written");
        sleep(TAKES_OVER);
        assert_eq!(self.send_requests(plan), Vec::<String>::new(), "after {plan}");
        let log = std::fs::read_to_string(&self.log).expect("a log");
        let lines = log.lines().count();
        let last = log.lines().next_back().unwrap_or_default();
        assert!(lines <= MAX_LOG_LINES, "{lines} lines, the last of them {last}, {plan}");
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.plan);
        let _ = std::fs::remove_file(&self.log);
    }
}

fn answer_all(attempts: &Receiver<Asked>, counts: &Mutex<HashMap<String, u32>>) {
    for mut asked in attempts {
        let Some(id) = asked.line.strip_prefix("fetch ").and_then(|rest| rest.split(' ').next()) else {
            continue;
        };
        *counts.lock().expect("nobody panicked").entry(id.to_owned()).or_default() += 1;
        let why = if id.ends_with('f') { "-" } else { "why=local" };
        // The connection may be closed by now.
        let _ = asked.back.write_all(&told(&format!("{id} ok {why} 5"), b"whole\r\n"));
    }
}

/// Sends one request after the other; returns the outcomes of those that were not served.
fn one_client(number: u64, address: &str) -> Vec<String> {
    static IDS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let (sends_posts, keeps_connection) = (number % 2 == 1, number < CLIENTS / 2);
    let mut unserved = Vec::new();
    let mut connection: Option<TcpStream> = None;
    for tag in 1..=REQUESTS {
        let mut client = connection.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(address).expect("the program listens");
            stream.set_read_timeout(Some(LONG)).expect("a timeout");
            stream
        });
        let id = IDS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let id = format!("{id:015x}{}", if sends_posts { 'f' } else { '0' });
        let bytes = request(tag, if sends_posts { "post" } else { "image" }, &id, UNHURRIED);
        let result = client.write_all(&bytes).and_then(|()| {
            let mut first = [0; 1];
            client.peek(&mut first).and_then(|length| match length {
                0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(()),
            })
        });
        match result {
            Ok(()) => {
                let answer = answer(&client);
                if answer != format!("{tag} OK  whole\n") {
                    unserved.push(answer);
                }
                connection = keeps_connection.then_some(client);
            }
            Err(fault) => unserved.push(format!("{number}: request {tag}: {fault}")),
        }
    }
    unserved
}

/// One system call fails with one error every second time: all requests are served.
fn survives_each(name: &str, call: Call, errnos: &[i32]) {
    let trial = Trial::start(name);
    for (at, errno) in errnos.iter().enumerate() {
        let plan = FaultPlan::new(at as u64).fail(call, &[*errno], 2, Span::ALWAYS);
        trial.set_plan(&plan);
        assert_eq!(trial.send_requests(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

#[test]
fn each_error_of_accept_loses_no_request() {
    let connection_errors = [
        libc::EINTR,
        libc::EAGAIN,
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
    ];
    survives_each("accept-one", Call::Accept, &connection_errors);
    survives_each("accept-want", Call::Accept, &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
}

#[test]
fn random_errors_of_accept_lose_no_request() {
    let errnos = [
        libc::ECONNABORTED,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::EINTR,
        libc::EPROTO,
        libc::ETIMEDOUT,
    ];
    let trial = Trial::start("accept-drawn");
    for seed in 1..=8 {
        let plan = FaultPlan::new(seed).fail(Call::Accept, &errnos, 3, Span::ALWAYS);
        trial.set_plan(&plan);
        assert_eq!(trial.send_requests(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

/// Each use of a system call fails for a while: pending requests are served afterwards, and the program does not
/// busy-loop meanwhile.
#[test]
fn calls_that_always_fail_cause_no_busy_loop() {
    let cases = [
        (Call::Accept, libc::ENFILE),
        (Call::Accept, libc::ECONNABORTED),
        (Call::Accept, libc::EOPNOTSUPP),
        (Call::Recv, libc::EINTR),
        (Call::Recv, libc::ENOMEM),
        (Call::Send, libc::ENOBUFS),
        (Call::OtherRead, libc::EIO),
    ];
    let trial = Trial::start("always");
    for (call, errno) in cases {
        let mut client = trial.rig.client();
        let plan = FaultPlan::new(0).fail(call, &[errno], 1, Span::ALWAYS);
        trial.set_plan(&plan);
        let before = processor_s(trial.rig.program.id());
        if call == Call::OtherRead {
            trial.rig.signal("HUP");
        }
        // Sent before another client connects, as idle clients are closed when descriptors run out.
        let health = crate::common::message("HEALTH", 1);
        client.write_all(&health).expect("the kernel buffers it for the program");
        let mut late = trial.rig.client();
        late.write_all(&health).expect("the kernel buffers it for the program");
        sleep(Duration::from_millis(1_000));
        let used = processor_s(trial.rig.program.id()) - before;
        assert!(used < 0.5, "{used} s of processor time in one second, {plan}");
        trial.set_plan(&FaultPlan::new(0));
        assert_eq!([answer(&client), answer(&late)], ["1 UP\n"; 2], "{plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

#[test]
fn local_connect_failures_lose_no_request() {
    let trial = Trial::start("connect");
    let sockets = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let connects = [
        libc::EINTR,
        libc::EAGAIN,
        libc::EADDRNOTAVAIL,
        libc::EADDRINUSE,
        libc::ENETUNREACH,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EPERM,
    ];
    let cases = sockets.map(|errno| (Call::Socket, errno)).into_iter();
    for (call, errno) in cases.chain(connects.map(|errno| (Call::Connect, errno))) {
        let plan = FaultPlan::new(1).fail(call, &[errno], 3, Span::ALWAYS);
        trial.set_plan(&plan);
        // A request that fails to connect to each node in turn is refused, which is an answer; no request is lost.
        let (refused, lost): (Vec<_>, Vec<_>) =
            trial.send_requests(&plan).into_iter().partition(|outcome| outcome.contains(" BUSY "));
        assert_eq!(lost, Vec::<String>::new(), "{plan}");
        assert!(refused.len() <= MAX_REFUSED, "{refused:?}, {plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

/// Socket reads and writes are interrupted, fail for lack of memory, or are short: requests and answers arrive
/// complete.
#[test]
fn interrupted_failed_and_short_transfers_lose_nothing() {
    let trial = Trial::start("transfers");
    for seed in 1..=4 {
        let plan = FaultPlan::new(seed)
            .fail(Call::Recv, &[libc::EINTR, libc::EAGAIN, libc::ENOMEM], 3, Span::ALWAYS)
            .fail(Call::Send, &[libc::EINTR, libc::EAGAIN, libc::ENOBUFS, libc::ENOMEM], 3, Span::ALWAYS)
            .short(2);
        trial.set_plan(&plan);
        assert_eq!(trial.send_requests(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

/// A socket option, address or error that cannot be set or read does not fail a request.
#[test]
fn socket_options_that_cannot_be_set_or_read_lose_no_request() {
    let trial = Trial::start("options");
    for (call, errno) in [
        (Call::Setsockopt, libc::ENOBUFS),
        (Call::Getsockopt, libc::ENOBUFS),
        (Call::Ioctl, libc::ENOMEM),
        (Call::Getpeername, libc::ENOBUFS),
        (Call::Getsockname, libc::ENOBUFS),
    ] {
        let plan = FaultPlan::new(1).fail(call, &[errno], 3, Span::ALWAYS);
        trial.set_plan(&plan);
        assert_eq!(trial.send_requests(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.check_recovery(&FaultPlan::new(0));
}

/// SIGSTOP and SIGCONT interrupt the wait; a signal that cannot be read ends nothing and is handled later.
#[test]
fn interrupted_waits_and_unread_signals_end_nothing() {
    let mut trial = Trial::start("waits");
    for _ in 0..10 {
        trial.rig.signal("STOP");
        trial.rig.signal("CONT");
    }
    let plan =
        FaultPlan::new(1).fail(Call::OtherRead, &[libc::EINTR, libc::EIO, libc::EAGAIN], 2, Span::ALWAYS);
    trial.set_plan(&plan);
    for _ in 0..10 {
        trial.rig.signal("HUP");
    }
    trial.check_recovery(&plan);
    trial.rig.signal("TERM");
    assert!(trial.rig.program.wait().expect("it ends").success());
    let mut log = String::new();
    File::open(&trial.log).expect("a log").read_to_string(&mut log).expect("text");
    assert!(log.contains("configuration: read again"), "{log}");
}
