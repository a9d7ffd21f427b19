//! What cold nodes are sent: by one dispatcher, and by the sum of hundreds.

use crate::common::*;
use copperroute_routing::fleet::origin_limiter::OriginLimiter;
use copperroute_routing::fleet::slow_start::{Rate, TokenBucket, keep_one_cold};
use copperroute_routing::interface::*;
use copperroute_routing::state::ContentTypeStats;
use copperroute_routing::structures::random::Random;
use expect_test::expect;
use proptest::prelude::*;

const WINDOW: Nanos = Nanos(3_000_000_000);

/// What a node bears of which the rule bears two and a half times as much.
fn room(bearable: f64, sharers: u32) -> Rate {
    Rate::new(bearable, 2.5, WINDOW, sharers)
}

/// Work that so many dispatchers send a cold node that can do 2.4 s of it a second, each asked so often, in a minute.
fn sent_by(dispatchers: u32, every_ms: u64, work_s: f64) -> f64 {
    let mut chance = Random::new(u64::from(dispatchers));
    let mut sent = 0.0;
    for _ in 0..dispatchers {
        let mut bucket = TokenBucket::default();
        let mut at = (chance.next_f64() * every_ms as f64) as u64;
        while at < 60_000 {
            let send = bucket.spend(ms(1 + at), &room(2.4, dispatchers), work_s);
            sent += if chance.next_f64() < send { work_s } else { 0.0 };
            at += (every_ms as f64 * (0.5 + chance.next_f64())) as u64;
        }
    }
    sent
}

#[test]
fn however_many_share_a_cold_node_they_send_it_what_it_can_do() {
    // 144 s of work can be done; the same is asked for however many ask.
    let sent = [1, 10, 100, 300, 1_000].map(|dispatchers| {
        let busy = sent_by(dispatchers, u64::from(dispatchers) * 20, 0.12);
        let thin = sent_by(dispatchers, u64::from(dispatchers) * 50, 0.12);
        format!("{dispatchers}: {:.2} of it, {:.2} where it just suffices\n", busy / 144.0, thin / 144.0)
    });
    expect![[r#"
        1: 1.04 of it, 1.01 where it just suffices
        10: 1.00 of it, 0.98 where it just suffices
        100: 0.99 of it, 0.49 where it just suffices
        300: 0.42 of it, 0.15 where it just suffices
        1000: 0.11 of it, 0.02 where it just suffices
    "#]]
    .assert_eq(&sent.concat());
}

proptest! {
    #[test]
    fn no_more_is_spent_than_has_grown(
        gaps in prop::collection::vec((0_u64..4_000, 1_u64..1_500), 1..200), sharers in 1_u32..500, bearable in 0.05_f64..30.0,
    ) {
        let mut bucket = TokenBucket::default();
        let (mut now, mut spent) = (ms(5_000), 0.0);
        let share = bearable / f64::from(sharers);
        for (gap, work_ms) in gaps {
            now = now.after(ms(gap));
            let work_s = work_ms as f64 / 1e3;
            let chance = bucket.spend(now, &room(bearable, sharers), work_s);
            prop_assert!((0.0..=1.0).contains(&chance));
            prop_assert!(chance == 0.0 || work_s <= 0.25 * bearable * WINDOW.secs());
            spent += chance * work_s;
            prop_assert!(spent <= share * (1.0 + now.since(ms(5_000)).secs()) + 1e-9);
        }
    }
}

#[test]
fn of_cold_caches_the_first_is_asked_and_of_warm_ones_any() {
    let mut caches = vec![(1, true), (2, false), (3, true), (4, false)];
    keep_one_cold(&mut caches, |cache| cache.1);
    assert_eq!(caches, [(1, true), (2, false), (4, false)]);
}

/// A location of ten dispatchers whose caches have all just started.
fn all_cold(now: Nanos) -> (copperroute_routing::policy::Dispatcher, Trace) {
    let mut s = settings();
    (s.dispatchers, s.zone_dispatchers) = (10, 10);
    let (mut module, mut trace) = start(s);
    let cold = [0, 1, 2].map(|id| entry(id, 0, Readiness::Ready, now));
    module.nodes_changed(now, &cold, &mut trace);
    (module, trace)
}

#[test]
fn where_all_caches_are_cold_a_copy_is_looked_for_in_one_place_and_nothing_goes_past_them() {
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
        .filter(|line| line.contains("pull"))
        .map(|line| {
            let node = line.split("pull ").nth(1).unwrap_or_default();
            node.split(" from").next().unwrap_or_default().to_string()
        })
        .collect();
    assert!(nodes.len() > 3, "{}", trace.0);
    nodes.dedup();
    assert_eq!(nodes, ["1"], "only the copy's first cache");
    assert!(trace.0.contains("throttled, come back"));
}

#[test]
fn the_first_answers_settle_the_mean_and_later_ones_move_it() {
    let mut row = ContentTypeStats::new(&settings().content_types[0], 0.3);
    row.record_answer(None);
    assert_eq!(row.mean_work_s, 0.3);
    [0.04, 0.08, 0.06].into_iter().for_each(|work_s| row.record_answer(Some(work_s)));
    assert!((row.mean_work_s - 0.06).abs() < 1e-9);
    (0..1_000).for_each(|_| row.record_answer(Some(0.2)));
    row.record_answer(Some(0.7));
    assert!((row.mean_work_s - 0.21).abs() < 1e-3, "{}", row.mean_work_s);
}

/// Six fills hang, and are looked at when they are overdue or not; how many of thirty that follow, each of which a parent
/// gives at once, might have been fetched from the origin.
fn fetched_after_fills_hung(look: bool) -> usize {
    let (mut module, mut trace) = start(settings());
    for request_id in 0..6 {
        ask(&mut module, ms(10_000), request_id, 0, request_id + 1, &mut trace);
        miss(&mut module, ms(10_001), request_id, &mut trace);
    }
    if look {
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
fn fills_that_hang_spare_the_origin_before_they_end() {
    let [waited, looked] = [false, true].map(fetched_after_fills_hung);
    assert!(waited >= 10 && looked * 3 <= waited, "{waited} without a look, {looked} with one");
}

#[test]
fn an_overdue_fill_that_comes_after_all_counts_as_what_it_was() {
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
    // What was late is forgotten after two seconds, what came since is not taken for less than nothing.
    origin.fetch_overdue(ms(1_300));
    origin.overdue_ended(ms(3_900));
    assert_eq!(origin.allowed_share(ms(4_000)), 1.0);
}

/// Keeps the times to come back that are told, and passes over all else.
#[derive(Default)]
struct Told(Vec<Nanos>);

impl Actions for Told {
    fn attempt(&mut self, _dl: RequestId, _attempt: &Attempt) {}
    fn cancel(&mut self, _dl: RequestId, _number: u32) {}
    fn reject(&mut self, _dl: RequestId, retry_after: Option<Nanos>) {
        self.0.extend(retry_after);
    }
    fn fail(&mut self, _dl: RequestId) {}
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _line: &str) {}
    fn release(&mut self, _dl: RequestId) {}
    fn release_object(&mut self, _object: ObjectId) {}
}

#[test]
fn who_a_cold_cache_cannot_bear_is_told_to_come_back_when_the_part_has_grown() {
    let told = |dispatchers| {
        let mut s = settings();
        (s.dispatchers, s.zone_dispatchers) = (dispatchers, dispatchers);
        let (mut module, _) = start(s);
        let mut told = Told::default();
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
    // Two seconds is the longest that clients heed here.
    assert!(few < 0.5 && many > 1.5, "{few:.2} s of a few, {many:.2} s of many");
}

#[test]
fn a_dispatcher_that_has_answered_nothing_rates_its_first_pull_by_the_size_that_is_told() {
    // A part of a second is 0.12 s of sending, the request 0.1 s: its chance is certain once it is rated by its own size.
    let pulled = (0..40).filter(|seed| {
        let mut s = settings();
        (s.seed, s.dispatchers, s.zone_dispatchers) = (*seed, 20, 20);
        let (mut module, mut trace) = start(s);
        let cold = [0, 1, 2].map(|id| entry(id, 0, Readiness::Ready, ms(9_000)));
        module.nodes_changed(ms(10_000), &cold, &mut trace);
        ask(&mut module, ms(10_000), 0, 0, 1, &mut trace);
        trace.0.contains("pull")
    });
    assert_eq!(pulled.count(), 40);
}
