//! 24 dispatcher processes with the same nodes and change log: how soon they are ready, and how many attempts a cache
//! in slow start receives from all of them. Checked by what stand-in nodes receive.

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
/// How long a stand-in node takes to answer, which is the duration of a transfer.
const TRANSFER_TIME: Duration = Duration::from_millis(100);
const NODES: [(&str, u32); 5] = [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)];

/// An attempt that a node received.
struct Received {
    node: &'static str,
    at: Instant,
}

/// Starts a node that answers every attempt with a copy; returns its address.
fn node(name: &'static str, received: Sender<Received>) -> String {
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
            let (received, later) = (received.clone(), later.clone());
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
                while let Some(Ok(line)) = lines.next() {
                    let Some(rest) = line.strip_prefix("fetch ") else { continue };
                    lines.next();
                    let at = Instant::now();
                    let id = rest.split(' ').next().unwrap_or_default();
                    let bytes = format!("{}\r\nbody\r\n", answered(&format!("{id} ok why=local 4")));
                    let back = stream.try_clone().expect("a second handle");
                    if received.send(Received { node: name, at }).is_err()
                        || later.send((at + TRANSFER_TIME, back, bytes)).is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A change log that accepts one connection after another, sends `snapshot` on each after `delay`, and counts them.
fn change_log(listener: TcpListener, delay: Duration, snapshot: String, connections: &'static AtomicU32) {
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            connections.fetch_add(1, Ordering::Relaxed);
            let mut since = [0; 8];
            if stream.read_exact(&mut since).is_err() {
                continue;
            }
            thread::sleep(delay);
            let _ = stream.write_all(snapshot.as_bytes());
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
}

/// Dispatcher processes with the same configuration except for address and seed.
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

    /// A connection to a process, once it listens.
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

    /// How long each process takes to answer UP, in seconds, sorted. A request sent right after that must not be
    /// refused.
    fn ready(&self) -> Vec<f64> {
        let started = Instant::now();
        let mut took: Vec<_> = thread::scope(|scope| {
            let ready = |at| {
                let mut client = self.client(at);
                for tag in (1..).step_by(2) {
                    client.write_all(&message("HEALTH", tag)).expect("the program reads");
                    if answer(&client).contains("UP") {
                        break;
                    }
                    assert!(started.elapsed() < Duration::from_secs(30), "process {at} is not ready");
                    thread::sleep(Duration::from_millis(20));
                }
                let took = started.elapsed().as_secs_f64();
                client
                    .write_all(&request(1_000_000, "image", &format!("{at:02x}"), ",need=500"))
                    .expect("it reads");
                let word = answer(&client);
                assert!(word.starts_with("1000000 OK"), "process {at} is up and answers {word}");
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

/// The example configuration with stand-in nodes, a change log, and this number of configured dispatchers; and the
/// attempts that the nodes receive.
fn config(configured: u32, log_address: &str) -> (String, Receiver<Received>) {
    let (sender, received) = channel();
    let mut config = CONFIG.replace("127.0.0.1:2379", log_address);
    for (name, port) in NODES {
        config = config.replace(&format!("127.0.0.1:{port}"), &node(name, sender.clone()));
    }
    config = config.replace("\"balancers\": 1", &format!("\"balancers\": {configured}"));
    (config.replace("\"crew_by_zone\": [1, 0]", &format!("\"crew_by_zone\": [{configured}, 0]")), received)
}

/// Splits the configuration into the node list that is known at the start, as a line of the change log, and a
/// configuration that knows no nodes.
fn split_known_nodes(config: &str) -> (String, String) {
    let from = config.find("{\"seq\": 1, \"fleet\"").expect("an event");
    let end = from + config[from..].find("]}}").expect("its end") + 3;
    let line = config[from..end].replace('\n', " ") + "\n";
    let rest = format!("{}{}", &config[..from], &config[end..]).replace("\"seq\": 1,\n", "\"seq\": 0,\n");
    (line, rest)
}

/// All processes are killed and restarted together. With a node list in their configuration and no change log they
/// serve at once (the check allows 10 s for nine in ten). Without a node list, and with a change log that takes 50 ms
/// for each connection, one after another, nine in ten are ready within 10 s. All are ready within 30 s.
#[test]
fn dispatchers_restarted_together_are_ready_with_the_change_log_down_or_slow() {
    let down = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = down.local_addr().expect("an address").to_string();
    let (config, _received) = config(PROCESSES as u32, &address);
    // The change log accepts no connection at first, then its port is closed.
    let mut fleet = Fleet::new(&config);
    fleet.ready();
    drop(down);
    fleet.kill();
    fleet.start();
    let took = fleet.ready();
    assert!(took[PROCESSES * 9 / 10] < 10.0, "{took:?}");
    drop(fleet);
    static CONNECTIONS: AtomicU32 = AtomicU32::new(0);
    let (snapshot, config) = split_known_nodes(&config);
    let slow = TcpListener::bind(&address).expect("the port is free");
    change_log(slow, Duration::from_millis(50), snapshot, &CONNECTIONS);
    let mut fleet = Fleet::new(&config);
    fleet.ready();
    fleet.kill();
    fleet.start();
    let took = fleet.ready();
    assert!(took[PROCESSES * 9 / 10] < 10.0, "{took:?}");
    assert!(CONNECTIONS.load(Ordering::Relaxed) < 40 * PROCESSES as u32, "{CONNECTIONS:?} connections");
}

/// The largest number of attempts within 3 s at a cache that started at `started`, as a share of what is allowed, which
/// is n + 2 * sqrt(n) + 2 with n the attempts that its slow start permits.
fn max_share_of_allowed(received: &[Instant], started: Instant) -> f64 {
    let mut worst: f64 = 0.0;
    for (first, from) in received.iter().enumerate() {
        let attempts =
            received[first..].iter().take_while(|at| **at - *from < Duration::from_secs(3)).count();
        let age = (*from - started).as_secs_f64();
        // The example's settings: the share rises from 0.2 to 1 in 15 s, with 2.5 times that allowed. The cache bears
        // 12 transfers at a time, each of 0.1 s, over 3 s.
        let n = 2.5 * (0.2 + 0.8 * (age / 15.0).min(1.0)) * 12.0 * 3.0 / TRANSFER_TIME.as_secs_f64();
        worst = worst.max(attempts as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    worst
}

/// The largest share of its allowed attempts that a cache in slow start receives within 3 s from all processes, which
/// are configured with this number of dispatchers.
fn max_share_in_slow_start(configured: u32) -> f64 {
    let log_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (config, received) = config(configured, &log_listener.local_addr().expect("an address").to_string());
    let started = Instant::now();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    let old = "\"weight\": 20, \"started_ms\": 0}";
    let config = config.replacen(old, &format!("\"weight\": 12, \"started_ms\": {unix_ms}}}"), 1);
    let config = config.replace("\"weight\": 20", "\"weight\": 12");
    let fleet = Fleet::new(&config);
    fleet.ready();
    // Uneven load: the first processes get several times as many requests as the last, 360 a second in all.
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
                    let mut buffer = [0; 4_096];
                    while matches!(client.read(&mut buffer), Ok(count) if count > 0) {}
                    thread::sleep(every);
                }
            });
        }
    });
    let cold: Vec<_> =
        received.try_iter().filter(|received| received.node == "s-a").map(|received| received.at).collect();
    assert!(cold.len() > 50, "only {} attempts arrived", cold.len());
    max_share_of_allowed(&cold, started)
}

/// The same check must detect processes that are each configured as the only dispatcher.
#[test]
fn a_cache_in_slow_start_receives_no_more_than_its_share_from_24_processes() {
    let part = max_share_in_slow_start(PROCESSES as u32);
    assert!(part <= 1.0, "{part:.2} of the allowed attempts");
    let alone = max_share_in_slow_start(1);
    assert!(
        alone > 2.0 * part,
        "{alone:.2} with each configured as the only dispatcher, {part:.2} otherwise"
    );
}
