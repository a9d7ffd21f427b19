//! Copies of the local cache whose content type is fresh for a time, of whatever age they arrive and whatever the wall
//! clock shows: reducer traces beside a node that keeps a copy until it is too old.

use crate::common::{CONFIG, Play, START_MS, request};
use copperroute_dispatcher::config::Config;
use proptest::prelude::*;

const FRESH_MS: u64 = 8_000;
/// Idle clients are closed soon after this.
const MAX_PAUSE_MS: u64 = 7_500;
/// Errors of the wall clock in milliseconds.
const CLOCK_ERRORS_MS: [i64; 7] = [0, 700, -700, 5_000, -5_000, 3_600_000, -3_600_000];

/// A dispatcher that has just started, and a node with a copy of one object.
struct Scenario {
    play: Play,
    /// When the node's copy was made.
    made_ms: u64,
    requests: u64,
    served_locally: u64,
    oldest_ms: u64,
}

impl Scenario {
    fn new(clock_error_ms: i64, copy_age_ms: u64, reports_sources: bool) -> Scenario {
        let mut text = CONFIG.replace("\"fresh_for_s\": [0.0, 0.0]", "\"fresh_for_s\": [8.0, 0.0]");
        if !reports_sources {
            text = text.replace("\"detail\": \"all\"", "\"detail\": \"hit\"");
        }
        let config = Config::parse(&text).expect("a valid configuration");
        let mut play =
            Play::with_clock_off(Config { copy_memory_bytes: 1_000_000, ..config }, clock_error_ms);
        play.beats(1, 1);
        let (requests, served_locally, oldest_ms) = Default::default();
        Scenario { play, made_ms: START_MS - copy_age_ms, requests, served_locally, oldest_ms }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.play.passed_ms()
    }

    /// A client requests the object; the node answers if it is asked, after `answers_after_ms`.
    fn request(&mut self, answers_after_ms: u64) {
        self.requests += 1;
        let id = format!("{:04x}", self.requests);
        self.play.take();
        let written_ms = self.now_ms();
        self.play.client(&request(self.requests, "image", &id, ",need=10000"));
        let trace = self.play.take();
        if !trace.contains("fetch") {
            assert!(trace.contains("$2 OK"), "{trace}");
            self.served_locally += 1;
            self.oldest_ms = self.oldest_ms.max(written_ms - self.made_ms);
            return;
        }
        self.play.pass(answers_after_ms);
        let is_old = self.now_ms() - self.made_ms > FRESH_MS;
        if is_old {
            self.made_ms = self.now_ms();
        }
        let why = if is_old { "pulled_far" } else { "local" };
        self.play.node(&format!("{id} ok etag=4b00000000000000,made={},why={why} 4", self.made_ms));
    }
}

/// Guards against own copies served too old: after a start nothing but copies of some age had told the time, and they
/// were taken for the present.
#[test]
fn no_copy_is_served_past_its_fresh_time_after_a_start() {
    for clock_error_ms in CLOCK_ERRORS_MS {
        for copy_age_ms in [0, 500, 2_000, 4_600, 7_900] {
            let mut scenario = Scenario::new(clock_error_ms, copy_age_ms, true);
            for _ in 0..160 {
                scenario.request(20);
                scenario.play.pass(250);
            }
            let (oldest_ms, local) = (scenario.oldest_ms, scenario.served_locally);
            assert!(
                oldest_ms <= FRESH_MS,
                "clock {clock_error_ms} ms off, {copy_age_ms} ms old: {oldest_ms} ms"
            );
            // Once the origin has given out a copy, own copies are served, whatever the wall clock shows.
            assert!(local >= 100, "clock {clock_error_ms} ms off, {copy_age_ms} ms old: {local} of 160");
        }
    }
}

/// Where answers do not tell that the origin was asked, own copies are still served, by the local clock.
#[test]
fn without_reported_sources_the_local_clock_decides() {
    for copy_age_ms in [0, 2_000, 4_600] {
        let mut scenario = Scenario::new(0, copy_age_ms, false);
        for _ in 0..160 {
            scenario.request(20);
            scenario.play.pass(250);
        }
        assert!(scenario.oldest_ms <= FRESH_MS, "{copy_age_ms} ms old: {} ms", scenario.oldest_ms);
        assert!(scenario.served_locally >= 100, "{} of 160", scenario.served_locally);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The same with drawn ages, clocks, pauses and delays of answers.
    #[test]
    fn no_copy_is_served_past_its_fresh_time(
        clock_error_ms in prop_oneof![Just(0), -10_000_i64..10_000, -4_000_000_i64..4_000_000],
        copy_age_ms in 0..FRESH_MS,
        steps in prop::collection::vec((0..400_u64, prop_oneof![0..600_u64, 0..MAX_PAUSE_MS]), 1..80),
    ) {
        let mut scenario = Scenario::new(clock_error_ms, copy_age_ms, true);
        for (answers_after_ms, pause_ms) in steps {
            scenario.request(answers_after_ms);
            scenario.play.pass(pause_ms);
        }
        prop_assert!(scenario.oldest_ms <= FRESH_MS, "{} ms", scenario.oldest_ms);
    }
}
