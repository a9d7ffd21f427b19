//! Stand-ins for the cases of this review: the change log, nodes (caches, parents, the origin), clients and the
//! platform that starts a dispatcher. They follow the pages of the protocol and the deployment. Threads and blocking
//! sockets of the standard library; loopback addresses only.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The case could not be run: exit code 2.
pub type CaseResult<T> = Result<T, String>;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// Random numbers: the same at each run.

#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}

/// A fresh 16-digit id.
pub fn fresh_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let mut random = Random::new(count ^ unix_ms().rotate_left(20) ^ u64::from(std::process::id()) << 40);
    format!("{:016x}", random.next())
}

// The record of a run.

/// The record of a run; each line begins with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> CaseResult<Record> {
        let file = File::create(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The record of this run, for what nodes are sent and clients ask.
static RUN: OnceLock<Record> = OnceLock::new();

/// Writes a line to the record of this run.
pub fn note(text: &str) {
    if let Some(record) = RUN.get() {
        record.line(text);
    }
}

// Delayed actions.

type Action = Box<dyn FnOnce() + Send>;

struct Due {
    at: Instant,
    number: u64,
    action: Action,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Carries actions out at their time, on one thread.
#[derive(Clone)]
pub struct Agenda(Arc<(Mutex<(BinaryHeap<Reverse<Due>>, u64)>, Condvar)>);

impl Agenda {
    pub fn new() -> Agenda {
        let agenda = Agenda(Arc::new((Mutex::new((BinaryHeap::new(), 0)), Condvar::new())));
        let worker = agenda.clone();
        thread::spawn(move || {
            loop {
                let action = worker.next();
                action();
            }
        });
        agenda
    }

    fn next(&self) -> Action {
        let (state, changed) = &*self.0;
        let mut heap = state.lock().unwrap();
        loop {
            let now = Instant::now();
            match heap.0.peek() {
                Some(Reverse(due)) if due.at <= now => return heap.0.pop().unwrap().0.action,
                Some(Reverse(due)) => {
                    let wait = due.at - now;
                    heap = changed.wait_timeout(heap, wait).unwrap().0;
                }
                None => heap = changed.wait(heap).unwrap(),
            }
        }
    }

    pub fn after(&self, delay: Duration, action: impl FnOnce() + Send + 'static) {
        let (state, changed) = &*self.0;
        let mut heap = state.lock().unwrap();
        heap.1 += 1;
        let number = heap.1;
        heap.0.push(Reverse(Due { at: Instant::now() + delay, number, action: Box::new(action) }));
        changed.notify_one();
    }
}

// The change log.

struct LogState {
    /// The events after those of the configuration, as lines.
    events: Vec<(u64, String)>,
    last: u64,
    streams: Vec<TcpStream>,
    /// The service answers.
    is_up: bool,
}

/// The change log: tells events and a heartbeat each second.
#[derive(Clone)]
pub struct ChangeLog {
    state: Arc<Mutex<LogState>>,
    pub address: SocketAddr,
    record: Record,
}

impl ChangeLog {
    /// A change log whose first `known` events are in the configuration.
    pub fn start(known: u64, record: &Record) -> CaseResult<ChangeLog> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
        let address = listener.local_addr().map_err(|fault| fault.to_string())?;
        let state = LogState { events: Vec::new(), last: known, streams: Vec::new(), is_up: true };
        let log = ChangeLog { state: Arc::new(Mutex::new(state)), address, record: record.clone() };
        log.listen(listener);
        let heart = log.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(1000);
                let mut state = heart.state.lock().unwrap();
                let line = format!("{{\"seq\":{}}}\n", state.last);
                state.streams.retain(|stream| (&*stream).write_all(line.as_bytes()).is_ok());
            }
        });
        Ok(log)
    }

    fn listen(&self, listener: TcpListener) {
        let log = self.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while log.state.lock().unwrap().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let log = log.clone();
                        thread::spawn(move || log.serve(stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut line = String::new();
        let Ok(reading) = stream.try_clone() else { return };
        if BufReader::new(reading).read_line(&mut line).is_err() {
            return;
        }
        let Some(since) = line.trim().strip_prefix("since ").and_then(|n| n.parse::<u64>().ok()) else { return };
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        self.record.line(&format!("change log: asked since {since}"));
        for (_, event) in state.events.iter().filter(|(seq, _)| *seq > since) {
            let _ = (&stream).write_all(event.as_bytes());
        }
        state.streams.push(stream);
    }

    /// Writes an event; `content` is a JSON object without its number.
    pub fn push(&self, content: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.last += 1;
        let seq = state.last;
        let line = format!("{{\"seq\":{seq},{}\n", content.trim_start_matches('{'));
        self.record.line(&format!("change log: event {}", line.trim_end()));
        state.events.push((seq, line.clone()));
        state.streams.retain(|stream| (&*stream).write_all(line.as_bytes()).is_ok());
        seq
    }

    /// The service goes away: its connections end, and new ones are refused.
    pub fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line("change log: down");
    }

    /// The service is back at its address.
    pub fn restart(&self) -> CaseResult<()> {
        sleep_ms(20);
        let listener = TcpListener::bind(self.address).map_err(|fault| format!("change log: {fault}"))?;
        self.state.lock().unwrap().is_up = true;
        self.record.line("change log: up again");
        self.listen(listener);
        Ok(())
    }
}

// Nodes.

/// An attempt as it came to a node.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: usize,
    /// Which fetch at this node it is, from 0.
    pub number: u64,
}

impl Fetch {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a node does with an attempt.
pub enum Reply {
    /// It answers after the delay.
    Answer { delay: Duration, word: &'static str, fields: String, body: Arc<Vec<u8>> },
    /// It does not answer.
    Nothing,
}

pub fn served(delay: Duration, fields: &str, body: &Arc<Vec<u8>>) -> Reply {
    Reply::Answer { delay, word: "ok", fields: fields.to_string(), body: body.clone() }
}

pub fn answered(delay: Duration, word: &'static str, fields: &str) -> Reply {
    Reply::Answer { delay, word, fields: fields.to_string(), body: Arc::new(Vec::new()) }
}

type Handler = Arc<dyn Fn(&Fetch) -> Reply + Send + Sync>;

/// A node: a cache, a parent or the origin.
#[derive(Clone)]
pub struct Node {
    pub id: String,
    pub zone: String,
    pub kind: String,
    pub weight: u32,
    pub address: SocketAddr,
    /// What it answers to `alive`.
    pub takes_work: Arc<AtomicBool>,
    pub fetches: Arc<AtomicU64>,
}

impl Node {
    pub fn start(
        id: &str,
        zone: &str,
        kind: &str,
        weight: u32,
        agenda: &Agenda,
        handler: impl Fn(&Fetch) -> Reply + Send + Sync + 'static,
    ) -> CaseResult<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
        let address = listener.local_addr().map_err(|fault| fault.to_string())?;
        let node = Node {
            id: id.into(),
            zone: zone.into(),
            kind: kind.into(),
            weight,
            address,
            takes_work: Arc::new(AtomicBool::new(true)),
            fetches: Arc::new(AtomicU64::new(0)),
        };
        let (handler, agenda, served): (Handler, _, _) = (Arc::new(handler), agenda.clone(), node.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, agenda, node) = (handler.clone(), agenda.clone(), served.clone());
                thread::spawn(move || node.serve(stream, handler, agenda));
            }
        });
        Ok(node)
    }

    /// Its entry in the list.
    pub fn entry(&self, state: &str, started_ms: u64) -> String {
        let Node { id, zone, kind, weight, address, .. } = self;
        format!(
            "{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"kind\":\"{kind}\",\"cell\":0,\
             \"state\":\"{state}\",\"weight\":{weight},\"started_ms\":{started_ms}}}"
        )
    }

    fn serve(&self, stream: TcpStream, handler: Handler, agenda: Agenda) {
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(writing)) = (stream.try_clone(), stream.try_clone()) else { return };
        let mut reading = BufReader::with_capacity(1 << 16, reading);
        let writing = Arc::new(Mutex::new(writing));
        let aborted: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(reading.read_line(&mut line), Ok(read) if read > 0) {
                return;
            }
            let words: Vec<_> = line.split_whitespace().collect();
            match words[..] {
                ["fetch", id, list, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if reading.read_exact(&mut body).is_err() {
                        return;
                    }
                    let fields = list.split(',').filter_map(|pair| pair.split_once('='));
                    let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
                    note(&format!("{}: {id} came, {length} bytes, {list}", self.id));
                    let number = self.fetches.fetch_add(1, Ordering::Relaxed);
                    let fetch = Fetch { id: id.to_string(), fields, body: length, number };
                    if let Reply::Answer { delay, word, fields, body } = handler(&fetch) {
                        let (writing, aborted) = (writing.clone(), aborted.clone());
                        let answer = move || {
                            if aborted.lock().unwrap().contains(&fetch.id) {
                                return;
                            }
                            let fields = if fields.is_empty() { "-" } else { &fields };
                            let mut bytes =
                                format!("{} {word} {fields} {}\r\n", fetch.id, body.len()).into_bytes();
                            bytes.extend_from_slice(&body);
                            bytes.extend_from_slice(b"\r\n");
                            let _ = writing.lock().unwrap().write_all(&bytes);
                        };
                        if delay.is_zero() { answer() } else { agenda.after(delay, answer) }
                    }
                }
                ["abort", id] => drop(aborted.lock().unwrap().insert(id.to_string())),
                ["alive" | "stats", tag] => {
                    let word = if self.takes_work.load(Ordering::Relaxed) { "yes" } else { "no" };
                    let answer = format!("{tag} {word} - 0\r\n\r\n");
                    let _ = writing.lock().unwrap().write_all(answer.as_bytes());
                }
                _ => return,
            }
        }
    }
}

/// The event of a list, without its number.
pub fn list_event(version: u32, full: bool, entries: &[String]) -> String {
    format!("{{\"fleet\":{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}}}", entries.join(","))
}

// Clients.

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub tag: u64,
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// Reads bytes at a bounded pace.
pub struct Pace {
    /// Bytes a second; 0 for no bound.
    pub bytes_per_s: f64,
    started: Instant,
    read: f64,
}

impl Pace {
    pub fn new(bytes_per_s: f64) -> Pace {
        Pace { bytes_per_s, started: Instant::now(), read: 0.0 }
    }

    fn wait(&mut self, count: usize) {
        if self.bytes_per_s <= 0.0 {
            return;
        }
        // Time in which nothing was to be read is not made up for.
        let earned = self.started.elapsed().as_secs_f64() * self.bytes_per_s;
        if earned - self.read > 65536.0 {
            self.read = earned - 65536.0;
        }
        self.read += count as f64;
        let ahead = self.read / self.bytes_per_s - self.started.elapsed().as_secs_f64();
        if ahead > 0.0 {
            thread::sleep(Duration::from_secs_f64(ahead));
        }
    }
}

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    at: usize,
    pub pace: Pace,
    next_tag: u64,
}

/// A request of a client.
pub struct Request<'a> {
    pub content_type: &'a str,
    pub timeout_ms: u64,
    pub subject: &'a str,
    pub need_kb: u32,
    pub family: u8,
    pub body: &'a [u8],
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new(), at: 0, pace: Pace::new(0.0), next_tag: 1 })
    }

    /// A receive buffer of this size.
    pub fn set_receive_buffer(&self, bytes: i32) {
        // SOL_SOCKET is 1 and SO_RCVBUF 8 on Linux, on x86-64 and on arm64.
        unsafe { setsockopt(self.stream.as_raw_fd(), 1, 8, &bytes, 4) };
    }

    /// Another handle on the same connection, to send from another thread.
    pub fn sender(&self) -> std::io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// Encodes a request under the next tag; returns its tag and its id.
    pub fn encode(&mut self, request: &Request, bytes: &mut Vec<u8>) -> (u64, String) {
        let (tag, id) = (self.next_tag, fresh_id());
        self.next_tag += 1;
        encode_request(tag, &id, request, bytes);
        (tag, id)
    }

    pub fn send(&mut self, request: &Request) -> std::io::Result<(u64, String)> {
        let mut bytes = Vec::new();
        let sent = self.encode(request, &mut bytes);
        self.stream.write_all(&bytes)?;
        note(&format!("asked {}: {}, {} ms", sent.1, request.content_type, request.timeout_ms));
        Ok(sent)
    }

    fn byte(&mut self) -> std::io::Result<u8> {
        while self.at >= self.buffer.len() {
            let mut chunk = [0; 16384];
            let count = self.stream.read(&mut chunk)?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            self.pace.wait(count);
            self.buffer.clear();
            self.buffer.extend_from_slice(&chunk[..count]);
            self.at = 0;
        }
        self.at += 1;
        Ok(self.buffer[self.at - 1])
    }

    fn number(&mut self) -> std::io::Result<usize> {
        let mut text = String::new();
        self.byte()?;
        loop {
            match self.byte()? {
                b'\r' => {}
                b'\n' => return text.parse().map_err(|_| std::io::ErrorKind::InvalidData.into()),
                other => text.push(other as char),
            }
        }
    }

    /// The next answer.
    pub fn receive(&mut self) -> std::io::Result<Answer> {
        let count = self.number()?;
        let mut items: Vec<Vec<u8>> = Vec::new();
        for _ in 0..count {
            let length = self.number()?;
            let mut item = Vec::with_capacity(length + 2);
            while item.len() < length + 2 {
                item.push(self.byte()?);
            }
            item.truncate(length);
            items.push(item);
        }
        items.resize(4, Vec::new());
        let text = |at: usize| String::from_utf8_lossy(&items[at]).into_owned();
        Ok(Answer {
            tag: text(0).parse().unwrap_or(0),
            word: text(1),
            fields: text(2),
            body: std::mem::take(&mut items[3].clone()),
        })
    }
}

pub fn encode_request(tag: u64, id: &str, request: &Request, bytes: &mut Vec<u8>) {
    let Request { content_type, timeout_ms, subject, need_kb, family, body } = request;
    let fields = format!(
        "req={id},timeout={timeout_ms},subject={subject},block=0,family={family},need={need_kb}"
    );
    let tag = tag.to_string();
    bytes.extend_from_slice(b"*5\r\n");
    for item in [b"REQ", tag.as_bytes(), content_type.as_bytes(), fields.as_bytes(), body] {
        bytes.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        bytes.extend_from_slice(item);
        bytes.extend_from_slice(b"\r\n");
    }
}

// The platform.

/// The root of the project.
pub fn root() -> PathBuf {
    std::env::current_dir().unwrap_or_default()
}

/// A dispatcher, started with the command of the deploy file.
pub struct Dispatcher {
    child: Child,
    pub name: String,
    pub address: SocketAddr,
    config: PathBuf,
    record: Record,
}

/// A free loopback address.
pub fn free_address() -> CaseResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|fault| fault.to_string())?;
    listener.local_addr().map_err(|fault| fault.to_string())
}

/// The `run` command of the deploy file.
fn run_command() -> CaseResult<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|fault| fault.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.map(str::to_string).ok_or_else(|| "deploy/balancer.toml: no run command".into())
}

impl Dispatcher {
    /// Starts a dispatcher; `text` is its configuration, in which `LISTEN` stands for its address and `NAME` for its
    /// name.
    pub fn start(name: &str, text: &str, folder: &Path, record: &Record) -> CaseResult<Dispatcher> {
        let address = free_address()?;
        Dispatcher::start_at(name, address, text, folder, record)
    }

    pub fn start_at(
        name: &str,
        address: SocketAddr,
        text: &str,
        folder: &Path,
        record: &Record,
    ) -> CaseResult<Dispatcher> {
        let config = folder.join(format!("{name}.json"));
        let text = text.replace("LISTEN", &address.to_string()).replace("NAME", name);
        std::fs::write(&config, text).map_err(|fault| fault.to_string())?;
        let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let log = log.map_err(|fault| fault.to_string())?;
        let command = run_command()?;
        let mut shell = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG is 1 on Linux: a case that is interrupted leaves no dispatcher behind.
        unsafe {
            shell.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        let child = shell
            .args(["-c", &command])
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|fault| fault.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|fault| format!("{command}: {fault}"))?;
        record.line(&format!("platform: {name} started at {address}, process {}", child.id()));
        let dispatcher =
            Dispatcher { child, name: name.into(), address, config, record: record.clone() };
        Ok(dispatcher)
    }

    /// Waits until it answers `HEALTH` with `UP`.
    pub fn wait_ready(&mut self) -> CaseResult<()> {
        for _ in 0..300 {
            if let Some(status) = self.exited() {
                return Err(format!("{} ended before it was ready: {status}", self.name));
            }
            if let Ok(mut client) = Client::connect(self.address) {
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = client.stream.write_all(b"*3\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n$0\r\n\r\n");
                if client.receive().is_ok_and(|answer| answer.word == "UP") {
                    self.record.line(&format!("platform: {} is ready", self.name));
                    return Ok(());
                }
            }
            sleep_ms(50);
        }
        Err(format!("{} is not ready after 15 s", self.name))
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("platform: signal {signal} to {}", self.name));
        unsafe { kill(self.pid(), signal) };
    }

    /// How it ended, if it has.
    pub fn exited(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    /// Its anonymous memory in bytes: without files and shared pages, so less than what the platform counts.
    pub fn memory(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// Replaces its configuration file.
    pub fn replace_config(&self, text: &str) -> CaseResult<()> {
        let new = self.config.with_extension("new");
        let text = text.replace("LISTEN", &self.address.to_string()).replace("NAME", &self.name);
        std::fs::write(&new, text).map_err(|fault| fault.to_string())?;
        std::fs::rename(&new, &self.config).map_err(|fault| fault.to_string())
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if self.exited().is_none() {
            unsafe { kill(self.pid(), SIGKILL) };
            let _ = self.child.wait();
        }
    }
}

/// What a configuration is made of.
pub struct Deployment<'a> {
    pub memory_mb: u32,
    pub sockets: u32,
    pub change_log: SocketAddr,
    /// The number of the last event known, and the entries of the list.
    pub entries: &'a [String],
    pub dispatchers: u32,
    pub probing: bool,
    /// JSON of `rules`.
    pub rules: &'a str,
    /// JSON of the services.
    pub services: &'a str,
    /// Further fields of `family_info`, each followed by a comma.
    pub family: &'a str,
    pub cancel: bool,
}

pub const SERVICES: &str = r#"[
 {"name":"firmware-image","effect":"safe","aim_s":0.4,"aim_stretch":1.6,"deadline_s":5.0,"value":2.0},
 {"name":"fare-table","effect":"safe","aim_s":0.25,"aim_stretch":2.0,"deadline_s":3.0,"value":1.0},
 {"name":"day-end-post","effect":"unsafe","aim_s":0.7,"aim_stretch":0.0,"deadline_s":3.0,"value":3.0}]"#;
pub const RULES: &str =
    r#"{"cold_share":0.17,"cold_s":16.0,"fall_multiple":2.5,"overload_for_s":3.0,"drain_grace_s":1.0}"#;
pub const FAMILY: &str = r#""pass_on":[false,false,true],"fresh_for_s":[0.0,0.0,0.0],"purge_done_s":6.0,"notice_time_s":1.0,"#;

impl Deployment<'_> {
    /// The configuration's text.
    pub fn config(&self) -> String {
        let Deployment { memory_mb, sockets, change_log, dispatchers, probing, rules, services, family, cancel, .. } =
            self;
        let list = list_event(1, true, self.entries);
        let first = format!("{{\"seq\":1,{}", &list[1..]);
        let seed = fresh_id();
        format!(
            r#"{{"name":"NAME","listen":"LISTEN","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"changelog":"{change_log}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"seq":1,"results":[{first}]}},
"settings":{{"zone":0,"balancers":{dispatchers},"discovery":"automatic","weights":"nominal",
"localities":["kandy","galle","coastal"],"flavors":["small-node","parent","origin"],
"services":{services},
"family_info":{{{family}"second_tier_kind":1,"root_kind":2,"pass_through_ok":true,"shares_fills":false,
"detail":"all","sideways":"none","client_kb_per_s":5000.0,"crew_by_zone":[{dispatchers},0,0],
"pipe_kb_per_s":[0.0,0.0,0.0],"parent_cold_from":0.064,"parent_cold_s":21.0,"parent_breaks_at":2.0,
"origin_stops_at":2.5}},
"rules":{rules},
"limits":{{"cancel":{cancel},"retry_after":true,"max_retry_after_s":1.0,"max_attempts":6,
"connect_timeout_s":0.4,"streams_per_conn":100,"conn_idle_s":30.0,"probing":{probing},"second_copies":false}}}}}}
"#
        )
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> CaseResult<Folder> {
        let path = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), fresh_id()));
        std::fs::create_dir_all(&path).map_err(|fault| format!("{}: {fault}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Whether the disruption is to be made: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case; its one argument is the folder for `record.txt`. Exit code 1: the rule was broken; 0: it held; 2: the case
/// could not be run.
pub fn run_case(case: fn(&Record, &Path) -> CaseResult<bool>) -> ! {
    let run = || {
        let folder = std::env::args().nth(1).ok_or("usage: case FOLDER")?;
        let record = Record::create(&Path::new(&folder).join("record.txt"))?;
        let _ = RUN.set(record.clone());
        record.line(if with_trouble() { "with the disruption" } else { "TROUBLE=0, without the disruption" });
        let temporary = Folder::create()?;
        case(&record, &temporary.0)
    };
    // A script runs for 120 seconds at most. The dispatchers end with this process.
    thread::spawn(|| {
        sleep_ms(110_000);
        eprintln!("the case could not be run: it did not end in time");
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    match result.unwrap_or_else(|_| Err("the case's own program failed".into())) {
        Ok(true) => std::process::exit(1),
        Ok(false) => std::process::exit(0),
        Err(why) => {
            eprintln!("the case could not be run: {why}");
            std::process::exit(2);
        }
    }
}
