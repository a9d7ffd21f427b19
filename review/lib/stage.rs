//! Stand-ins for the cases of the review: change log, cache hosts, clients, a proxy that can fall silent, and the
//! record. Only the standard library is used. Everything listens on 127.0.0.1.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;
pub const HUP: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, argument: usize, a: usize, b: usize, c: usize) -> i32;
}

/// Linux: the signal that a process gets when its parent ends (`PR_SET_PDEATHSIG`).
const PARENT_DEATH_SIGNAL: i32 = 1;

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The case could not run.
pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    end_all_and_exit(2)
}

// ---- Record and processes -------------------------------------------------------------------------------------

static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

fn end_all_and_exit(code: i32) -> ! {
    for pid in PROCESSES.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        // Only processes that this case has started, and not waited for yet, are in the list.
        let mut status = 0;
        unsafe { (kill(pid, KILL), waitpid(pid, &mut status, 0)) };
    }
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|e| e.into_inner()).take() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// `record.txt`: a line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", at);
        println!("{at:>7} ms  {text}");
    }
}

/// The surroundings of one case.
pub struct Stage {
    pub record: Record,
    pub folder: PathBuf,
    pub root: PathBuf,
    /// Whether the disruption takes place (`TROUBLE`, on unless it is 0).
    pub trouble: bool,
}

impl Stage {
    /// `name` is the number of the case; the folder of the script is `review/NAME` under the project's root.
    pub fn new(name: &str) -> Stage {
        let root = std::env::var("REVIEW_ROOT").map(PathBuf::from).unwrap_or_else(|_| PathBuf::from("."));
        let root = root.canonicalize().unwrap_or(root);
        let folder = std::env::temp_dir().join(format!("copperroute-review-{name}-{}", std::process::id()));
        if std::fs::create_dir_all(&folder).is_err() {
            give_up("no temporary folder");
        }
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let path = root.join("review").join(name).join("record.txt");
        let Ok(file) = File::create(&path) else { give_up("record.txt can't be written") };
        let record = Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
        std::panic::set_hook(Box::new(|fault| {
            eprintln!("could not run: {fault}");
            end_all_and_exit(2)
        }));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(110));
            give_up("110 seconds have passed");
        });
        Stage { record, folder, root, trouble }
    }

    /// Ends the case: 1 if the rule was broken, else 0.
    pub fn end(&self, broken: bool, why: &str) -> ! {
        self.record.line(&format!("verdict: {}: {why}", if broken { "BROKEN" } else { "held" }));
        end_all_and_exit(i32::from(broken))
    }

    /// The command `run` of the deploy file.
    pub fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("run = "));
        let command = line.and_then(|line| line.split('"').nth(1)).map(str::to_string);
        command.unwrap_or_else(|| give_up("deploy/balancer.toml has no run"))
    }
}

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("no address")
}

/// A dispatcher, started as the platform does.
pub struct Dispatcher {
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    command: String,
    root: PathBuf,
    folder: PathBuf,
    record: Record,
    child: Option<Child>,
    starts: u32,
}

impl Dispatcher {
    pub fn new(stage: &Stage, name: &str, command: &str) -> Dispatcher {
        Dispatcher {
            name: name.to_string(),
            listen: free_address(),
            config: stage.folder.join(format!("{name}.json")),
            command: command.to_string(),
            root: stage.root.clone(),
            folder: stage.folder.clone(),
            record: stage.record.clone(),
            child: None,
            starts: 0,
        }
    }

    pub fn write_config(&self, text: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, text).expect("configuration");
        std::fs::rename(&new, &self.config).expect("configuration");
    }

    /// Starts it with a configuration and waits until it is `UP`.
    pub fn start(&mut self, config: &str) {
        self.write_config(config);
        self.starts += 1;
        let tmp = self.folder.join(format!("{}-tmp-{}", self.name, self.starts));
        std::fs::create_dir_all(&tmp).expect("folder");
        let log = File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts))).expect("log");
        let keep = std::env::var("REVIEW_LOGS").ok();
        let log = match keep {
            Some(path) => File::create(format!("{path}/{}-{}.log", self.name, self.starts)).expect("log"),
            None => log,
        };
        let mut command = Command::new("/bin/sh");
        // If this program is ended from outside, the dispatchers end with it.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, KILL as usize, 0, 0, 0);
                Ok(())
            })
        };
        let child = command
            .args(["-c", &self.command])
            .current_dir(&self.root)
            .env("PROXY_NAME", &self.name)
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_CONFIG", &self.config)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|_| give_up("the dispatcher could not be started"));
        PROCESSES.lock().unwrap().push(child.id() as i32);
        self.record.line(&format!("dispatcher {}: start {}", self.name, self.starts));
        self.child = Some(child);
        let began = Instant::now();
        loop {
            if let Ok(mut client) = Client::connect(self.listen) {
                if client.health() == Some(true) {
                    break;
                }
            }
            if began.elapsed() > Duration::from_secs(20) {
                give_up("the dispatcher does not come up");
            }
            sleep_ms(50);
        }
        self.record.line(&format!("dispatcher {}: UP", self.name));
    }

    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("dispatcher {}: signal {signal}", self.name));
        unsafe { kill(child.id() as i32, signal) };
    }

    /// The id of its process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits for its end.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait().expect("wait");
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id() as i32);
            self.record.line(&format!("dispatcher {}: ended, {status}", self.name));
        }
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        let runs = matches!(child.try_wait(), Ok(None));
        if !runs {
            let pid = child.id() as i32;
            PROCESSES.lock().unwrap().retain(|other| *other != pid);
        }
        runs
    }
}

// ---- Change log -----------------------------------------------------------------------------------------------

/// The change log: events after the number asked for, and each second a line with the last number.
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
}

impl ChangeLog {
    pub fn start(first: String) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("change log");
        let address = listener.local_addr().expect("address");
        let events = Arc::new(Mutex::new(vec![first]));
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = shared.clone();
                thread::spawn(move || follow(stream, &events));
            }
        });
        ChangeLog { address, events }
    }

    /// The events so far, as `known` of a configuration.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(r#"{{"seq":{},"results":[{}]}}"#, events.len(), events.join(","))
    }

    /// Writes an event; `body` is the part behind its number.
    pub fn write(&self, body: &str) -> u64 {
        let mut events = self.events.lock().unwrap();
        let seq = events.len() + 1;
        events.push(format!(r#"{{"seq":{seq},{body}}}"#));
        seq as u64
    }
}

fn follow(stream: TcpStream, events: &Mutex<Vec<String>>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("stream"));
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let since = line.trim().strip_prefix("since ").and_then(|number| number.parse::<usize>().ok());
    let Some(mut sent) = since else { return };
    let mut stream = stream;
    let mut beat = Instant::now();
    loop {
        let lines: Vec<String> = events.lock().unwrap().iter().skip(sent).cloned().collect();
        sent += lines.len();
        let mut text: String = lines.iter().map(|line| format!("{line}\n")).collect();
        if beat <= Instant::now() {
            beat += Duration::from_secs(1);
            text += &format!("{sent}\n");
        }
        if !text.is_empty() && stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        sleep_ms(10);
    }
}

// ---- Cache hosts ----------------------------------------------------------------------------------------------

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Debug)]
pub struct Copy {
    pub etag: String,
    pub made_ms: u64,
    pub body: Vec<u8>,
}

/// A request that has run at the origin.
#[derive(Clone, Debug)]
pub struct Run {
    pub req: String,
    pub lane: String,
    pub object: String,
}

struct Host {
    id: String,
    role: Role,
    address: SocketAddr,
    copies: Mutex<HashMap<(String, String), Copy>>,
}

/// All cache hosts, parents and the origin. They behave as the protocol page says; a copy is as old as `made` tells.
pub struct World {
    hosts: Vec<Host>,
    record: Record,
    /// Classes whose copies are fresh for a time only: milliseconds, and those of grace.
    fresh_ms: Mutex<HashMap<String, (u64, u64)>>,
    /// Classes that run at the origin and are not kept.
    passed_on: HashSet<String>,
    /// How long a request of a class that runs at the origin takes there.
    pub origin_ms: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    serial: AtomicU64,
    pub object_bytes: usize,
    /// The load report in each answer, where the settings say that answers hold one; else empty.
    report: Mutex<String>,
}

impl World {
    pub fn start(record: &Record, hosts: &[(&str, Role)], passed_on: &[&str]) -> Arc<World> {
        let mut listeners = Vec::new();
        let mut listed = Vec::new();
        for (id, role) in hosts {
            let listener = TcpListener::bind("127.0.0.1:0").expect("cache host");
            let address = listener.local_addr().expect("address");
            listed.push(Host { id: id.to_string(), role: *role, address, copies: Mutex::default() });
            listeners.push(listener);
        }
        let world = Arc::new(World {
            hosts: listed,
            record: record.clone(),
            fresh_ms: Mutex::default(),
            passed_on: passed_on.iter().map(|name| name.to_string()).collect(),
            origin_ms: AtomicU64::new(30),
            runs: Mutex::default(),
            serial: AtomicU64::new(0),
            object_bytes: 2_000,
            report: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let world = world.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let world = world.clone();
                    thread::spawn(move || world.serve(index, stream));
                }
            });
        }
        world
    }

    pub fn set_fresh(&self, class: &str, fresh_ms: u64, grace_ms: u64) {
        self.fresh_ms.lock().unwrap().insert(class.to_string(), (fresh_ms, grace_ms));
    }

    /// From now on each answer holds this load report.
    pub fn report_in_answers(&self, report: &str) {
        *self.report.lock().unwrap() = format!(",rep={report}");
    }

    pub fn address(&self, id: &str) -> SocketAddr {
        self.hosts.iter().find(|host| host.id == id).expect("host").address
    }

    /// Puts a copy into a host, as if it had been filled at that time.
    pub fn put(&self, id: &str, object: &str, piece: &str, copy: Copy) {
        let host = self.hosts.iter().find(|host| host.id == id).expect("host");
        host.copies.lock().unwrap().insert((object.to_string(), piece.to_string()), copy);
    }

    /// A copy given out by the origin at a time.
    pub fn make(&self, object: &str, piece: &str, made_ms: u64) -> Copy {
        let etag = format!("{:016x}", 0x1000 + self.serial.fetch_add(1, Ordering::Relaxed));
        let mut body = format!("made={made_ms};object={object};piece={piece};etag={etag};").into_bytes();
        body.resize(self.object_bytes, b'.');
        Copy { etag, made_ms, body }
    }

    /// A server entry of the list.
    pub fn entry(&self, id: &str, zone: &str, kind: &str, weight: f64) -> String {
        let address = self.address(id);
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"active","weight":{weight},"started_ms":0}}"#
        )
    }

    fn serve(self: Arc<World>, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().expect("stream")));
        let mut reader = BufReader::new(stream);
        let aborted: Arc<Mutex<HashSet<String>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                closed.store(true, Ordering::Relaxed);
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["fetch", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    body.truncate(body.len() - 2);
                    aborted.lock().unwrap().remove(id);
                    let (id, fields) = (id.to_string(), fields.to_string());
                    let (world, writer) = (self.clone(), writer.clone());
                    let (aborted, closed) = (aborted.clone(), closed.clone());
                    thread::spawn(move || {
                        let gone = || closed.load(Ordering::Relaxed) || aborted.lock().unwrap().contains(&id);
                        let answer = world.answer(index, &id, &fields, &gone);
                        if !gone() {
                            let _ = writer.lock().unwrap().write_all(&answer);
                        }
                    });
                }
                ["abort", id] => {
                    self.record.line(&format!("{}: abort {id}", self.hosts[index].id));
                    aborted.lock().unwrap().insert(id.to_string());
                }
                ["alive", tag] => {
                    let _ = writer.lock().unwrap().write_all(format!("{tag} yes - 0\r\n\r\n").as_bytes());
                }
                ["stats", tag] => {
                    let text = format!("{tag} yes rep=util:0.1 0\r\n\r\n");
                    let _ = writer.lock().unwrap().write_all(text.as_bytes());
                }
                _ => return,
            }
        }
    }

    fn answer(&self, index: usize, id: &str, fields: &str, gone: &dyn Fn() -> bool) -> Vec<u8> {
        let host = &self.hosts[index];
        let fields: HashMap<&str, &str> = fields.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let get = |name: &str| fields.get(name).copied().unwrap_or("");
        let (lane, object, piece) = (get("lane"), get("name"), get("piece"));
        let source = self.hosts.iter().find(|other| other.id == get("src"));
        let rep = self.report.lock().unwrap().clone();
        let empty = |word: &str, why: &str| format!("{id} {word} why={why}{rep} 0\r\n\r\n").into_bytes();
        sleep_ms(5);
        if self.passed_on.contains(lane) {
            let runs_here = host.role == Role::Origin || source.is_some_and(|s| s.role != Role::Cache);
            if !runs_here {
                return empty("nothing", "not_there");
            }
            self.record.line(&format!("origin: runs {lane} {object} of request {id}"));
            self.runs.lock().unwrap().push(Run {
                req: id.to_string(),
                lane: lane.to_string(),
                object: object.to_string(),
            });
            let until = Instant::now() + Duration::from_millis(self.origin_ms.load(Ordering::Relaxed));
            while Instant::now() < until {
                if gone() {
                    self.record.line(&format!("origin: work on {id} stops"));
                    return Vec::new();
                }
                sleep_ms(5);
            }
            self.record.line(&format!("origin: has run {lane} {object} of request {id}"));
            let tag = format!("{:016x}", self.serial.fetch_add(1, Ordering::Relaxed));
            let body = b"done";
            let head = format!("{id} ok etag={tag},made={},why=local{rep} {}\r\n", unix_ms(), body.len());
            return [head.as_bytes(), body, b"\r\n"].concat();
        }
        let key = (object.to_string(), piece.to_string());
        let (fresh, grace) = self.fresh_ms.lock().unwrap().get(lane).copied().unwrap_or((u64::MAX, 0));
        let limit = match get("maxage").parse::<u64>().unwrap_or(0) {
            0 => fresh,
            age => age.min(fresh.saturating_add(grace)),
        };
        let fits = |copy: &Copy| unix_ms().saturating_sub(copy.made_ms) <= limit;
        let held = host.copies.lock().unwrap().get(&key).cloned().filter(fits);
        let (copy, why) = match (held, source) {
            _ if host.role == Role::Origin => (self.make(object, piece, unix_ms()), "local"),
            (Some(copy), _) => (copy, "local"),
            (None, None) => return empty("nothing", "not_there"),
            (None, Some(source)) if source.id == host.id => return empty("nothing", "not_there"),
            (None, Some(source)) => {
                let of_source = source.copies.lock().unwrap().get(&key).cloned().filter(fits);
                sleep_ms(10);
                let (copy, why) = match of_source {
                    Some(copy) => (copy, "pulled"),
                    None if source.role == Role::Cache || get("flags").split('+').any(|f| f == "peek") => {
                        return empty("nothing", "not_there");
                    }
                    None => {
                        sleep_ms(30);
                        let copy = self.make(object, piece, unix_ms());
                        let passes = get("flags").split('+').any(|flag| flag == "pass");
                        if source.role == Role::Parent && !passes {
                            source.copies.lock().unwrap().insert(key.clone(), copy.clone());
                        }
                        (copy, "pulled_far")
                    }
                };
                if host.role == Role::Cache && get("keep").parse::<u8>().unwrap_or(0) > 0 {
                    host.copies.lock().unwrap().insert(key.clone(), copy.clone());
                }
                (copy, why)
            }
        };
        self.record.line(&format!(
            "{}: answers {id} {lane} {object} with a copy of {} ms, {why}",
            host.id,
            unix_ms().saturating_sub(copy.made_ms)
        ));
        let word = if get("have") == copy.etag { "current" } else { "ok" };
        let body: &[u8] = if word == "current" { b"" } else { &copy.body };
        let head = format!("{id} {word} etag={},made={},why={why}{rep} {}\r\n", copy.etag, copy.made_ms, body.len());
        [head.as_bytes(), body, b"\r\n"].concat()
    }
}

// ---- Clients --------------------------------------------------------------------------------------------------

/// An answer to a client.
#[derive(Debug, Clone)]
pub struct Answer {
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// When the origin gave out the copy, by the bytes.
    pub fn made_ms(&self) -> Option<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.strip_prefix("made=")?.split(';').next()?.parse().ok()
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    tag: u64,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader, tag: 0 })
    }

    fn send(&mut self, items: &[&[u8]]) -> std::io::Result<()> {
        let mut bytes = format!("*{}\r\n", items.len()).into_bytes();
        for item in items {
            bytes.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
            bytes.extend_from_slice(item);
            bytes.extend_from_slice(b"\r\n");
        }
        self.stream.write_all(&bytes)
    }

    fn number(&mut self, mark: char) -> std::io::Result<usize> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let number = line.trim_end().strip_prefix(mark).and_then(|number| number.parse().ok());
        number.ok_or_else(|| std::io::Error::other("an answer that can't be read"))
    }

    /// Reads an answer; returns its tag too.
    pub fn read_answer(&mut self) -> std::io::Result<(u64, Answer)> {
        let mut items: Vec<Vec<u8>> = Vec::new();
        for _ in 0..self.number('*')? {
            let mut item = vec![0; self.number('$')? + 2];
            self.reader.read_exact(&mut item)?;
            item.truncate(item.len() - 2);
            items.push(item);
        }
        let text = |at: usize| items.get(at).map(|i| String::from_utf8_lossy(i).into_owned()).unwrap_or_default();
        let answer =
            Answer { word: text(1), fields: text(2), body: items.get(3).cloned().unwrap_or_default() };
        Ok((text(0).parse().unwrap_or(0), answer))
    }

    pub fn health(&mut self) -> Option<bool> {
        self.tag += 1;
        let tag = self.tag.to_string();
        self.send(&[b"HEALTH", tag.as_bytes(), b""]).ok()?;
        Some(self.read_answer().ok()?.1.word == "UP")
    }

    /// Sends a request and does not wait; returns its tag.
    pub fn ask(&mut self, class: &str, fields: &str, body: &[u8]) -> std::io::Result<u64> {
        self.tag += 1;
        let tag = self.tag.to_string();
        self.send(&[b"REQ", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body])?;
        Ok(self.tag)
    }

    pub fn abort(&mut self, tag: u64) -> std::io::Result<()> {
        self.send(&[b"ABORT", tag.to_string().as_bytes()])
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, class: &str, fields: &str, body: &[u8]) -> std::io::Result<Answer> {
        let asked = self.ask(class, fields, body)?;
        loop {
            let (tag, answer) = self.read_answer()?;
            if tag == asked {
                return Ok(answer);
            }
        }
    }
}

/// A new id of 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mixed = (NEXT.fetch_add(1, Ordering::Relaxed) ^ unix_ms() << 20).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

// ---- A proxy --------------------------------------------------------------------------------------------------

/// A proxy on the way of one client: once it is silent, it passes nothing on and closes nothing.
pub struct Proxy {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("proxy");
        let address = listener.local_addr().expect("address");
        let silent = Arc::new(AtomicBool::new(false));
        let shared = silent.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                pass(client.try_clone().unwrap(), server.try_clone().unwrap(), shared.clone());
                pass(server, client, shared.clone());
            }
        });
        Proxy { address, silent }
    }

    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut bytes = [0; 65_536];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            if silent.load(Ordering::SeqCst) {
                // Nothing is passed on any more, not even an end.
                loop {
                    sleep_ms(1_000);
                }
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}

/// Whether a file is there, for messages of a script.
pub fn exists(path: &Path) -> bool {
    path.exists()
}
