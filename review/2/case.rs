//! Bad clients send hundreds of unusable requests at once, and the same again once they are turned away. Each request of
//! a usual client must still have its final answer no later than half a second after its time.
#[path = "../lib/stage.rs"]
mod stage;

use stage::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bad clients, and how many requests each sends at once.
const BAD_CLIENTS: usize = 60;
const AT_ONCE: usize = 900;
/// Half of the expiry of `fare-table`, which is 3 s: a try is given up after 50 to 100% of it.
const TIMEOUT_MS: u64 = 1_500;
/// Up to half a second after its time a final answer only earns nothing; each time limit is 50 ms longer on sockets.
const LATE_MS: u64 = 550;

fn config(name: &str, listen: &str, changelog: &str, known: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"51f0c3a977d2be10",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{changelog}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},
"settings":{{"zone":0,"balancers":2,"discovery":"automatic","localities":["coastal","hub"],
"flavors":["small-node","parent","origin"],"client_habits":{{"marks_retry":true}},
"services":[
{{"name":"firmware-image","effect":"safe","aim_s":0.4,"aim_stretch":1.6,"deadline_s":5.0,"value":2.0}},
{{"name":"fare-table","effect":"safe","aim_s":0.25,"aim_stretch":2.0,"deadline_s":3.0,"value":1.0}},
{{"name":"day-end-post","effect":"unsafe","aim_s":0.7,"aim_stretch":0.0,"deadline_s":3.0,"value":3.0}}],
"family_info":{{"second_tier_kind":1,"root_kind":2,"pass_through_ok":true,"shares_fills":false,"detail":"all",
"client_kb_per_s":5000.0,"crew_by_zone":[2,0],"pass_on":[false,false,true],"fresh_for_s":[0.0,0.0,0.0],
"usable_after_s":[0.0,0.0,0.0],"pipe_kb_per_s":[0.0,0.0],"purge_done_s":6.0,"notice_time_s":1.0,"sideways":"any",
"parent_cold_from":0.064,"parent_cold_s":21.0,"parent_breaks_at":2.0}},
"rules":{{"cold_share":0.17,"cold_s":16.0,"fall_multiple":2.5,"overload_for_s":3.0,"drain_grace_s":1.0}},
"report":{{"how":"probe","fields":["cpu_share","x1"]}},
"limits":{{"cancel":true,"probing":true,"retry_after":true,"max_retry_after_s":1.0,"max_attempts":6,
"second_copies":true,"connect_timeout_s":0.4,"streams_per_conn":100,"conn_idle_s":30.0}}}}}}"#
    )
}

/// What usual clients saw.
#[derive(Default)]
struct Seen {
    asked: u32,
    lost: u32,
    served: u32,
    refused: u32,
    failed: u32,
    slowest_ms: u64,
}

/// A usual client: asks, waits for the answer, rests, asks again.
fn usual(
    to: SocketAddr,
    who: String,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    over: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    static OBJECT: AtomicU64 = AtomicU64::new(0x5000);
    thread::spawn(move || {
        let mut client = Client::connect(to).expect("client");
        while !over.load(Ordering::Relaxed) {
            let object = OBJECT.fetch_add(1, Ordering::Relaxed);
            let line = format!(
                "req={},timeout={TIMEOUT_MS},subject={object:016x},block=0,family=4,need=150.0",
                new_id()
            );
            let written = Instant::now();
            let mut answer = client.request("fare-table", &line, b"");
            // A request that crosses the end of its connection within 50 ms is sent again on a new one, once.
            if answer.is_err() && written.elapsed() <= Duration::from_millis(50) {
                client = Client::connect(to).expect("client");
                answer = client.request("fare-table", &line, b"");
            }
            let took = written.elapsed().as_millis() as u64;
            let word = answer.as_ref().map_or("no answer", |answer| answer.word.as_str()).to_string();
            let is_lost = answer.is_err() || took > TIMEOUT_MS + LATE_MS;
            {
                let mut seen = seen.lock().unwrap();
                seen.asked += 1;
                seen.lost += u32::from(is_lost);
                seen.slowest_ms = seen.slowest_ms.max(took);
                match word.as_str() {
                    "OK" => seen.served += 1,
                    "BUSY" => seen.refused += 1,
                    _ => seen.failed += 1,
                }
            }
            let mark = if is_lost { "  LOST" } else { "" };
            record.line(&format!("{who}: {object:016x}, timeout {TIMEOUT_MS} ms, {word} after {took} ms{mark}"));
            if answer.is_err() {
                client = Client::connect(to).expect("client");
            }
            sleep_ms(300);
        }
    })
}

/// A bad client: hundreds of requests at once whose timeout is out of range, and the same again as soon as all are
/// turned away. It reads what it is sent.
fn bad(to: SocketAddr, sent: Arc<AtomicU64>, over: Arc<AtomicBool>) {
    let mut fields = String::from("timeout=99999999999999999999,subject=00000000000000a1,block=0");
    while fields.len() < 4_080 {
        fields += ",x=";
    }
    let message = format!(
        "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$10\r\nfare-table\r\n${}\r\n{fields}\r\n$0\r\n\r\n",
        fields.len()
    );
    let all = Arc::new(message.repeat(AT_ONCE).into_bytes());
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(to) else { return sleep_ms(100) };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let mut writer = stream.try_clone().expect("stream");
            let mut reader = stream;
            let mut bytes = [0; 16_384];
            'connection: while !over.load(Ordering::Relaxed) {
                if writer.write_all(&all).is_err() {
                    break;
                }
                sent.fetch_add(AT_ONCE as u64, Ordering::Relaxed);
                // Each answer has one word; the answers are counted by it.
                let mut turned_away = 0;
                let mut last = 0;
                while turned_away < AT_ONCE {
                    match reader.read(&mut bytes) {
                        Ok(0) => break 'connection,
                        Ok(count) => {
                            for byte in &bytes[..count] {
                                turned_away += usize::from(last == b'*' && *byte == b'4');
                                last = *byte;
                            }
                        }
                        Err(_) if over.load(Ordering::Relaxed) => return,
                        Err(_) => {}
                    }
                }
            }
        }
    });
}

fn main() {
    let stage = Stage::new("2");
    let record = stage.record.clone();
    let hosts = [
        ("s-1", Role::Cache),
        ("s-2", Role::Cache),
        ("s-3", Role::Cache),
        ("p-1", Role::Parent),
        ("p-2", Role::Parent),
        ("o-1", Role::Origin),
    ];
    let world = World::start(&record, &hosts, &["day-end-post"]);
    let entries: Vec<String> = hosts
        .iter()
        .map(|(id, role)| match role {
            Role::Cache => world.entry(id, "coastal", "small-node", 20.0),
            Role::Parent => world.entry(id, "hub", "parent", 80.0),
            Role::Origin => world.entry(id, "hub", "origin", 80.0),
        })
        .collect();
    let first = format!(r#"{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}"#, entries.join(","));
    let log = ChangeLog::start(first);
    let command = stage.run_command();
    record.line(&format!("command: {command}"));
    // The bad clients come to n0. n1 is beside it, on the same machine with the same cache hosts.
    let mut n0 = Dispatcher::new(&stage, "n0", &command);
    let mut n1 = Dispatcher::new(&stage, "n1", &command);
    for dispatcher in [&mut n0, &mut n1] {
        let listen = dispatcher.listen.to_string();
        let text = config(&dispatcher.name, &listen, &log.address.to_string(), &log.known());
        dispatcher.start(&text);
    }
    sleep_ms(1_500);
    let over = Arc::new(AtomicBool::new(false));
    let [at_n0, at_n1] = [(); 2].map(|()| Arc::new(Mutex::new(Seen::default())));
    let mut threads = Vec::new();
    for number in 0..6 {
        let (record, seen, over) = (record.clone(), at_n0.clone(), over.clone());
        threads.push(usual(n0.listen, format!("usual client {number} at n0"), record, seen, over));
    }
    for number in 0..3 {
        let (record, seen, over) = (record.clone(), at_n1.clone(), over.clone());
        threads.push(usual(n1.listen, format!("usual client {number} at n1"), record, seen, over));
    }
    sleep_ms(3_000);
    let sent = Arc::new(AtomicU64::new(0));
    let bad_over = Arc::new(AtomicBool::new(false));
    if stage.trouble {
        record.line(&format!("{BAD_CLIENTS} bad clients come to n0"));
        (0..BAD_CLIENTS).for_each(|_| bad(n0.listen, sent.clone(), bad_over.clone()));
    }
    sleep_ms(15_000);
    bad_over.store(true, Ordering::Relaxed);
    record.line(&format!("the bad clients go; {} requests sent by them", sent.load(Ordering::Relaxed)));
    sleep_ms(4_000);
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    if !n0.is_running() || !n1.is_running() {
        give_up("a dispatcher has ended");
    }
    let text = |seen: &Seen| {
        let Seen { asked, lost, served, refused, failed, slowest_ms } = seen;
        format!("{asked} asked, {served} served, {refused} refused, {failed} failed, {lost} lost, slowest {slowest_ms} ms")
    };
    let (at_n0, at_n1) = (at_n0.lock().unwrap(), at_n1.lock().unwrap());
    record.line(&format!("at n1: {}", text(&at_n1)));
    if at_n1.lost > 0 {
        give_up("the machine is too slow: requests are lost at n1 too");
    }
    stage.end(at_n0.lost > 0, &format!("at n0: {}", text(&at_n0)))
}
