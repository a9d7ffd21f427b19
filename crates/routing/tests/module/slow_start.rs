//! Slow start of cold nodes: work sent by one dispatcher and by hundreds together. Also the mean work of content
//! types and the limits on fetches from the origin.

use crate::common::*;
use copperroute_routing::fleet::origin_limiter::OriginLimiter;
use copperroute_routing::fleet::slow_start::{Rate, TokenBucket, keep_one_cold};
use copperroute_routing::interface::*;
use copperroute_routing::state::ContentTypeStats;
use copperroute_routing::structures::random::Random;
use expect_test::expect;
use proptest::prelude::*;

const WINDOW: Nanos = Nanos(3_000_000_000);

/// The rate for a node of this capacity, if rule 4 allows 2.5 times as much.
fn rate(bearable: f64, sharers: u32) -> Rate {
    Rate::new(bearable, 2.5, WINDOW, sharers)
}

/// Work in seconds that these dispatchers send in a minute to a cold node of capacity 2.4, if each gets a request
/// every `every_ms`.
fn work_sent_by(dispatchers: u32, every_ms: u64, work_s: f64) -> f64 {
    let mut chance = Random::new(u64::from(dispatchers));
    let mut sent = 0.0;
    for _ in 0..dispatchers {
        let mut bucket = TokenBucket::default();
        let mut at = (chance.next_f64() * every_ms as f64) as u64;
        while at < 60_000 {
            let send = bucket.spend(ms(1 + at), &rate(2.4, dispatchers), work_s);
            sent += if chance.next_f64() < send { work_s } else { 0.0 };
            at += (every_ms as f64 * (0.5 + chance.next_f64())) as u64;
        }
    }
    sent
}

#[test]
fn slow_start_sum_does_not_grow_with_the_number_of_dispatchers() {
    // The node can do 144 s of work. The total load does not depend on the number of dispatchers.
    let sent = [1, 10, 100, 300, 1_000].map(|dispatchers| {
        let high_load = work_sent_by(dispatchers, u64::from(dispatchers) * 20, 0.12);
        let low_load = work_sent_by(dispatchers, u64::from(dispatchers) * 50, 0.12);
        format!(
            "{dispatchers}: {:.2} of capacity at high load, {:.2} at low load\n",
            high_load / 144.0,
            low_load / 144.0
        )
    });
    expect![[r#"
        1: 1.04 of capacity at high load, 1.01 at low load
        10: 1.00 of capacity at high load, 0.98 at low load
        100: 0.99 of capacity at high load, 0.49 at low load
        300: 0.42 of capacity at high load, 0.15 at low load
        1000: 0.11 of capacity at high load, 0.02 at low load
    "#]]
    .assert_eq(&sent.concat());
}

proptest! {
    #[test]
    fn token_bucket_spends_no_more_than_has_accrued(
        gaps in prop::collection::vec((0_u64..4_000, 1_u64..1_500), 1..200), sharers in 1_u32..500, bearable in 0.05_f64..30.0,
    ) {
        let mut bucket = TokenBucket::default();
        let (mut now, mut spent) = (ms(5_000), 0.0);
        let share = bearable / f64::from(sharers);
        for (gap, work_ms) in gaps {
            now = now.after(ms(gap));
            let work_s = work_ms as f64 / 1e3;
            let chance = bucket.spend(now, &rate(bearable, sharers), work_s);
            prop_assert!((0.0..=1.0).contains(&chance));
            prop_assert!(chance == 0.0 || work_s <= 0.25 * bearable * WINDOW.secs());
            spent += chance * work_s;
            prop_assert!(spent <= share * (1.0 + now.since(ms(5_000)).secs()) + 1e-9);
        }
    }
}

#[test]
fn only_the_first_cold_cache_is_kept() {
    let mut caches = vec![(1, true), (2, false), (3, true), (4, false)];
    keep_one_cold(&mut caches, |cache| cache.1);
    assert_eq!(caches, [(1, true), (2, false), (4, false)]);
}

/// A dispatcher of a location with ten dispatchers, whose caches have all just started.
fn all_cold(now: Nanos) -> (copperroute_routing::policy::Dispatcher, Trace) {
    let mut s = settings();
    (s.dispatchers, s.zone_dispatchers) = (10, 10);
    let (mut module, mut trace) = start(s);
    let cold = [0, 1, 2].map(|id| entry(id, 0, Readiness::Ready, now));
    module.nodes_changed(now, &cold, &mut trace);
    (module, trace)
}

#[test]
fn with_all_caches_cold_a_copy_has_one_cache_and_none_is_bypassed() {
    let (mut module, mut trace) = all_cold(ms(60_000));
    for at in 0..300 {
        let now = ms(60_000 + at * 40);
        ask(&mut module, now, at as u32, 0, 1, &mut trace);
        module.attempt_ended(
            now,
            RequestId(at as u32),
            0,
            &end(Outcome::Served, Remark::FilledFromCopy),
            &mut trace,
        );
    }
    let mut nodes: Vec<_> = trace
        .0
        .lines()
        .filter(|line| line.contains("attempt"))
        .map(|line| {
            let node = line.split("attempt ").nth(1).unwrap_or_default();
            node.split(" from").next().unwrap_or_default().to_string()
        })
        .collect();
    assert!(nodes.len() > 3, "{}", trace.0);
    nodes.dedup();
    assert_eq!(nodes, ["1"], "only the first cache of the copy");
    assert!(trace.0.contains("rejected, retry-after"));
}

#[test]
fn mean_work_is_a_plain_mean_then_a_moving_average() {
    let mut row = ContentTypeStats::new(&settings().content_types[0], 0.3);
    row.record_answer(None);
    assert_eq!(row.mean_work_s, 0.3);
    [0.04, 0.08, 0.06].into_iter().for_each(|work_s| row.record_answer(Some(work_s)));
    assert!((row.mean_work_s - 0.06).abs() < 1e-9);
    (0..1_000).for_each(|_| row.record_answer(Some(0.2)));
    row.record_answer(Some(0.7));
    assert!((row.mean_work_s - 0.21).abs() < 1e-3, "{}", row.mean_work_s);
}

/// Six fills get no answer; their overdue timers fire or not. Returns how many of the next thirty fills, each of
/// which a parent answers at once, were allowed to fetch from the origin.
fn fetches_after_silent_fills(fire_timers: bool) -> usize {
    let (mut module, mut trace) = start(settings());
    for request_id in 0..6 {
        ask(&mut module, ms(10_000), request_id, 0, request_id + 1, &mut trace);
        miss(&mut module, ms(10_001), request_id, &mut trace);
    }
    if fire_timers {
        for (_, token) in std::mem::take(&mut trace.1) {
            module.timer(ms(11_000), token, &mut trace);
        }
    }
    trace.0.clear();
    for request_id in 6..36 {
        let now = 11_000 + u64::from(request_id) * 10;
        ask(&mut module, ms(now), request_id, 0, request_id + 1, &mut trace);
        miss(&mut module, ms(now + 1), request_id, &mut trace);
        let filled = end(Outcome::Served, Remark::FilledFromCopy);
        module.attempt_ended(ms(now + 5), RequestId(request_id), 1, &filled, &mut trace);
    }
    let fills = trace.0.lines().filter(|line| line.contains("from 3") || line.contains("from 4"));
    fills.filter(|line| !line.contains("held-only")).count()
}

#[test]
fn overdue_fills_limit_the_origin_before_they_end() {
    let [without_timers, with_timers] = [false, true].map(fetches_after_silent_fills);
    assert!(
        without_timers >= 10 && with_timers * 3 <= without_timers,
        "{without_timers} without overdue timers, {with_timers} with them"
    );
}

#[test]
fn late_fill_no_longer_counts_as_overdue() {
    let mut origin = OriginLimiter::new();
    assert_eq!(origin.allowed_share(ms(1_000)), 1.0);
    (0..4).for_each(|_| origin.fetch_overdue(ms(1_000)));
    let overdue = origin.allowed_share(ms(1_100));
    assert!(overdue < 0.3, "{overdue}");
    for _ in 0..4 {
        origin.overdue_ended(ms(1_200));
        origin.fetch_answered(ms(1_200), 0.05, 0.8);
    }
    assert_eq!(origin.allowed_share(ms(1_200)), 1.0);
    // An overdue fill is forgotten after two seconds; if it ends later, the count does not become negative.
    origin.fetch_overdue(ms(1_300));
    origin.overdue_ended(ms(3_900));
    assert_eq!(origin.allowed_share(ms(4_000)), 1.0);
}

/// Records retry-after times and ignores all other actions.
#[derive(Default)]
struct RetryAfterTimes(Vec<Nanos>);

impl Actions for RetryAfterTimes {
    fn attempt(&mut self, _request_id: RequestId, _attempt: &Attempt) {}
    fn cancel(&mut self, _request_id: RequestId, _number: u32) {}
    fn reject(&mut self, _request_id: RequestId, retry_after: Option<Nanos>) {
        self.0.extend(retry_after);
    }
    fn fail(&mut self, _request_id: RequestId) {}
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _line: &str) {}
    fn release(&mut self, _request_id: RequestId) {}
    fn release_object(&mut self, _object: ObjectId) {}
}

#[test]
fn retry_after_follows_the_token_bucket_of_a_cold_cache() {
    let told = |dispatchers| {
        let mut s = settings();
        (s.dispatchers, s.zone_dispatchers) = (dispatchers, dispatchers);
        let (mut module, _) = start(s);
        let mut told = RetryAfterTimes::default();
        let cold = [0, 1, 2].map(|id| entry(id, 0, Readiness::Ready, ms(60_000)));
        module.nodes_changed(ms(60_000), &cold, &mut told);
        let asked = |at: u32| RoutingRequest {
            request_id: RequestId(at),
            content_type: TypeId(0),
            object: ObjectId(1),
            copy_hash: 1,
            object_hash: 1,
            group: None,
            deadline: ms(70_000),
            is_retry: false,
            size_kb: Some(1_000.0),
            client: 0,
            body_hash: 0,
        };
        (0..40).for_each(|at| module.request_arrived(ms(60_000 + u64::from(at) * 10), &asked(at), &mut told));
        told.0.iter().map(|wait| wait.secs()).sum::<f64>() / told.0.len() as f64
    };
    let [few, many] = [2, 100].map(told);
    // The longest retry-after in these settings is 2 s.
    assert!(few < 0.5 && many > 1.5, "{few:.2} s of a few, {many:.2} s of many");
}

#[test]
fn first_request_is_rated_by_its_known_size() {
    // The bucket holds 0.12 s of work after a second and the request needs 0.1 s, so it is certain to be sent if it
    // is rated by its own size.
    let sent = (0..40).filter(|seed| {
        let mut s = settings();
        (s.seed, s.dispatchers, s.zone_dispatchers) = (*seed, 20, 20);
        let (mut module, mut trace) = start(s);
        let cold = [0, 1, 2].map(|id| entry(id, 0, Readiness::Ready, ms(9_000)));
        module.nodes_changed(ms(10_000), &cold, &mut trace);
        ask(&mut module, ms(10_000), 0, 0, 1, &mut trace);
        trace.0.contains("attempt")
    });
    assert_eq!(sent.count(), 40);
}
