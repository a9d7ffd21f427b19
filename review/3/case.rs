//! A dispatcher is restarted and then hears of no fresh copy for a while. Copies of its own must still not be served
//! past the fresh time of their class.
#[path = "../lib/stage.rs"]
mod stage;
use stage::*;
include!("../lib/gujarat.rs");

const FRESH_MS: u64 = 8_000;
/// Each time limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;

fn main() {
    let stage = Stage::new("3");
    let record = stage.record.clone();
    let world = World::start(&record, &HOSTS, &[]);
    world.set_fresh("data-files", FRESH_MS, 0);
    world.report_in_answers("inflight:2;x1:0.2;x0:0.6");
    let log = ChangeLog::start(first_event(&world));
    let command = stage.run_command();
    record.line(&format!("command: {command}"));
    let mut first = Dispatcher::new(&stage, "n0", &command);
    let mut second = Dispatcher::new(&stage, "n1", &command);
    for dispatcher in [&mut first, &mut second] {
        let listen = dispatcher.listen.to_string();
        let changelog = log.address.to_string();
        let text = config(&dispatcher.name, &listen, &changelog, &log.known(), 2, FRESH_MS as f64 / 1e3, &new_id());
        dispatcher.start(&text);
    }
    sleep_ms(1_500);
    // A video that no cache holds: the origin gives it out now.
    let mut client = Client::connect(first.listen).expect("client");
    ask(&record, &mut client, "client of n0", "video-segments", "00000000000000e1");
    sleep_ms(500);
    if stage.trouble {
        record.line("planned restart of n0");
        drop(client);
        first.signal(TERM);
        first.wait();
        let listen = first.listen.to_string();
        let changelog = log.address.to_string();
        let text = config("n0", &listen, &changelog, &log.known(), 2, FRESH_MS as f64 / 1e3, &new_id());
        first.start(&text);
    }
    // A video that is good until it is purged and that all caches have held for 100 s.
    let held = "00000000000000e2";
    let copy = world.make(held, "0", unix_ms() - 100_000);
    for cache in ["s-1", "s-2", "s-3"] {
        world.put(cache, held, "0", copy.clone());
    }
    let mut client = Client::connect(first.listen).expect("client");
    ask(&record, &mut client, "client of n0", "video-segments", held);
    drop(client);
    sleep_ms(11_000);
    // Other clients of the location ask n1 for a data file; caches and parents then hold it.
    let object = "00000000000000d2";
    let mut other = Client::connect(second.listen).expect("client");
    for _ in 0..3 {
        ask(&record, &mut other, "client of n1", "data-files", object);
        sleep_ms(200);
    }
    sleep_ms(4_000);
    // Clients of n0 ask for the same data file from here on, each second.
    let (mut worst, mut late, mut asked) = (0, 0, 0);
    let mut client = Client::connect(first.listen).expect("client");
    for turn in 0..14 {
        let age = ask(&record, &mut client, "client of n0", "data-files", object);
        asked += 1;
        if let Some(age) = age {
            worst = worst.max(age);
            late += u32::from(age > FRESH_MS + SLACK_MS);
        }
        sleep_ms(if turn < 3 { 250 } else { 1_000 });
    }
    if !first.is_running() || !second.is_running() {
        give_up("a dispatcher has ended");
    }
    let why = format!("{late} of {asked} answers with a copy older than {FRESH_MS} ms, the oldest {worst} ms");
    stage.end(late > 0, &why)
}
