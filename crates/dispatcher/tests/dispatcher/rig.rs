//! Test rig: runs the program on loopback sockets with small stand-ins for nodes and the change log.

use crate::common::{CONFIG, answered, message, request, short};
use copperroute_fault_injection::{self as fault_injection, FaultPlan, VARIABLE};
use socket2::SockRef;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of each wait: far longer than any takes; it only ends a test that hangs.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Fields of a request with such a size and timeout that no stand-in counts as slow, however busy the machine is.
pub(crate) const UNHURRIED: &str = ",need=25000,timeout=15000";

/// A line that a stand-in for a node received, and the connection to answer it on.
pub(crate) struct Asked {
    pub node: &'static str,
    pub line: String,
    pub back: TcpStream,
}

/// Starts a stand-in for a node, which reports each line that it receives and sends no answers itself; returns its
/// address.
pub(crate) fn stand_in(node: &'static str, asked: Sender<Asked>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let asked = asked.clone();
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
                while let Some(Ok(line)) = lines.next() {
                    if line.starts_with("fetch") {
                        lines.next();
                    }
                    let back = stream.try_clone().expect("a second handle");
                    if asked.send(Asked { node, line, back }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Number of values of the third byte of the listen address that rigs use; other tests use the values from 100 on.
const RIGS_PER_HOST: u32 = 100;

/// A running program with stand-ins for its nodes and its change log.
pub(crate) struct Rig {
    pub program: Child,
    pub address: String,
    pub asked: Receiver<Asked>,
    pub log: TcpStream,
    pub config: PathBuf,
}

impl Rig {
    pub(crate) fn start() -> Rig {
        Rig::limited("true", Stdio::null())
    }

    /// Starts a rig with a client that has sent one request, with tag 7; returns the attempt at a node too.
    pub(crate) fn asked_for(content_type: &str) -> (Rig, TcpStream, Asked) {
        let rig = Rig::start();
        let mut client = rig.client();
        client.write_all(&request(7, content_type, "9b1f", UNHURRIED)).expect("the program reads");
        let asked = rig.asked();
        (rig, client, asked)
    }

    /// Starts a rig with system calls that fail according to a fault plan.
    pub(crate) fn failing(plan: &FaultPlan, errors: Stdio) -> Rig {
        let library = fault_injection::library();
        Rig::limited(&format!("export LD_PRELOAD='{}' {VARIABLE}='{plan}'", library.display()), errors)
    }

    /// Starts a rig after a shell command that sets limits.
    pub(crate) fn limited(limits: &str, errors: Stdio) -> Rig {
        Rig::configured(limits, errors, |config| config)
    }

    /// The same with a configuration that `edit` has changed.
    pub(crate) fn configured(limits: &str, errors: Stdio, edit: impl Fn(String) -> String) -> Rig {
        let (sender, asked) = channel();
        let log = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // A loopback address of its own: another test may take a port that was found free.
        static RIGS: AtomicU32 = AtomicU32::new(0);
        let rig = RIGS.fetch_add(1, Ordering::Relaxed);
        let (net, host) = (rig % RIGS_PER_HOST, 1 + rig / RIGS_PER_HOST);
        let address = format!("127.{}.{net}.{host}:5050", 1 + std::process::id() % 250);
        let mut config = CONFIG.replace("127.0.0.1:5050", &address);
        config = config.replace("127.0.0.1:2379", &log.local_addr().expect("an address").to_string());
        for expiry in ["5.0", "3.0"] {
            config = config.replace(&format!("\"deadline_s\": {expiry}"), "\"deadline_s\": 15.0");
        }
        for (node, port) in [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)] {
            config = config.replace(&format!("127.0.0.1:{port}"), &stand_in(node, sender.clone()));
        }
        let path = std::env::temp_dir().join(format!("copperroute-{}.json", address.replace(':', "-")));
        std::fs::write(&path, edit(config)).expect("a temporary file");
        let serve = format!("{limits}; exec \"$0\" serve --config \"$1\"");
        let program = Command::new("sh")
            .args(["-c", &serve, env!("CARGO_BIN_EXE_copperroute")])
            .arg(&path)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        // It connects to the change log once it has read its configuration and listens.
        let log = followed(&log);
        Rig { program, address, asked, log, config: path }
    }

    pub(crate) fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("the program listens");
        stream.set_read_timeout(Some(LONG)).expect("a timeout");
        stream
    }

    pub(crate) fn asked(&self) -> Asked {
        self.asked.recv_timeout(LONG).expect("a node is asked")
    }

    /// Sends a heartbeat each second from now on, with the number `last` until the returned value is changed.
    pub(crate) fn beats(&self, last: u64) -> Arc<AtomicU64> {
        let last = Arc::new(AtomicU64::new(last));
        let (number, mut log) = (last.clone(), self.log.try_clone().expect("a second handle"));
        thread::spawn(move || {
            while log.write_all(format!("{}\n", number.load(Ordering::Relaxed)).as_bytes()).is_ok() {
                thread::sleep(Duration::from_secs(1));
            }
        });
        last
    }

    /// Sends text on the change log connection.
    pub(crate) fn tell(&mut self, line: &str) {
        self.log.write_all(line.as_bytes()).expect("the program reads");
    }

    pub(crate) fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.program.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
        // SIGSTOP takes effect with a delay: until then the program would read earlier input apart from later
        // input.
        let stat = format!("/proc/{}/stat", self.program.id());
        while name == "STOP" && !std::fs::read_to_string(&stat).expect("it runs").contains(") T ") {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Accepts the connection of the program to a stand-in for the change log, which it follows from event 1.
pub(crate) fn followed(log: &TcpListener) -> TcpStream {
    log.set_nonblocking(true).expect("a listener");
    let until = Instant::now() + LONG;
    let mut stream = loop {
        match log.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < until, "the program does not follow the change log"),
        }
        thread::sleep(Duration::from_millis(2));
    };
    let mut since = [0; 8];
    stream.read_exact(&mut since).expect("a line");
    assert_eq!(&since, b"since 1\n");
    stream.write_all(b"1\n").expect("the program reads");
    stream
}

/// The bytes of a node's answer line and of the data behind it.
pub(crate) fn told(answer: &str, rest: &[u8]) -> Vec<u8> {
    let mut bytes = answered(answer).into_bytes();
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(rest);
    bytes
}

/// Reads an answer: its four bulk strings.
pub(crate) fn items(reader: &mut impl BufRead) -> Vec<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).expect("an answer");
    assert_eq!(line, "*4\r\n");
    let mut item = || {
        line.clear();
        reader.read_line(&mut line).expect("a length");
        let length: usize = line.trim_end()[1..].parse().expect("a length");
        let mut item = vec![0; length + 2];
        reader.read_exact(&mut item).expect("an item");
        item.truncate(length);
        item
    };
    (0..4).map(|_| item()).collect()
}

/// Reads an answer and joins its strings to one line.
pub(crate) fn answer(stream: &TcpStream) -> String {
    let words: Vec<_> =
        items(&mut BufReader::new(stream)).iter().map(|w| w.escape_ascii().to_string()).collect();
    words.join(" ").trim_end().to_string() + "\n"
}

/// The node and line of an attempt, with the time to live replaced by T: only that differs between runs, as hashes
/// are the same in each.
pub(crate) fn shown(asked: &Asked) -> String {
    let wait = asked.line.split("ttl=").nth(1).map_or("", |rest| rest.split([',', ' ']).next().unwrap_or(""));
    short(&format!("{}: {}\n", asked.node, asked.line.replace(&format!("ttl={wait}"), "ttl=T")))
}

/// Resets a connection.
pub(crate) fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
    SockRef::from(stream).shutdown(Shutdown::Both).ok();
}

/// Reads a connection to its end; returns the bytes and how it ended.
pub(crate) fn rest(mut stream: &TcpStream) -> String {
    let mut all = Vec::new();
    let end = stream.read_to_end(&mut all);
    format!(
        "{}{}\n",
        all.escape_ascii(),
        end.map_or_else(|fault| format!(" {:?}", fault.kind()), |_| " end".into())
    )
}

/// Waits until bytes written on this side are unread in the socket of the stopped program, or with `ended` until
/// the end of the sending side has arrived there: under load, loopback is delayed too.
pub(crate) fn lies_unread(stream: &TcpStream, ended: bool) {
    let port = |address: std::io::Result<std::net::SocketAddr>| {
        format!(":{:04X}", address.expect("an address").port())
    };
    let (theirs, ours) = (port(stream.peer_addr()), port(stream.local_addr()));
    let until = Instant::now() + LONG;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let found = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).any(|fields| {
            let of_it = fields.len() > 4 && fields[1].ends_with(&theirs) && fields[2].ends_with(&ours);
            // State 08 (CLOSE_WAIT) has received the end; otherwise the receive queue holds bytes.
            of_it && if ended { fields[3] == "08" } else { !fields[4].ends_with(":00000000") }
        });
        if found {
            return;
        }
        assert!(Instant::now() < until, "the written bytes or the end did not arrive at the program");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until nothing that clients have sent lies unread in a socket of the program, and none waits to be accepted.
fn wait_until_all_is_read(rig: &Rig) {
    let address: SocketAddrV4 = rig.address.parse().expect("an address");
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let until = Instant::now() + LONG;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let mut sockets = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let is_unread =
            |fields: Vec<&str>| fields.len() > 4 && fields[1] == local && !fields[4].ends_with(":00000000");
        if !sockets.any(is_unread) {
            return;
        }
        assert!(Instant::now() < until, "the program does not read what clients have sent");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until all earlier input was read and then a new client is answered; returns that answer and the attempt at a
/// node, if any.
pub(crate) fn quiet(rig: &Rig) -> String {
    wait_until_all_is_read(rig);
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 8)).expect("the program reads");
    let mut trace = answer(&client);
    trace += match rig.asked.try_recv() {
        Ok(asked) => return trace + &shown(&asked),
        Err(_) => "nobody is asked\n",
    };
    trace
}

/// The processor time that a process has used, in seconds.
pub(crate) fn processor_s(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    [11, 12].iter().map(|at| fields[*at].parse::<f64>().expect("a number") / 100.0).sum()
}

pub(crate) fn still_there(stream: &TcpStream) -> bool {
    matches!((&*stream).read(&mut [0; 16]), Err(fault) if fault.kind() == ErrorKind::WouldBlock)
}

/// Waits until the program has read all input sent before this.
pub(crate) fn lies_read(rig: &Rig) {
    let mut client = rig.client();
    // A turn of the event loop reads the change log before clients, and one turn may have begun before the event
    // was sent.
    for tag in 1..4 {
        client.write_all(&message("HEALTH", tag)).expect("the program reads");
        answer(&client);
    }
}
