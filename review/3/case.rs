//! A new configuration shortens the fresh time of a class. Copies of the dispatcher's own must not be served past it.
#[path = "../lib/stage.rs"]
mod stage;
use stage::*;
include!("../lib/gujarat.rs");

/// The fresh time of `data-files` before and after, in milliseconds.
const BEFORE_MS: u64 = 30_000;
const AFTER_MS: u64 = 8_000;
/// Each time limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;

fn main() {
    let stage = Stage::new("3");
    let record = stage.record.clone();
    let world = World::start(&record, &HOSTS, &[]);
    world.set_fresh("data-files", BEFORE_MS, 0);
    let log = ChangeLog::start(first_event(&world));
    let command = stage.run_command();
    record.line(&format!("command: {command}"));
    let mut dispatcher = Dispatcher::new(&stage, "n0", &command);
    let text = |fresh_ms: u64| {
        let listen = dispatcher.listen.to_string();
        config("n0", &listen, &log.address.to_string(), &log.known(), 1, fresh_ms as f64 / 1e3)
    };
    let (before, after) = (text(BEFORE_MS), text(AFTER_MS));
    dispatcher.start(&before);
    sleep_ms(1_500);
    let object = "00000000000000d1";
    let mut client = Client::connect(dispatcher.listen).expect("client");
    for _ in 0..4 {
        ask(&record, &mut client, "client", "data-files", object);
        sleep_ms(300);
    }
    let limit = if stage.trouble {
        record.line("new configuration: data-files are fresh for 8 s instead of 30 s; SIGHUP");
        dispatcher.write_config(&after);
        world.set_fresh("data-files", AFTER_MS, 0);
        dispatcher.signal(HUP);
        AFTER_MS
    } else {
        BEFORE_MS
    };
    // From 4 s after SIGHUP on the new fresh time holds.
    sleep_ms(4_000);
    let (mut worst, mut late, mut asked) = (0, 0, 0);
    for _ in 0..30 {
        // Clients close idle connections after 4 s and open new ones.
        let age = ask(&record, &mut client, "client", "data-files", object);
        asked += 1;
        if let Some(age) = age {
            worst = worst.max(age);
            late += u32::from(age > limit + SLACK_MS);
        }
        sleep_ms(1_000);
    }
    if !dispatcher.is_running() {
        give_up("the dispatcher has ended");
    }
    let why = format!("{late} of {asked} answers with a copy older than {limit} ms, the oldest {worst} ms");
    stage.end(late > 0, &why)
}
