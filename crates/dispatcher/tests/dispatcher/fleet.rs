//! Two dozen real processes beside the same nodes and list service: when they are ready, and what a cold cache gets from
//! all of them. Judged by what the stand-ins were sent.

use crate::common::{CONFIG, answered, message, request};
use crate::rig::{LONG, answer};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROCESSES: usize = 24;
/// A node answers so long after it was asked, as long as a request is sent.
const SENDS: Duration = Duration::from_millis(100);
const NODES: [(&str, u32); 5] = [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)];

/// A call that came to a node.
struct Came {
    node: &'static str,
    at: Instant,
}

/// A node that answers every call with a copy.
fn node(name: &'static str, came: Sender<Came>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (later, due) = channel::<(Instant, TcpStream, String)>();
    thread::spawn(move || {
        for (at, mut stream, bytes) in due {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let _ = stream.write_all(bytes.as_bytes());
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (came, later) = (came.clone(), later.clone());
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
                while let Some(Ok(line)) = lines.next() {
                    let Some(rest) = line.strip_prefix("fetch ") else { continue };
                    lines.next();
                    let at = Instant::now();
                    let id = rest.split(' ').next().unwrap_or_default();
                    let bytes = format!("{}\r\nbody\r\n", answered(&format!("{id} ok why=local 4")));
                    let back = stream.try_clone().expect("a second handle");
                    if came.send(Came { node: name, at }).is_err()
                        || later.send((at + SENDS, back, bytes)).is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A list service that answers one call after another, each after `takes`, with `list`; calls are counted.
fn list_service(listener: TcpListener, takes: Duration, list: String, calls: &'static AtomicU32) {
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            calls.fetch_add(1, Ordering::Relaxed);
            let mut since = [0; 8];
            if stream.read_exact(&mut since).is_err() {
                continue;
            }
            thread::sleep(takes);
            let _ = stream.write_all(list.as_bytes());
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
}

/// Processes that share nothing but what they are told.
struct Fleet {
    configs: Vec<std::path::PathBuf>,
    addresses: Vec<String>,
    programs: Vec<Child>,
}

impl Fleet {
    fn new(config: &str) -> Fleet {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let address = |at| format!("127.{}.{}.{}:5050", 1 + std::process::id() % 250, 100 + fleet, at + 1);
        let addresses: Vec<_> = (0..PROCESSES).map(address).collect();
        let path = |address: &String| {
            let path = std::env::temp_dir().join(format!("copperroute-{}.json", address.replace(':', "-")));
            let seed = format!("{:016x}", copperroute_routing::interface::stable_hash(address.as_bytes()));
            let own = config.replace("127.0.0.1:5050", address).replace("8c1f30d27a5be964", &seed);
            std::fs::write(&path, own).expect("a temporary file");
            path
        };
        let configs = addresses.iter().map(path).collect();
        let mut fleet = Fleet { configs, addresses, programs: Vec::new() };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let start = |config: &std::path::PathBuf| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_copperroute"));
            command.args(["serve", "--config"]).arg(config).stderr(Stdio::null());
            command.spawn().expect("the program starts")
        };
        self.programs = self.configs.iter().map(start).collect();
    }

    fn kill(&mut self) {
        for mut program in self.programs.drain(..) {
            let _ = program.kill();
            let _ = program.wait();
        }
    }

    /// A connection to one, once it listens.
    fn client(&self, at: usize) -> TcpStream {
        let until = Instant::now() + LONG;
        loop {
            match TcpStream::connect(&self.addresses[at]) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(LONG)).expect("a timeout");
                    return stream;
                }
                Err(fault) => assert!(Instant::now() < until, "{}: {fault}", self.addresses[at]),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// How long each takes to say UP. Once it does, a request that it is asked for at once is not refused.
    fn ready(&self) -> Vec<f64> {
        let begun = Instant::now();
        let mut took: Vec<_> = thread::scope(|scope| {
            let ready = |at| {
                let mut client = self.client(at);
                for tag in (1..).step_by(2) {
                    client.write_all(&message("HEALTH", tag)).expect("the program reads");
                    if answer(&client).contains("UP") {
                        break;
                    }
                    assert!(begun.elapsed() < Duration::from_secs(30), "not ready");
                    thread::sleep(Duration::from_millis(20));
                }
                let took = begun.elapsed().as_secs_f64();
                client
                    .write_all(&request(1_000_000, "image", &format!("{at:02x}"), ",need=500"))
                    .expect("it reads");
                let word = answer(&client);
                assert!(word.starts_with("1000000 OK"), "process {at} is up and says {word}");
                took
            };
            let waits: Vec<_> = (0..PROCESSES).map(|at| scope.spawn(move || ready(at))).collect();
            waits.into_iter().map(|wait| wait.join().expect("ready")).collect()
        });
        took.sort_by(f64::total_cmp);
        took
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
        self.configs.iter().for_each(|config| drop(std::fs::remove_file(config)));
    }
}

/// The example with nodes that answer, so many dispatchers told, and a list service; and what comes to the nodes.
fn config(told: u32, list_at: &str) -> (String, Receiver<Came>) {
    let (tell, came) = channel();
    let mut config = CONFIG.replace("127.0.0.1:2379", list_at);
    for (name, port) in NODES {
        config = config.replace(&format!("127.0.0.1:{port}"), &node(name, tell.clone()));
    }
    config = config.replace("\"balancers\": 1", &format!("\"balancers\": {told}"));
    (config.replace("\"crew_by_zone\": [1, 0]", &format!("\"crew_by_zone\": [{told}, 0]")), came)
}

/// Of the configuration what is known at the start, as the first line of the change log; and the rest with nothing known.
fn unknown(config: &str) -> (String, String) {
    let from = config.find("{\"seq\": 1, \"fleet\"").expect("an event");
    let end = from + config[from..].find("]}}").expect("its end") + 3;
    let line = config[from..end].replace('\n', " ") + "\n";
    let rest = format!("{}{}", &config[..from], &config[end..]).replace("\"seq\": 1,\n", "\"seq\": 0,\n");
    (line, rest)
}

/// All are killed and started together: with a list in their configuration and nobody at the list service they serve at
/// once; without one, and with a list service that takes 50 ms a call, one after another, nine in ten do within 10 s and
/// all within 30.
#[test]
fn two_dozen_restarted_together_are_ready_with_the_list_service_down_or_slow() {
    let down = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = down.local_addr().expect("an address").to_string();
    let (config, _came) = config(PROCESSES as u32, &address);
    // Nobody accepts, and then nobody listens.
    let mut fleet = Fleet::new(&config);
    fleet.ready();
    drop(down);
    fleet.kill();
    fleet.start();
    let took = fleet.ready();
    assert!(took[PROCESSES * 9 / 10] < 10.0, "{took:?}");
    drop(fleet);
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let (list, config) = unknown(&config);
    let slow = TcpListener::bind(&address).expect("the port is free");
    list_service(slow, Duration::from_millis(50), list, &CALLS);
    let mut fleet = Fleet::new(&config);
    fleet.ready();
    fleet.kill();
    fleet.start();
    let took = fleet.ready();
    assert!(took[PROCESSES * 9 / 10] < 10.0, "{took:?}");
    assert!(CALLS.load(Ordering::Relaxed) < 40 * PROCESSES as u32, "{CALLS:?} calls");
}

/// The fullest window of calls at a cache that began to start at `started`, over N + 2 roots of N + 2.
fn fullest(came: &[Instant], started: Instant) -> f64 {
    let mut worst: f64 = 0.0;
    for (first, from) in came.iter().enumerate() {
        let calls = came[first..].iter().take_while(|at| **at - *from < Duration::from_secs(3)).count();
        let age = (*from - started).as_secs_f64();
        // The example's settings: a fifth at first, all after 15 s; 2.5 times that, over 3 s, of 12 transfers of 0.1 s.
        let n = 2.5 * (0.2 + 0.8 * (age / 15.0).min(1.0)) * 12.0 * 3.0 / SENDS.as_secs_f64();
        worst = worst.max(calls as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    worst
}

/// What a cache that has just started gets from all processes, in its fullest window, where so many are told.
fn sent_to_a_cold_cache(told: u32) -> f64 {
    let list_at = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (config, came) = config(told, &list_at.local_addr().expect("an address").to_string());
    let started = Instant::now();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    let old = "\"weight\": 20, \"started_ms\": 0}";
    let config = config.replacen(old, &format!("\"weight\": 12, \"started_ms\": {unix_ms}}}"), 1);
    let config = config.replace("\"weight\": 20", "\"weight\": 12");
    let fleet = Fleet::new(&config);
    fleet.ready();
    // Uneven: the first are asked several times as often as the last, 360 requests a second in all.
    thread::scope(|scope| {
        for at in 0..PROCESSES {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut client = fleet.client(at);
                client.set_nonblocking(true).expect("an option");
                let every = Duration::from_secs_f64((at + 4) as f64 / 16.0 / 15.0);
                let until = Instant::now() + Duration::from_secs(7);
                for tag in 1_u64.. {
                    let more = format!(",need=500,block={}", tag * 24 % 1_009);
                    let bytes = request(tag, "image", &format!("{at:02x}{tag:06x}"), &more);
                    if client.write_all(&bytes).is_err() || Instant::now() > until {
                        return;
                    }
                    let mut room = [0; 4_096];
                    while matches!(client.read(&mut room), Ok(count) if count > 0) {}
                    thread::sleep(every);
                }
            });
        }
    });
    let cold: Vec<_> = came.try_iter().filter(|came| came.node == "s-a").map(|came| came.at).collect();
    assert!(cold.len() > 50, "only {} calls came", cold.len());
    fullest(&cold, started)
}

/// The same judge finds a fleet of which each was told that it is alone.
#[test]
fn a_cold_cache_gets_no_more_than_it_bears_from_two_dozen_processes() {
    let part = sent_to_a_cold_cache(PROCESSES as u32);
    assert!(part <= 1.0, "{part:.2} of what it bears");
    let alone = sent_to_a_cold_cache(1);
    assert!(alone > 2.0 * part, "{alone:.2} where each thinks that it is alone, {part:.2} where not");
}
