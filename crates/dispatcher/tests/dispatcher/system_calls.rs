//! System calls of the program fail as Linux's manual says they may: judged by what clients and stand-ins of nodes saw.

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

/// Longer than it takes until a plan that was written holds.
pub(crate) const TAKES_OVER: Duration = Duration::from_millis(120);
/// Clients at once, and what each asks.
const CLIENTS: u64 = 6;
const REQUESTS: u64 = 10;
/// Of all that they ask so many are refused at most while a third of the connections can't be made.
const MOST_REFUSED: usize = 3;
/// Lines of the log that a few seconds may bring: ten of a kind.
const MOST_LINES: usize = 80;

/// A program that serves while a plan makes its calls fail, with nodes that answer all at once.
struct Trial {
    rig: Rig,
    plan: PathBuf,
    log: PathBuf,
    /// How often nodes were asked, by id.
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
        let asks = std::mem::replace(&mut rig.asked, channel().1);
        let asked = Arc::default();
        let counts = Arc::clone(&asked);
        thread::spawn(move || answer_all(&asks, &counts));
        Trial { rig, plan, log, asked }
    }

    /// From now on calls fail by this plan.
    fn fails(&self, plan: &FaultPlan) {
        // A plan that is half written would be passed over.
        std::fs::write(&self.plan, plan.to_string()).expect("written");
        sleep(TAKES_OVER);
    }

    /// Clients ask, some on one connection, some on a new one each time; returns what became of requests that were not
    /// served.
    fn ask(&self, plan: &FaultPlan) -> Vec<String> {
        let clients: Vec<JoinHandle<Vec<String>>> = (0..CLIENTS)
            .map(|number| {
                let address = self.rig.address.clone();
                thread::spawn(move || one_client(number, &address))
            })
            .collect();
        let unserved = clients.into_iter().flat_map(|client| client.join().expect("it ends")).collect();
        for (id, times) in self.asked.lock().expect("nobody panicked").iter() {
            // Those of odd clients are posts.
            assert!(*times == 1 || !id.ends_with('f'), "post {id} was asked for {times} times, {plan}");
        }
        unserved
    }

    /// It serves on, and has not filled its log.
    fn ends(&self, plan: &FaultPlan) {
        std::fs::write(&self.plan, FaultPlan::new(0).to_string()).expect("written");
        sleep(TAKES_OVER);
        assert_eq!(self.ask(plan), Vec::<String>::new(), "after {plan}");
        let log = std::fs::read_to_string(&self.log).expect("a log");
        let lines = log.lines().count();
        let last = log.lines().next_back().unwrap_or_default();
        assert!(lines <= MOST_LINES, "{lines} lines, the last of them {last}, {plan}");
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.plan);
        let _ = std::fs::remove_file(&self.log);
    }
}

fn answer_all(asks: &Receiver<Asked>, counts: &Mutex<HashMap<String, u32>>) {
    for mut asked in asks {
        let Some(id) = asked.line.strip_prefix("fetch ").and_then(|rest| rest.split(' ').next()) else {
            continue;
        };
        *counts.lock().expect("nobody panicked").entry(id.to_owned()).or_default() += 1;
        let why = if id.ends_with('f') { "-" } else { "why=local" };
        // Its connection may have ended meanwhile.
        let _ = asked.back.write_all(&told(&format!("{id} ok {why} 5"), b"whole\r\n"));
    }
}

/// Asks one request after the other; returns what became of those that were not served.
fn one_client(number: u64, address: &str) -> Vec<String> {
    static IDS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let (writes, stays) = (number % 2 == 1, number < CLIENTS / 2);
    let mut unserved = Vec::new();
    let mut connection: Option<TcpStream> = None;
    for tag in 1..=REQUESTS {
        let mut client = connection.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(address).expect("the program listens");
            stream.set_read_timeout(Some(LONG)).expect("a timeout");
            stream
        });
        let id = IDS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let id = format!("{id:015x}{}", if writes { 'f' } else { '0' });
        let bytes = request(tag, if writes { "post" } else { "image" }, &id, UNHURRIED);
        let came = client.write_all(&bytes).and_then(|()| {
            let mut first = [0; 1];
            client.peek(&mut first).and_then(|length| match length {
                0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(()),
            })
        });
        match came {
            Ok(()) => {
                let answer = answer(&client);
                if answer != format!("{tag} OK  whole\n") {
                    unserved.push(answer);
                }
                connection = stays.then_some(client);
            }
            Err(fault) => unserved.push(format!("{number}: request {tag}: {fault}")),
        }
    }
    unserved
}

/// One call fails with one error, one time in two: everything is served.
fn each_is_survived(name: &str, call: Call, errnos: &[i32]) {
    let trial = Trial::start(name);
    for (at, errno) in errnos.iter().enumerate() {
        let plan = FaultPlan::new(at as u64).fail(call, &[*errno], 2, Span::ALWAYS);
        trial.fails(&plan);
        assert_eq!(trial.ask(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

#[test]
fn accept_fails_with_each_error_and_loses_nothing() {
    let of_one = [
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
    each_is_survived("accept-one", Call::Accept, &of_one);
    each_is_survived("accept-want", Call::Accept, &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
}

#[test]
fn drawn_errors_of_accept_lose_nothing() {
    let drawn = [
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
        let plan = FaultPlan::new(seed).fail(Call::Accept, &drawn, 3, Span::ALWAYS);
        trial.fails(&plan);
        assert_eq!(trial.ask(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

/// Where each use fails for a while, what waits is served afterwards, and meanwhile the processor rests.
#[test]
fn what_always_fails_takes_no_processor() {
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
        trial.fails(&plan);
        let before = processor_s(trial.rig.program.id());
        if call == Call::OtherRead {
            trial.rig.signal("HUP");
        }
        // Spoken before another connects: who rests is closed for want of descriptors.
        let health = crate::common::message("HEALTH", 1);
        client.write_all(&health).expect("it is kept for the program");
        let mut late = trial.rig.client();
        late.write_all(&health).expect("it is kept for the program");
        sleep(Duration::from_millis(1_000));
        let used = processor_s(trial.rig.program.id()) - before;
        assert!(used < 0.5, "{used} s of the processor in one second, {plan}");
        trial.fails(&FaultPlan::new(0));
        assert_eq!([answer(&client), answer(&late)], ["1 UP\n"; 2], "{plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

#[test]
fn connecting_fails_for_want_of_this_machine_and_nothing_is_lost() {
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
        trial.fails(&plan);
        // One that meets the want at each node in turn is refused, which is an answer; none is lost.
        let (refused, lost): (Vec<_>, Vec<_>) =
            trial.ask(&plan).into_iter().partition(|came| came.contains(" BUSY "));
        assert_eq!(lost, Vec::<String>::new(), "{plan}");
        assert!(refused.len() <= MOST_REFUSED, "{refused:?}, {plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

/// Reads and writes of sockets are interrupted, hindered and cut short: what is asked and answered comes through whole.
#[test]
fn interrupted_hindered_and_short_transfers_lose_nothing() {
    let trial = Trial::start("transfers");
    for seed in 1..=4 {
        let plan = FaultPlan::new(seed)
            .fail(Call::Recv, &[libc::EINTR, libc::EAGAIN, libc::ENOMEM], 3, Span::ALWAYS)
            .fail(Call::Send, &[libc::EINTR, libc::EAGAIN, libc::ENOBUFS, libc::ENOMEM], 3, Span::ALWAYS)
            .short(2);
        trial.fails(&plan);
        assert_eq!(trial.ask(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

/// A connection that can't be made ready in full, or asked for its error, is none to be blamed for.
#[test]
fn options_that_can_not_be_set_or_read_lose_nothing() {
    let trial = Trial::start("options");
    for (call, errno) in [
        (Call::Setsockopt, libc::ENOBUFS),
        (Call::Getsockopt, libc::ENOBUFS),
        (Call::Ioctl, libc::ENOMEM),
        (Call::Getpeername, libc::ENOBUFS),
        (Call::Getsockname, libc::ENOBUFS),
    ] {
        let plan = FaultPlan::new(1).fail(call, &[errno], 3, Span::ALWAYS);
        trial.fails(&plan);
        assert_eq!(trial.ask(&plan), Vec::<String>::new(), "{plan}");
    }
    trial.ends(&FaultPlan::new(0));
}

/// A stop and continue interrupts the wait; a signal that can't be read ends nothing, and is heard later.
#[test]
fn interrupted_waits_and_unread_signals_end_nothing() {
    let mut trial = Trial::start("waits");
    for _ in 0..10 {
        trial.rig.signal("STOP");
        trial.rig.signal("CONT");
    }
    let plan =
        FaultPlan::new(1).fail(Call::OtherRead, &[libc::EINTR, libc::EIO, libc::EAGAIN], 2, Span::ALWAYS);
    trial.fails(&plan);
    for _ in 0..10 {
        trial.rig.signal("HUP");
    }
    trial.ends(&plan);
    trial.rig.signal("TERM");
    assert!(trial.rig.program.wait().expect("it ends").success());
    let mut log = String::new();
    File::open(&trial.log).expect("a log").read_to_string(&mut log).expect("text");
    assert!(log.contains("configuration: read again"), "{log}");
}
