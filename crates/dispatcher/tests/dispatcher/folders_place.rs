//! An environment in which a program with a local cache on disk can be killed and restarted: nodes, a change log and a
//! folder that outlive it, and a plan of faults for calls on the folder's files.

use crate::common::{CONFIG, message, request};
use crate::rig::{Asked, LONG, UNHURRIED, answer, stand_in};
use copperroute_cache_store::record::{HEAD, Head};
use copperroute_fault_injection::{FaultPlan, preload};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The object of all requests.
const OBJECT: &str = "7f3a000000000000";

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Waits until a condition holds; panics after `LONG`, which is far more than any of them needs.
pub(crate) fn wait_until(what: &str, mut so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !so() {
        assert!(began.elapsed() < LONG, "{what}: not within {LONG:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A stand-in of the change log that outlives the program: sends each connection all events after the requested number.
pub(crate) struct ChangeLog {
    address: String,
    events: Arc<Mutex<Vec<String>>>,
}

impl ChangeLog {
    fn start() -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        // Event 1 is the node list in the configuration.
        let events = Arc::new(Mutex::new(vec![String::new()]));
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let events = shared.clone();
                thread::spawn(move || ChangeLog::send_events(stream, &events));
            }
        });
        ChangeLog { address, events }
    }

    fn send_events(mut stream: TcpStream, events: &Mutex<Vec<String>>) {
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        let since = line.strip_prefix("since ").and_then(|since| since.trim().parse().ok());
        let mut sent: usize = since.expect("a number");
        let mut ticks = 0;
        loop {
            let new: Vec<_> = events.lock().expect("events")[sent..].to_vec();
            sent += new.len();
            let heartbeat = if ticks % 20 == 0 { format!("{sent}\n") } else { String::new() };
            if stream.write_all((new.concat() + &heartbeat).as_bytes()).is_err() {
                return;
            }
            ticks += 1;
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Issues a purge; returns its time.
    pub(crate) fn purge(&self, what: &str) -> u64 {
        let (mut events, time) = (self.events.lock().expect("events"), unix_ms());
        let seq = events.len() + 1;
        events.push(format!("{{\"seq\":{seq},\"invalidate\":{{{what},\"time\":{time}}}}}\n"));
        time
    }
}

/// Answers each fetch with a body that holds the time it was made; returns the count of fetches.
fn serve_nodes(asked: Receiver<Asked>) -> Arc<AtomicUsize> {
    let fetched = Arc::new(AtomicUsize::new(0));
    let count = fetched.clone();
    thread::spawn(move || {
        for Asked { line, mut back, .. } in asked {
            let Some(id) = line.strip_prefix("fetch ").and_then(|rest| rest.split(' ').next()) else {
                continue;
            };
            count.fetch_add(1, Ordering::Relaxed);
            let (made, body) = (unix_ms(), format!("made {}", unix_ms()));
            let response =
                format!("{id} ok etag=4b00000000000000,made={made},why=local {}\r\n{body}\r\n", body.len());
            let _ = back.write_all(response.as_bytes());
        }
    });
    fetched
}

/// The folder and files of a dispatcher, with its nodes and change log, which outlive each program.
pub(crate) struct Environment {
    folder: PathBuf,
    address: String,
    pub log: ChangeLog,
    config: String,
    pub fetched: Arc<AtomicUsize>,
    tag: u64,
    /// The part that is requested.
    pub part: u64,
    /// Whether the configuration lists all events instead of a snapshot that replaces them.
    pub lists_all_events: bool,
}

impl Environment {
    pub(crate) fn new() -> Environment {
        static ENVIRONMENTS: AtomicU32 = AtomicU32::new(0);
        let number = ENVIRONMENTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("copperroute-folders-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        // A separate address for each test: a port that was free before may be in use by another test now.
        let address = format!("127.{}.{number}.9:5050", 1 + std::process::id() % 250);
        let (log, (tell, asked)) = (ChangeLog::start(), channel());
        let mut config = CONFIG.replace("127.0.0.1:5050", &address).replace("127.0.0.1:2379", &log.address);
        for (node, port) in [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)] {
            config = config.replace(&format!("127.0.0.1:{port}"), &stand_in(node, tell.clone()));
        }
        for expiry in ["5.0", "3.0"] {
            config = config.replace(&format!("\"deadline_s\": {expiry}"), "\"deadline_s\": 15.0");
        }
        let operator = format!(
            r#"{{"copies":{{"memory_mb":1,"disk":{{"folder":"{}","most_mb":8,"segment_mb":1,"change_log":"lasting"}}}}}}"#,
            folder.join("store").display()
        );
        std::fs::write(folder.join("operator.json"), operator).expect("a temporary file");
        Environment {
            folder,
            address,
            log,
            config,
            fetched: serve_nodes(asked),
            tag: 0,
            part: 0,
            lists_all_events: false,
        }
    }

    pub(crate) fn store(&self) -> PathBuf {
        self.folder.join("store")
    }

    /// Sets which calls on the store's files fail from now on.
    pub(crate) fn set_faults(&self, plan: &FaultPlan) {
        let (new, path) = (self.folder.join("plan.new"), self.folder.join("plan"));
        std::fs::write(&new, plan.to_string()).expect("a temporary file");
        std::fs::rename(new, path).expect("a temporary file");
        // The program reads the plan every 50 ms.
        thread::sleep(Duration::from_millis(120));
    }

    /// The configuration with the events known by now.
    fn configured(&self) -> String {
        let events = self.log.events.lock().expect("events").clone();
        let mut config: serde_json::Value = serde_json::from_str(&self.config).expect("a configuration");
        config["known"]["seq"] = events.len().into();
        let results = config["known"]["results"].as_array_mut().expect("events");
        if self.lists_all_events {
            results.extend(events[1..].iter().map(|event| serde_json::from_str(event).expect("an event")));
        } else {
            results[0]["seq"] = events.len().into();
        }
        config.to_string()
    }

    /// Starts the program with the events known by now, and waits until it serves.
    pub(crate) fn program(&self) -> Program {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.configured()).expect("a file");
        let errors = std::fs::File::options().create(true).append(true).open(self.errors()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperroute"));
        command
            .args(["serve", "--config"])
            .arg(&path)
            .arg("--operator")
            .arg(self.folder.join("operator.json"));
        preload(&mut command, &FaultPlan::new(1).file(self.folder.join("plan")));
        let program = Program(command.stderr(Stdio::from(errors)).spawn().expect("the program starts"));
        wait_until("it serves", || {
            let Ok(mut client) = TcpStream::connect(&self.address) else { return false };
            client.set_read_timeout(Some(LONG)).expect("a timeout");
            client.write_all(&message("HEALTH", 1)).is_ok() && answer(&client).contains("UP")
        });
        // By then the change log has sent all events.
        thread::sleep(Duration::from_millis(150));
        program
    }

    fn errors(&self) -> PathBuf {
        self.folder.join("errors")
    }

    pub(crate) fn log_lines_with(&self, what: &str) -> usize {
        let errors = std::fs::read_to_string(self.errors()).unwrap_or_default();
        errors.lines().filter(|line| line.contains(what)).count()
    }

    /// Requests the part; returns when the copy in the answer was made.
    pub(crate) fn copy_made_ms(&mut self) -> u64 {
        self.tag += 1;
        let mut client = TcpStream::connect(&self.address).expect("the program listens");
        client.set_read_timeout(Some(LONG)).expect("a timeout");
        let more = format!("{UNHURRIED},family=17,block={}", self.part);
        let asked = request(self.tag, "image", &format!("{:x}f1f", self.tag), &more);
        client.write_all(&asked).expect("the program reads");
        let answer = answer(&client);
        let made = answer.split("made ").nth(1).and_then(|made| made.split_whitespace().next()?.parse().ok());
        made.unwrap_or_else(|| panic!("no copy in the answer: {answer}"))
    }

    /// Whether the store on disk has a matching record. An incomplete record ends the search of its segment.
    fn has_record(&self, matches: impl Fn(&Head) -> bool) -> bool {
        let entries = std::fs::read_dir(self.store()).into_iter().flatten().flatten();
        let logs = entries.filter(|entry| entry.path().extension().is_some_and(|ending| ending == "log"));
        logs.filter_map(|entry| std::fs::read(entry.path()).ok()).any(|log| {
            let mut rest = log.as_slice();
            while let Ok(head) = Head::decode(rest) {
                let end = HEAD + head.body();
                if rest.len() >= end && matches(&head) {
                    return true;
                }
                rest = rest.get(end..).unwrap_or_default();
            }
            false
        })
    }

    /// Requests the next part until a copy is stored on disk; no older copy of it is in memory.
    pub(crate) fn store_on_disk(&mut self) {
        self.part += 1;
        let part = self.part;
        wait_until("a copy is stored on disk", || {
            self.copy_made_ms();
            self.has_record(|head| matches!(head, Head::Copy(key, ..) if u64::from(key.part) == part))
        });
    }

    /// Purges a group that is not requested, and waits until the mark is on disk.
    pub(crate) fn purge_other_group(&self) {
        self.log.purge("\"bucket\":5");
        let last = self.log.events.lock().expect("events").len() as u64;
        wait_until("the purge is marked", || {
            self.has_record(|head| matches!(head, Head::PurgedGroup { seq, .. } if *seq == last))
        });
    }

    /// Purges the object and waits until a request is answered with a newer copy; returns the time of the purge.
    pub(crate) fn purge_object(&mut self) -> u64 {
        let purged = self.log.purge(&format!("\"object\":\"{OBJECT}\""));
        wait_until("the purge takes effect", || self.copy_made_ms() > purged);
        purged
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A running program, killed on drop.
pub(crate) struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
