//! Case 9: some bad clients send hundreds of writes at once, and the memory of the dispatcher.

#[path = "../stage-2/stage.rs"]
mod stage;

use stage::*;
use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Within the limits that the platform may give: 32 to 192 MB, 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 64;
const SOCKETS: u32 = 512;
/// Bad clients: with the usual ones fewer than a third of the descriptors.
const BAD: usize = 100;
/// Writes that each of them sends at once.
const WRITES: usize = 300;
/// A write brings up to 48,000 bytes.
const WRITE_BYTES: usize = 48_000;
const USUAL: usize = 6;
/// The origin runs so many writes at once, each for so long; the others wait.
const ORIGIN_PLACES: usize = 80;
const ORIGIN_MS: u64 = 50;
const SECONDS: f64 = 10.0;

fn main() {
    run_case(case)
}

fn case(record: &Record, folder: &Path) -> CaseResult<bool> {
    let trouble = with_trouble();
    let agenda = Agenda::new();
    let body = Arc::new(vec![7; 20_000]);
    let places = Arc::new(Mutex::new(vec![Instant::now(); ORIGIN_PLACES]));
    let node = |id: &str, zone: &str, kind: &str, weight: u32| {
        let (body, places) = (body.clone(), places.clone());
        Node::start(id, zone, kind, weight, &agenda, move |fetch| {
            if fetch.field("lane") != "day-end-post" {
                let fields = format!("etag={:016x},made={},why=local", 0xabcd, unix_ms());
                return served(Duration::from_millis(5), &fields, &body);
            }
            // It runs at the origin, by whatever way it came.
            let (mut places, now) = (places.lock().unwrap(), Instant::now());
            let Some(place) = places.iter_mut().min() else { return Reply::Nothing };
            *place = (*place).max(now) + Duration::from_millis(ORIGIN_MS);
            answered(*place - now, "ok", "")
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

    let (stop, address) = (Arc::new(AtomicBool::new(false)), dispatcher.address);
    let answers: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let count = |answers: &Mutex<HashMap<String, u64>>, who: &str, word: &str| {
        *answers.lock().unwrap().entry(format!("{who} {word}")).or_default() += 1;
    };
    let lost = Arc::new(AtomicU64::new(0));
    let usual: Vec<_> = (0..USUAL)
        .map(|number| {
            let (stop, answers, lost, record) = (stop.clone(), answers.clone(), lost.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else { return };
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(8)));
                let mut asked = 0;
                while !stop.load(Ordering::Relaxed) {
                    asked += 1;
                    let (subject, write) = (fresh_id(), vec![b'w'; 2000]);
                    // One download in thirty is a settlement record.
                    let (content_type, body): (_, &[u8]) =
                        if asked % 30 == 0 { ("day-end-post", &write) } else { ("fare-table", b"") };
                    let request =
                        Request { content_type, timeout_ms: 3000, subject: &subject, need_kb: 100, family: 1, body };
                    let Ok((_, id)) = client.send(&request) else { return };
                    match client.receive() {
                        Ok(answer) => {
                            record.line(&format!("usual client {number}: {content_type} {id} answered {}", answer.word));
                            count(&answers, "usual", &answer.word);
                        }
                        Err(fault) => {
                            record.line(&format!("usual client {number}: {content_type} {id} has no answer: {fault}"));
                            lost.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                    }
                    sleep_ms(40);
                }
            })
        })
        .collect();
    sleep_ms(1500);
    if trouble {
        record.line(&format!("{BAD} bad clients send {WRITES} writes of {WRITE_BYTES} bytes each, and read what they are sent"));
    }
    for _ in 0..if trouble { BAD } else { 0 } {
        let (stop, answers) = (stop.clone(), answers.clone());
        thread::spawn(move || {
            let Ok(mut client) = Client::connect(address) else { return };
            let (payload, mut bytes) = (vec![b'x'; WRITE_BYTES], Vec::new());
            for _ in 0..WRITES {
                let subject = fresh_id();
                let request = Request {
                    content_type: "day-end-post",
                    timeout_ms: 3000,
                    subject: &subject,
                    need_kb: 300,
                    family: 1,
                    body: &payload,
                };
                client.encode(&request, &mut bytes);
            }
            let Ok(mut sender) = client.sender() else { return };
            thread::spawn(move || drop(sender.write_all(&bytes)));
            while !stop.load(Ordering::Relaxed) {
                let Ok(answer) = client.receive() else { return };
                count(&answers, "bad", &answer.word);
            }
        });
    }

    // The platform: over `memory_mb` the dispatcher is killed.
    let (mut peak, mut crashed, started, mut last) = (0, None, Instant::now(), 0);
    while started.elapsed().as_secs_f64() < SECONDS && crashed.is_none() {
        sleep_ms(5);
        if let Some(status) = dispatcher.exited() {
            crashed = Some(format!("it ended: {status}"));
        }
        let memory = dispatcher.memory().unwrap_or_default();
        peak = peak.max(memory);
        if started.elapsed().as_millis() / 100 > last {
            last = started.elapsed().as_millis() / 100;
            record.line(&format!("platform: {} MB of anonymous memory", memory / 1_048_576));
        }
        if memory > MEMORY_MB * 1_048_576 {
            dispatcher.signal(SIGKILL);
            let ms = started.elapsed().as_millis();
            let megabytes = memory / 1_048_576;
            crashed = Some(format!("killed by the platform after {ms} ms: {megabytes} MB of anonymous memory, the limit is {MEMORY_MB}"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    usual.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap();
    record.say(&format!("peak {} MB; answered {answers:?}; usual requests without an answer {}", peak / 1_048_576, lost.load(Ordering::Relaxed)));
    if answers.keys().all(|key| !key.starts_with("usual")) {
        return Err("no usual request was answered".into());
    }
    match &crashed {
        Some(how) => record.say(&format!("BROKEN: the dispatcher has crashed: {how}")),
        None => record.say("HELD: the dispatcher kept its limit of memory"),
    }
    Ok(crashed.is_some())
}
