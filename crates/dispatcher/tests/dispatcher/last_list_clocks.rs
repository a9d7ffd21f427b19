//! The last good list between two lives of a dispatcher whose wall clock was set meanwhile: see docs/clocks.md.

use crate::common::{CONFIG, Play, START_MS, request};
use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::external_time::ExternalTime;
use copperroute_dispatcher::node_list_snapshot::decode;
use copperroute_routing::interface::Nanos;
use copperroute_settings::operator::SnapshotSettings as Told;
use expect_test::expect;

const HOUR: i64 = 3_600_000;
const OBJECT: &str = "7f3a000000000000";
/// No older a list is taken.
const MOST_AGE_S: f64 = 600.0;
/// A purge is heard of so long after the first life began, which lasts so long; the second begins so long after its end.
const PURGED_AFTER_S: u64 = 13;
const LIVED_S: u64 = 16;
const AWAY_MS: u64 = 1_000;
/// What the module's clock shows at a start.
const EPOCH: Nanos = Nanos(86_400_000_000_000);

fn config() -> Config {
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.snapshot = Some(Told { folder: "unused".into(), most_age_s: MOST_AGE_S });
    config
}

/// The list that a life keeps whose wall clock is off by so much, and which hears answers or none; a purge is among it.
fn written(off_ms: i64, answers: bool) -> Vec<u8> {
    let mut play = Play::with_clock_off(config(), off_ms);
    for second in 0..LIVED_S {
        let outside_ms = START_MS + play.passed_ms();
        if second == PURGED_AFTER_S {
            let purge = format!(r#"{{"seq":2,"invalidate":{{"object":"{OBJECT}","time":{outside_ms}}}}}"#);
            play.log(1, &purge);
        }
        play.log(1, if second < PURGED_AFTER_S { "1" } else { "2" });
        if answers {
            let id = format!("{second:04x}");
            play.client(&request(second + 1, "image", &id, &format!(",block={second},need=10000")));
            play.node(&format!("{id} ok etag=4b00000000000000,made={outside_ms},why=local 4"));
        }
        play.pass(1_000);
    }
    play.kept.expect("a list is kept")
}

/// How a life takes it whose wall clock is off by so much; if it does, for how old copies it asks nodes at the most.
fn read(bytes: &[u8], off_ms: i64) -> String {
    let mut config = config();
    let start_ms = START_MS + LIVED_S * 1_000 + AWAY_MS;
    // As a start judges it.
    let mut outside = ExternalTime::new(Epoch::at(start_ms.saturating_add_signed(off_ms) * 1_000_000));
    config.known.results.iter().for_each(|change| outside.observe_event(EPOCH, change));
    let most_age_ms = (MOST_AGE_S * 1e3) as u64;
    match decode(bytes, outside.latest_ms(EPOCH), config.fingerprint(), most_age_ms, config.known.seq) {
        Err(why) => why,
        Ok((known, age_ms)) => {
            config.known = known;
            let lived_ms = (LIVED_S * 1_000 + AWAY_MS) as i64;
            let mut play = Play::with_clock_off(config, off_ms + lived_ms);
            // Before it has heard all, it asks for no copies from before its start, whatever it knows.
            play.log(1, "2");
            play.pass(1_000);
            play.log(1, "2");
            let [purged, other] = [OBJECT, "0123456789abcdef"].map(|object| oldest_wanted(&mut play, object));
            let event = play.applied();
            format!(
                "taken, {age_ms} ms old, event {event}; copies of {purged} ms at the most, of others {other}"
            )
        }
    }
}

/// How old copies of an object a node is asked for at the most.
fn oldest_wanted(play: &mut Play, object: &str) -> String {
    play.take();
    let tag = if object == OBJECT { 1 } else { 2 };
    let asked = String::from_utf8(request(tag, "image", &object[..4], "")).expect("text");
    play.client(asked.replace(&format!("subject={OBJECT}"), &format!("subject={object}")).as_bytes());
    let asked = play.take();
    assert!(asked.contains("<- fetch"), "{asked}");
    let most = asked.split("maxage=").nth(1).and_then(|rest| rest.split([',', ' ']).next());
    most.unwrap_or("any").to_owned()
}

#[test]
fn a_clock_that_was_set_between_two_lives_makes_no_list_younger_and_no_purge_forgotten() {
    let mut table = String::new();
    for answers in [true, false] {
        for (writer, reader) in [(0, 0), (HOUR, 0), (-HOUR, 0), (0, HOUR), (0, -HOUR), (HOUR, HOUR)] {
            let said = read(&written(writer, answers), reader);
            let hours = [writer / HOUR, reader / HOUR];
            table += &format!("answers {answers}, {hours:?} h: {said}\n");
        }
    }
    // 3,750 ms are true. What a life writes whose clock is off is dated by what others told it, up to 1 s late; one that
    // reads while its clock is off drops the list. A purge of the list acts, no older than it is: 5 s.
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
