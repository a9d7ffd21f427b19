//! The node list snapshot across a restart of a dispatcher whose wall clock was changed in between: see
//! docs/clocks.md.

use crate::common::{CONFIG, Play, START_MS, request};
use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::external_time::ExternalTime;
use copperroute_dispatcher::node_list_snapshot::decode;
use copperroute_routing::interface::Nanos;
use copperroute_settings::operator::SnapshotSettings;
use expect_test::expect;

const HOUR: i64 = 3_600_000;
const PURGED_OBJECT: &str = "7f3a000000000000";
/// A snapshot older than this is refused.
const MAX_AGE_S: f64 = 600.0;
/// Time from the start of the first run to a purge.
const PURGED_AFTER_S: u64 = 13;
/// Length of the first run.
const FIRST_RUN_S: u64 = 16;
/// Pause before the second run.
const PAUSE_MS: u64 = 1_000;
/// The module's monotonic clock at a start.
const EPOCH: Nanos = Nanos(86_400_000_000_000);

fn config() -> Config {
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.snapshot = Some(SnapshotSettings { folder: "unused".into(), most_age_s: MAX_AGE_S });
    config
}

/// The snapshot, which includes a purge, of a run whose wall clock is off by `off_ms` and that receives answers or
/// none.
fn snapshot_of_run(off_ms: i64, answers: bool) -> Vec<u8> {
    let mut play = Play::with_clock_off(config(), off_ms);
    for second in 0..FIRST_RUN_S {
        let now_ms = START_MS + play.passed_ms();
        if second == PURGED_AFTER_S {
            let purge = format!(r#"{{"seq":2,"invalidate":{{"object":"{PURGED_OBJECT}","time":{now_ms}}}}}"#);
            play.log(1, &purge);
        }
        play.log(1, if second < PURGED_AFTER_S { "1" } else { "2" });
        if answers {
            let id = format!("{second:04x}");
            play.client(&request(second + 1, "image", &id, &format!(",block={second},need=10000")));
            play.node(&format!("{id} ok etag=4b00000000000000,made={now_ms},why=local 4"));
        }
        play.pass(1_000);
    }
    play.kept.expect("a snapshot is saved")
}

/// Whether a run whose wall clock is off by `off_ms` loads the snapshot, and the oldest copies it then asks nodes
/// for.
fn load_result(bytes: &[u8], off_ms: i64) -> String {
    let mut config = config();
    let start_ms = START_MS + FIRST_RUN_S * 1_000 + PAUSE_MS;
    // Checked as at a start of the program.
    let mut external = ExternalTime::new(Epoch::at(start_ms.saturating_add_signed(off_ms) * 1_000_000));
    config.known.results.iter().for_each(|change| external.observe_event(EPOCH, change));
    let max_age_ms = (MAX_AGE_S * 1e3) as u64;
    let unix_ms = external.latest_by_local_clock_ms(EPOCH);
    match decode(bytes, unix_ms, config.fingerprint(), max_age_ms, config.known.seq) {
        Err(why) => why,
        Ok((known, age_ms)) => {
            config.known = known;
            let elapsed_ms = (FIRST_RUN_S * 1_000 + PAUSE_MS) as i64;
            let mut play = Play::with_clock_off(config, off_ms + elapsed_ms);
            // Until it has received all changes it asks for no copies older than its start, whatever the snapshot
            // says.
            play.log(1, "2");
            play.pass(1_000);
            play.log(1, "2");
            let [purged, other] =
                [PURGED_OBJECT, "0123456789abcdef"].map(|object| max_copy_age(&mut play, object));
            let event = play.applied();
            format!(
                "taken, {age_ms} ms old, event {event}; copies of {purged} ms at the most, of others {other}"
            )
        }
    }
}

/// The oldest copy of an object that a node is asked for, in milliseconds.
fn max_copy_age(play: &mut Play, object: &str) -> String {
    play.take();
    let tag = if object == PURGED_OBJECT { 1 } else { 2 };
    let asked = String::from_utf8(request(tag, "image", &object[..4], "")).expect("text");
    play.client(asked.replace(&format!("subject={PURGED_OBJECT}"), &format!("subject={object}")).as_bytes());
    let asked = play.take();
    assert!(asked.contains("<- fetch"), "{asked}");
    let most = asked.split("maxage=").nth(1).and_then(|rest| rest.split([',', ' ']).next());
    most.unwrap_or("any").to_owned()
}

#[test]
fn a_clock_change_between_runs_makes_no_snapshot_younger_and_loses_no_purge() {
    let mut table = String::new();
    for answers in [true, false] {
        for (writer, reader) in [(0, 0), (HOUR, 0), (-HOUR, 0), (0, HOUR), (0, -HOUR), (HOUR, HOUR)] {
            let result = load_result(&snapshot_of_run(writer, answers), reader);
            let hours = [writer / HOUR, reader / HOUR];
            table += &format!("answers {answers}, {hours:?} h: {result}\n");
        }
    }
    // The true age is 3,750 ms. A run with a wrong clock dates its snapshot by times received from others, at most
    // a second late; a run that loads with a wrong clock drops the snapshot. A purge in the snapshot still
    // applies, at most at its true age of 5 s.
    expect![[r#"
        answers true, [0, 0] h: taken, 3750 ms old, event 2; copies of 1000 ms at the most, of others any
        answers true, [1, 0] h: taken, 2750 ms old, event 2; copies of 1000 ms at the most, of others any
        answers true, [-1, 0] h: taken, 3750 ms old, event 2; copies of 1000 ms at the most, of others any
        answers true, [0, 1] h: 3603 s old; expected at most 600 s
        answers true, [0, -1] h: from the future, 3596250 ms ahead of the clock
        answers true, [1, 1] h: 3602 s old; expected at most 600 s
        answers false, [0, 0] h: taken, 3750 ms old, event 2; copies of 1000 ms at the most, of others any
        answers false, [1, 0] h: from the future, 3596250 ms ahead of the clock
        answers false, [-1, 0] h: taken, 3750 ms old, event 2; copies of 1000 ms at the most, of others any
        answers false, [0, 1] h: 3603 s old; expected at most 600 s
        answers false, [0, -1] h: from the future, 3596250 ms ahead of the clock
        answers false, [1, 1] h: taken, 3750 ms old, event 2; copies of 1000 ms at the most, of others any
    "#]]
    .assert_eq(&table);
}
