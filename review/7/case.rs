//! Case 7: clients that say nothing connect by hundreds, while usual clients read answers that the dispatcher has handed
//! to its socket.

#[path = "../stage-2/stage.rs"]
mod stage;

use stage::*;
use std::collections::HashMap;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 256;
/// Usual clients: far fewer than a third of the descriptors.
const CLIENTS: usize = 12;
/// Requests that each keeps open, of the 32 that it may.
const OPEN: usize = 6;
/// Bytes a second that a client is sent: the lowest pace of site depot-fare-net.
const PACE: f64 = 2_100_000.0;
const OBJECT_BYTES: usize = 240_000;
const TIMEOUT_MS: u64 = 5000;
/// Clients that connect and say nothing.
const CROWD: usize = 200;

struct Lost {
    client: usize,
    id: String,
    asked_at: Instant,
    ended_at: Instant,
}

fn main() {
    run_case(case)
}

fn case(record: &Record, folder: &Path) -> CaseResult<bool> {
    let trouble = with_trouble();
    let agenda = Agenda::new();
    let body = Arc::new((0..OBJECT_BYTES).map(|at| (at * 7 % 251) as u8).collect::<Vec<_>>());
    // When the nodes were sent each request.
    let forwarded: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let node = |id: &str, zone: &str, kind: &str, weight: u32| {
        let (body, forwarded) = (body.clone(), forwarded.clone());
        Node::start(id, zone, kind, weight, &agenda, move |fetch| {
            forwarded.lock().unwrap().insert(fetch.id.clone(), Instant::now());
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
    record.line(&format!(
        "{CLIENTS} clients keep {OPEN} requests open each, for objects of {OBJECT_BYTES} bytes; each is sent {PACE} bytes a second"
    ));

    let (stop, address) = (Arc::new(AtomicBool::new(false)), dispatcher.address);
    let answers: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let lost: Arc<Mutex<Vec<Lost>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, answers, lost, record) = (stop.clone(), answers.clone(), lost.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::connect(address) else {
                        sleep_ms(50);
                        continue;
                    };
                    client.pace = Pace::new(PACE);
                    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(8)));
                    let mut open: HashMap<u64, (String, Instant)> = HashMap::new();
                    let ask = |client: &mut Client, open: &mut HashMap<u64, (String, Instant)>| {
                        let subject = fresh_id();
                        let request = Request {
                            content_type: "firmware-image",
                            timeout_ms: TIMEOUT_MS,
                            subject: &subject,
                            need_kb: 1500,
                            family: 1,
                            body: b"",
                        };
                        if let Ok((tag, id)) = client.send(&request) {
                            open.insert(tag, (id, Instant::now()));
                        }
                    };
                    for _ in 0..OPEN {
                        ask(&mut client, &mut open);
                    }
                    while !open.is_empty() {
                        match client.receive() {
                            Ok(answer) => {
                                let (id, _) = open.remove(&answer.tag).unwrap_or_else(|| (String::new(), Instant::now()));
                                record.line(&format!("client {number}: {id} answered {}", answer.word));
                                *answers.lock().unwrap().entry(answer.word).or_default() += 1;
                            }
                            Err(fault) => {
                                record.line(&format!("client {number}: connection ended, {fault}"));
                                let ended_at = Instant::now();
                                let ended = open.drain().map(|(_, (id, asked_at))| Lost { client: number, id, asked_at, ended_at });
                                lost.lock().unwrap().extend(ended);
                            }
                        }
                        if !stop.load(Ordering::Relaxed) && !open.is_empty() {
                            ask(&mut client, &mut open);
                        }
                    }
                }
            })
        })
        .collect();
    sleep_ms(3000);
    let mut crowd = Vec::new();
    if trouble {
        record.line(&format!("{CROWD} clients connect and say nothing"));
        crowd.extend((0..CROWD).filter_map(|_| TcpStream::connect(address).ok()));
    }
    sleep_ms(4000);
    drop(crowd);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = dispatcher.exited() {
        return Err(format!("the dispatcher ended: {status}"));
    }

    // A request that the dispatcher did not forward may have crossed the end of the connection: it is not counted.
    let forwarded = forwarded.lock().unwrap();
    let mut broken = 0;
    for Lost { client, id, asked_at, ended_at } in lost.lock().unwrap().iter() {
        let asked_ms = ended_at.duration_since(*asked_at).as_millis();
        match forwarded.get(id) {
            Some(at) => {
                broken += 1;
                let forwarded_ms = ended_at.saturating_duration_since(*at).as_millis();
                record.line(&format!(
                    "LOST: client {client}: {id}, asked {asked_ms} ms and forwarded {forwarded_ms} ms before the connection \
                     ended, has no whole answer"
                ));
            }
            None => record.line(&format!("client {client}: {id}, asked {asked_ms} ms before the end, was not forwarded: not counted")),
        }
    }
    let answers = answers.lock().unwrap();
    record.say(&format!("answered {answers:?}; forwarded and without a whole answer: {broken}"));
    if answers.values().sum::<u64>() < 100 {
        return Err("too few requests were answered".into());
    }
    record.say(if broken > 0 { "BROKEN: requests that the dispatcher had forwarded were lost" } else { "HELD: no request was lost" });
    Ok(broken > 0)
}
