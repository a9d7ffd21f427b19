//! Case 6: clients that read their answers at the lowest pace of the pages, with up to 32 requests open, and the memory
//! of the dispatcher.

#[path = "../stage-2/stage.rs"]
mod stage;

use stage::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The largest limits of the scored days.
const MEMORY_MB: u64 = 192;
const SOCKETS: u32 = 1024;
const READERS: usize = 5;
/// Bytes a second that a slow client takes: the lowest pace of site depot-fare-net.
const PACE: f64 = 2_100_000.0;
const OBJECT_BYTES: usize = 240_000;
const OPEN: usize = 32;
const TIMEOUT_MS: u64 = 5000;
/// How long the clients ask.
const SECONDS: f64 = 45.0;

/// The requests of one connection.
struct Asking {
    sender: TcpStream,
    next_tag: u64,
    open: HashMap<u64, String>,
}

fn ask(asking: &Mutex<Asking>, sent: &AtomicU64) {
    let mut asking = asking.lock().unwrap();
    let (tag, id, subject, mut bytes) = (asking.next_tag, fresh_id(), fresh_id(), Vec::new());
    let request = Request {
        content_type: "firmware-image",
        timeout_ms: TIMEOUT_MS,
        subject: &subject,
        need_kb: 1500,
        family: 1,
        body: b"",
    };
    encode_request(tag, &id, &request, &mut bytes);
    if asking.sender.write_all(&bytes).is_ok() {
        note(&format!("asked {id}: firmware-image, {TIMEOUT_MS} ms"));
        asking.next_tag += 1;
        asking.open.insert(tag, id);
        sent.fetch_add(1, Ordering::Relaxed);
    }
}

fn main() {
    run_case(case)
}

fn case(record: &Record, folder: &Path) -> CaseResult<bool> {
    let trouble = with_trouble();
    let agenda = Agenda::new();
    let body = Arc::new((0..OBJECT_BYTES).map(|at| (at * 7 % 251) as u8).collect::<Vec<_>>());
    let cache = |id: &str, zone: &str, kind: &str, weight: u32| {
        let body = body.clone();
        Node::start(id, zone, kind, weight, &agenda, move |_| {
            let fields = format!("etag={:016x},made={},why=local", 0xabcd, unix_ms());
            served(Duration::from_millis(5), &fields, &body)
        })
    };
    let nodes = [
        cache("s-1", "kandy", "small-node", 40)?,
        cache("s-2", "kandy", "small-node", 40)?,
        cache("s-3", "kandy", "small-node", 40)?,
        cache("s-4", "kandy", "small-node", 40)?,
        cache("p-1", "coastal", "parent", 80)?,
        cache("p-2", "coastal", "parent", 80)?,
        cache("o-1", "coastal", "origin", 80)?,
    ];
    let entries: Vec<_> = nodes.iter().map(|node| node.entry("active", 0)).collect();
    let change_log = ChangeLog::start(1, record)?;
    let deployment = Deployment {
        memory_mb: MEMORY_MB as u32,
        sockets: SOCKETS,
        change_log: change_log.address,
        entries: &entries,
        dispatchers: 1,
        probing: true,
        rules: RULES,
        services: SERVICES,
        family: FAMILY,
        cancel: true,
    };
    let mut dispatcher = Dispatcher::start("n1", &deployment.config(), folder, record)?;
    dispatcher.wait_ready()?;
    dispatcher.memory().ok_or("the memory of a process can't be read here")?;
    record.line(&format!(
        "{READERS} clients, each with up to {OPEN} requests open for objects of {OBJECT_BYTES} bytes; they read {}",
        if trouble { format!("{PACE} bytes a second") } else { "at once".into() }
    ));

    let stop = Arc::new(AtomicBool::new(false));
    let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(HashMap::<String, u64>::new())));
    let lost = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for reader in 0..READERS {
        let (stop, sent, answered, lost) = (stop.clone(), sent.clone(), answered.clone(), lost.clone());
        let (address, record, agenda) = (dispatcher.address, record.clone(), agenda.clone());
        clients.push(thread::spawn(move || {
            let Ok(mut client) = Client::connect(address) else { return };
            client.set_receive_buffer(65536);
            if trouble {
                client.pace = Pace::new(PACE);
            }
            let _ = client.stream.set_read_timeout(Some(Duration::from_secs(10)));
            let Ok(sender) = client.sender() else { return };
            let asking = Arc::new(Mutex::new(Asking { sender, next_tag: 1, open: HashMap::new() }));
            for _ in 0..OPEN {
                ask(&asking, &sent);
            }
            let (started, mut more) = (Instant::now(), 0.0);
            while !(stop.load(Ordering::Relaxed) && asking.lock().unwrap().open.is_empty()) {
                let Ok(answer) = client.receive() else { break };
                let id = asking.lock().unwrap().open.remove(&answer.tag).unwrap_or_default();
                let whole = answer.word != "OK" || answer.body.len() == OBJECT_BYTES;
                let word = if whole { answer.word } else { "not whole".into() };
                record.line(&format!("client {reader}: {id} answered {word}"));
                *answered.lock().unwrap().entry(word).or_default() += 1;
                more += 1.0;
                // Whoever reads at once asks no more often than whoever reads slowly.
                let at = if trouble { 0.0 } else { more * OBJECT_BYTES as f64 / PACE };
                let wait = (at - started.elapsed().as_secs_f64()).max(0.0);
                let (stop, sent, asking) = (stop.clone(), sent.clone(), asking.clone());
                agenda.after(Duration::from_secs_f64(wait), move || {
                    if !stop.load(Ordering::Relaxed) {
                        ask(&asking, &sent);
                    }
                });
            }
            let open = asking.lock().unwrap().open.clone();
            lost.fetch_add(open.len() as u64, Ordering::Relaxed);
            for id in open.values() {
                record.line(&format!("client {reader}: {id} has no answer: the connection ended"));
            }
        }));
    }

    // The platform: over `memory_mb` the dispatcher is killed.
    let (mut peak, mut crashed, mut last) = (0, None, 0);
    let started = Instant::now();
    while started.elapsed().as_secs_f64() < SECONDS {
        sleep_ms(50);
        if let Some(status) = dispatcher.exited() {
            crashed = Some(format!("it ended: {status}"));
            break;
        }
        let memory = dispatcher.memory().unwrap_or_default();
        peak = peak.max(memory);
        let second = started.elapsed().as_secs();
        if second > last {
            last = second;
            let answered = answered.lock().unwrap().clone();
            record.line(&format!(
                "platform: {} MB of anonymous memory; {} requests sent, answered {answered:?}",
                memory / 1_048_576,
                sent.load(Ordering::Relaxed)
            ));
        }
        if memory > MEMORY_MB * 1_048_576 {
            dispatcher.signal(SIGKILL);
            crashed = Some(format!(
                "killed by the platform after {:.1} s: {} MB of anonymous memory, the limit is {MEMORY_MB}",
                started.elapsed().as_secs_f64(),
                memory / 1_048_576
            ));
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answered = answered.lock().unwrap().clone();
    record.say(&format!(
        "peak {} MB; {} requests sent, answered {answered:?}, without an answer {}",
        peak / 1_048_576,
        sent.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    ));
    if answered.values().sum::<u64>() < 100 && crashed.is_none() {
        return Err("too few requests were answered".into());
    }
    match &crashed {
        Some(how) => record.say(&format!("BROKEN: the dispatcher has crashed: {how}")),
        None => record.say("HELD: the dispatcher kept its limit of memory"),
    }
    Ok(crashed.is_some())
}
