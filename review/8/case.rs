//! Case 8: a planned restart while clients read answers that the dispatcher has handed to its socket, and give some
//! requests up.

#[path = "../stage-2/stage.rs"]
mod stage;

use stage::*;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Usual clients: far fewer than a third of the descriptors.
const CLIENTS: usize = 12;
/// Requests that each keeps open, of the 32 that it may.
const OPEN: usize = 16;
/// Bytes a second that a client is sent: the lowest pace of site depot-fare-net.
const PACE: f64 = 2_100_000.0;
const OBJECT_BYTES: usize = 240_000;
/// Every third request is for a fare table, which a client gives up after half of its expiry of 3 s.
const FARE_TABLE_MS: u64 = 1500;
const FIRMWARE_MS: u64 = 5000;
/// After SIGTERM requests come for so long; the page says 0.4 to 0.6 s.
const INTAKE: Duration = Duration::from_millis(400);
/// SIGKILL comes no sooner than the longest deadline (counted as 3 s) and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);

#[derive(Clone)]
struct Asked {
    id: String,
    is_firmware: bool,
    at: Instant,
}

fn main() {
    run_case(case)
}

fn case(record: &Record, folder: &Path) -> CaseResult<bool> {
    let trouble = with_trouble();
    let agenda = Agenda::new();
    let body = Arc::new((0..OBJECT_BYTES).map(|at| (at * 7 % 251) as u8).collect::<Vec<_>>());
    let forwarded: Arc<Mutex<HashSet<String>>> = Arc::default();
    let node = |id: &str, zone: &str, kind: &str, weight: u32| {
        let (body, forwarded) = (body.clone(), forwarded.clone());
        Node::start(id, zone, kind, weight, &agenda, move |fetch| {
            forwarded.lock().unwrap().insert(fetch.id.clone());
            served(Duration::from_millis(5), &format!("etag={:016x},made={},why=local", 0xabcd, unix_ms()), &body)
        })
    };
    let nodes = [
        node("s-1", "kandy", "small-node", 40)?,
        node("s-2", "kandy", "small-node", 40)?,
        node("s-3", "kandy", "small-node", 40)?,
        node("s-4", "kandy", "small-node", 40)?,
        node("p-1", "coastal", "parent", 80)?,
        node("p-2", "coastal", "parent", 80)?,
        node("o-1", "coastal", "origin", 80)?,
    ];
    let entries: Vec<_> = nodes.iter().map(|node| node.entry("active", 0)).collect();
    let change_log = ChangeLog::start(1, record)?;
    let deployment = Deployment {
        memory_mb: 192,
        sockets: 1024,
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
    record.line(&format!(
        "{CLIENTS} clients keep {OPEN} requests open each, for objects of {OBJECT_BYTES} bytes; each is sent {PACE} bytes a second"
    ));

    // Once the dispatcher is told to end, or the case ends, clients ask nothing more.
    let (ending, address) = (Arc::new(AtomicBool::new(false)), dispatcher.address);
    let answers: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let unanswered: Arc<Mutex<Vec<(usize, Asked, Instant)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ending, answers, unanswered) = (ending.clone(), answers.clone(), unanswered.clone());
            let (record, agenda) = (record.clone(), agenda.clone());
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else { return };
                client.pace = Pace::new(PACE);
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(8)));
                let Ok(sender) = client.sender().map(|sender| Arc::new(Mutex::new(sender))) else { return };
                let open: Arc<Mutex<HashMap<u64, Asked>>> = Arc::default();
                let mut last_tag = 0;
                let mut ask = || {
                    last_tag += 1;
                    let (tag, is_firmware) = (last_tag, last_tag % 3 != 0);
                    let (content_type, timeout_ms) =
                        if is_firmware { ("firmware-image", FIRMWARE_MS) } else { ("fare-table", FARE_TABLE_MS) };
                    let (id, subject, mut bytes) = (fresh_id(), fresh_id(), Vec::new());
                    let request =
                        Request { content_type, timeout_ms, subject: &subject, need_kb: 1500, family: 1, body: b"" };
                    encode_request(tag, &id, &request, &mut bytes);
                    if sender.lock().unwrap().write_all(&bytes).is_err() {
                        return;
                    }
                    note(&format!("asked {id}: {content_type}, {timeout_ms} ms"));
                    open.lock().unwrap().insert(tag, Asked { id: id.clone(), is_firmware, at: Instant::now() });
                    // A client that stops waiting sends ABORT.
                    let (open, sender, record) = (open.clone(), sender.clone(), record.clone());
                    agenda.after(Duration::from_millis(timeout_ms), move || {
                        if open.lock().unwrap().remove(&tag).is_some() {
                            record.line(&format!("client {number}: {id} given up after {timeout_ms} ms"));
                            let digits = tag.to_string().len();
                            let abort = format!("*2\r\n$5\r\nABORT\r\n${digits}\r\n{tag}\r\n");
                            let _ = sender.lock().unwrap().write_all(abort.as_bytes());
                        }
                    });
                };
                for _ in 0..OPEN {
                    ask();
                }
                while !open.lock().unwrap().is_empty() {
                    match client.receive() {
                        Ok(answer) => {
                            let asked = open.lock().unwrap().remove(&answer.tag);
                            let word = if asked.is_some() { answer.word } else { format!("{} after it was given up", answer.word) };
                            let id = asked.map_or(String::new(), |asked| asked.id);
                            record.line(&format!("client {number}: {id} answered {word}"));
                            *answers.lock().unwrap().entry(word).or_default() += 1;
                        }
                        Err(fault) => {
                            record.line(&format!("client {number}: connection ended, {fault}"));
                            let left = open.lock().unwrap().drain().map(|(_, asked)| (number, asked, Instant::now())).collect::<Vec<_>>();
                            unanswered.lock().unwrap().extend(left);
                            return;
                        }
                    }
                    if !ending.load(Ordering::Relaxed) {
                        ask();
                    }
                }
            })
        })
        .collect();
    sleep_ms(3000);
    let told_at = Instant::now();
    if trouble {
        dispatcher.signal(SIGTERM);
    }
    thread::sleep(INTAKE);
    ending.store(true, Ordering::Relaxed);
    let mut ended = None;
    while told_at.elapsed() < KILL_AFTER {
        sleep_ms(10);
        if ended.is_none() && let Some(status) = dispatcher.exited() {
            record.line(&format!("platform: n1 ended {} ms after SIGTERM, {status}", told_at.elapsed().as_millis()));
            ended = Some(status);
        }
    }
    if trouble && ended.is_none() {
        dispatcher.signal(SIGKILL);
    }
    clients.into_iter().for_each(|client| drop(client.join()));

    let (forwarded, mut broken) = (forwarded.lock().unwrap(), 0);
    for (client, Asked { id, is_firmware, at }, ended_at) in unanswered.lock().unwrap().iter() {
        let (waited, before) = (ended_at.duration_since(*at).as_millis(), told_at.saturating_duration_since(*at).as_millis());
        let in_time = waited < u128::from(FIRMWARE_MS);
        if *is_firmware && in_time && forwarded.contains(id) {
            broken += 1;
            record.line(&format!(
                "LOST: client {client}: {id}, forwarded, asked {before} ms before SIGTERM, has no whole answer as the \
                 connection ends {waited} ms after it was asked; its time is {FIRMWARE_MS} ms"
            ));
        } else {
            record.line(&format!("client {client}: {id} has no answer: not counted"));
        }
    }
    let answers = answers.lock().unwrap();
    record.say(&format!("answered {answers:?}; forwarded, not given up and without a whole answer: {broken}"));
    if answers.values().sum::<u64>() < 100 {
        return Err("too few requests were answered".into());
    }
    record.say(if broken > 0 { "BROKEN: requests that the dispatcher had taken were lost" } else { "HELD: no request was lost" });
    Ok(broken > 0)
}
