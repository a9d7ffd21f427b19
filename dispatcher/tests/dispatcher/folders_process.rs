//! The program itself with its copies on a disk that fails for a while, killed and started again: judged by what clients
//! were given, and by what nodes were asked for.

use crate::common::{CONFIG, message, request};
use crate::rig::{Asked, LONG, UNHURRIED, answer, stand_in};
use copperroute_fault_injection::{Call, FaultPlan, Span, preload};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const EIO: i32 = 5;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
/// The object of all requests.
const OBJECT: &str = "7f3a000000000000";

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Waits until something is so; none of it takes nearly as long as it may.
fn wait_until(what: &str, mut so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !so() {
        assert!(began.elapsed() < LONG, "{what}: not within {LONG:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A stand-in of the change log, which outlives the program: tells who calls all that came after what it names.
struct ChangeLog {
    address: String,
    events: Arc<Mutex<Vec<String>>>,
}

impl ChangeLog {
    fn start() -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        // The first is the list in the configuration.
        let events = Arc::new(Mutex::new(vec![String::new()]));
        let its = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let events = its.clone();
                thread::spawn(move || ChangeLog::tell(stream, &events));
            }
        });
        ChangeLog { address, events }
    }

    fn tell(mut stream: TcpStream, events: &Mutex<Vec<String>>) {
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        let since = line.strip_prefix("since ").and_then(|since| since.trim().parse().ok());
        let mut told: usize = since.expect("a number");
        let mut ticks = 0;
        loop {
            let new: Vec<_> = events.lock().expect("events")[told..].to_vec();
            told += new.len();
            let heartbeat = if ticks % 20 == 0 { format!("{told}\n") } else { String::new() };
            if stream.write_all((new.concat() + &heartbeat).as_bytes()).is_err() {
                return;
            }
            ticks += 1;
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn last(&self) -> usize {
        self.events.lock().expect("events").len()
    }

    /// Something was purged just now; the time of that.
    fn purge(&self, what: &str) -> u64 {
        let (mut events, time) = (self.events.lock().expect("events"), unix_ms());
        let seq = events.len() + 1;
        events.push(format!("{{\"seq\":{seq},\"invalidate\":{{{what},\"time\":{time}}}}}\n"));
        time
    }
}

/// Answers each fetch with bytes that say when they were made; counts them.
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
            let told =
                format!("{id} ok etag=4b00000000000000,made={made},why=local {}\r\n{body}\r\n", body.len());
            let _ = back.write_all(told.as_bytes());
        }
    });
    fetched
}

/// A dispatcher's place: its folder and files, the nodes and the change log around it, which outlive each program.
struct Place {
    folder: PathBuf,
    address: String,
    log: ChangeLog,
    config: String,
    fetched: Arc<AtomicUsize>,
    tag: u64,
    /// The part that is asked for.
    part: u64,
}

impl Place {
    fn new() -> Place {
        static PLACES: AtomicU32 = AtomicU32::new(0);
        let place = PLACES.fetch_add(1, Ordering::Relaxed);
        let name = format!("copperroute-folders-{}-{place}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        // An address of its own: a port that was free a moment ago may be another test's by now.
        let address = format!("127.{}.{place}.9:5050", 1 + std::process::id() % 250);
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
        Place { folder, address, log, config, fetched: serve_nodes(asked), tag: 0, part: 0 }
    }

    fn store(&self) -> PathBuf {
        self.folder.join("store")
    }

    /// Which calls on the store's files fail from now on.
    fn faults(&self, plan: &FaultPlan) {
        let (new, place) = (self.folder.join("plan.new"), self.folder.join("plan"));
        std::fs::write(&new, plan.to_string()).expect("a temporary file");
        std::fs::rename(new, place).expect("a temporary file");
        // It is looked at every 50 ms.
        thread::sleep(Duration::from_millis(120));
    }

    /// The program, started with a whole list that stands for all events up to now.
    fn program(&self) -> Program {
        let (path, last) = (self.folder.join("config.json"), self.log.last());
        std::fs::write(&path, self.config.replace("\"seq\": 1,", &format!("\"seq\": {last},")))
            .expect("a file");
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
        // All that the change log has to tell is told by then.
        thread::sleep(Duration::from_millis(150));
        program
    }

    fn errors(&self) -> PathBuf {
        self.folder.join("errors")
    }

    fn lines_with(&self, what: &str) -> usize {
        let errors = std::fs::read_to_string(self.errors()).unwrap_or_default();
        errors.lines().filter(|line| line.contains(what)).count()
    }

    /// When what a client is given was made.
    fn given(&mut self) -> u64 {
        self.tag += 1;
        let mut client = TcpStream::connect(&self.address).expect("the program listens");
        client.set_read_timeout(Some(LONG)).expect("a timeout");
        let more = format!("{UNHURRIED},family=17,block={}", self.part);
        let asked = request(self.tag, "image", &format!("{:x}f1f", self.tag), &more);
        client.write_all(&asked).expect("the program reads");
        let told = answer(&client);
        let made = told.split("made ").nth(1).and_then(|made| made.split_whitespace().next()?.parse().ok());
        made.unwrap_or_else(|| panic!("no bytes: {told}"))
    }

    /// Bytes of all segments.
    fn logged(&self) -> u64 {
        let entries = std::fs::read_dir(self.store()).into_iter().flatten().flatten();
        let logs =
            entries.filter(|entry| Path::new(&entry.file_name()).extension().is_some_and(|of| of == "log"));
        logs.filter_map(|entry| entry.metadata().ok()).map(|told| told.len()).sum()
    }

    /// Asks for the next part until a copy has gone to disk; memory has none that would be given in its place.
    fn keep_on_disk(&mut self) {
        self.part += 1;
        let before = self.logged();
        wait_until("a copy is kept on disk", || {
            self.given();
            self.logged() > before
        });
    }

    /// Purges something that is not asked for, and waits until the disk has marked it.
    fn purge_other(&self) {
        let before = self.logged();
        self.log.purge("\"bucket\":5");
        wait_until("the purge is marked", || self.logged() > before);
    }

    /// Purges the object; who asks once that was heard is given a newer copy.
    fn purge_object(&mut self) -> u64 {
        let purged = self.log.purge(&format!("\"object\":\"{OBJECT}\""));
        wait_until("the purge is heard", || self.given() > purged);
        purged
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A program, which is killed when it goes.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// How the store's disk fails.
fn troubles(place: &Place) -> [(&'static str, FaultPlan); 4] {
    let plan = || FaultPlan::new(1).under(place.store());
    let read_only = [Call::Open, Call::FileWrite, Call::Ftruncate, Call::Rename, Call::Unlink];
    [
        ("syncs fail", plan().fail(Call::Fdatasync, &[EIO], 1, Span::ALWAYS)),
        ("it is full", plan().fail(Call::FileWrite, &[ENOSPC], 1, Span::ALWAYS)),
        ("writes and syncs fail in turn", {
            let writes = plan().fail(Call::FileWrite, &[EIO], 2, Span::ALWAYS);
            writes.fail(Call::Fdatasync, &[EIO], 2, Span::ALWAYS).fail(Call::Fsync, &[EIO], 2, Span::ALWAYS)
        }),
        (
            "it takes nothing",
            read_only.into_iter().fold(plan(), |plan, call| plan.fail(call, &[EROFS], 1, Span::ALWAYS)),
        ),
    ]
}

#[test]
fn a_purge_that_a_failing_disk_could_not_mark_is_heeded_by_the_next_life() {
    for trouble in 0..4 {
        let mut place = Place::new();
        let (what, plan) = troubles(&place)[trouble].clone();
        let first = place.program();
        place.keep_on_disk();
        place.purge_other();
        place.faults(&plan);
        let purged = place.purge_object();
        drop(first);
        place.faults(&FaultPlan::new(1));
        let _second = place.program();
        for _ in 0..5 {
            assert!(place.given() > purged, "{what}: a copy from before the purge was served");
        }
    }
}

#[test]
fn a_disk_that_is_well_again_is_used_again_without_a_restart() {
    for trouble in 0..4 {
        let mut place = Place::new();
        let (what, plan) = troubles(&place)[trouble].clone();
        let first = place.program();
        place.keep_on_disk();
        place.faults(&plan);
        let purged = place.purge_object();
        wait_until(what, || {
            // A plan that fails some calls alone has to be met first.
            place.log.purge("\"bucket\":6");
            thread::sleep(Duration::from_millis(20));
            place.lines_with("off, tried again by itself") == 1
        });
        thread::sleep(Duration::from_millis(1_500));
        place.faults(&FaultPlan::new(1));
        wait_until(what, || place.lines_with("on again after") == 1);
        let again = place.purge_object();
        place.keep_on_disk();
        place.purge_other();
        drop(first);
        let fetched = place.fetched.load(Ordering::Relaxed);
        let _second = place.program();
        let given = place.given();
        assert!(given > purged && given > again, "{what}: a copy from before the purge was served");
        assert_eq!(place.fetched.load(Ordering::Relaxed), fetched, "{what}: the disk had it");
        assert_eq!(place.lines_with("off, tried again by itself"), 1, "{what}: one line when it began");
    }
}
