//! Retry storms, as traces: a location of three caches, and clients that come back.

use crate::common::{entry, ms, settings};
use copperroute::interface::*;
use copperroute::ledger::Ledger;
use copperroute::policy::Dispatcher;
use copperroute::wheel::Wheel;
use expect_test::expect;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;

const STEP: Nanos = Nanos(10_000_000);

fn told() -> StormSettings {
    StormSettings {
        remember: ms(60_000),
        most_remembered: 20_000,
        slots: 50,
        newcomers: 0.2,
        clients_mark: true,
        doubt_unknown: false,
        max_pulls: 6,
    }
}

/// A client's try.
#[derive(Clone, Copy, Debug)]
struct Try {
    client: u64,
    object: u32,
    kind: u32,
    tries: u32,
    pulls: u32,
    heeds: bool,
}

#[derive(Default)]
struct Sent {
    pulls: Vec<DlId>,
    later: Vec<(DlId, Nanos)>,
    never: Vec<DlId>,
    free: Vec<DlId>,
    notes: Vec<String>,
}

impl Outbox for Sent {
    fn pull(&mut self, dl: DlId, _pull: &Pull) {
        self.pulls.push(dl);
    }
    fn call_off(&mut self, _dl: DlId, _number: u32) {}
    fn throttle(&mut self, dl: DlId, come_back: Option<Nanos>) {
        self.later.push((dl, come_back.unwrap_or_default()));
    }
    fn abandon(&mut self, dl: DlId) {
        self.never.push(dl);
    }
    fn arm(&mut self, _span: Nanos, _token: u64) {}
    fn probe(&mut self, _node: NodeId) {}
    fn follow(&mut self) {}
    fn note(&mut self, line: &str) {
        self.notes.push(line.to_string());
    }
    fn release(&mut self, dl: DlId) {
        self.free.push(dl);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

/// A module, the clients that come back to it, and how nodes answer.
struct Day {
    module: Dispatcher,
    now: Nanos,
    held: HashMap<u32, (Try, u32)>,
    next: u32,
    free: Vec<u32>,
    coming: BTreeMap<u64, Vec<Try>>,
    ending: BTreeMap<u64, Vec<(u32, u32, Outcome, Nanos)>>,
    /// Nodes are there.
    up: bool,
    /// Of a hundred pulls so many are refused.
    refused: u32,
    drawn: u32,
    trace: String,
    ok: [u32; 3],
    later: u32,
    never: u32,
    pulls: u32,
    most_pulls: u32,
    heeded: [u32; 2],
    work: BTreeMap<u64, f64>,
}

impl Day {
    fn new(storms: StormSettings) -> Day {
        let mut s = Settings { storms: Some(storms), zone_dispatchers: 1, dispatchers: 1, ..settings() };
        // Images, tables, posts.
        (s.content_types[0].benefit, s.content_types[1].benefit, s.content_types[2].benefit) =
            (2.0, 1.0, 3.0);
        let module = Dispatcher::new(s);
        let (held, free, coming, ending, work) = Default::default();
        let mut day = Day {
            module,
            now: ms(1_000_000),
            held,
            next: 0,
            free,
            coming,
            ending,
            up: true,
            refused: 0,
            drawn: 0,
            trace: String::new(),
            ok: [0; 3],
            later: 0,
            never: 0,
            pulls: 0,
            most_pulls: 0,
            heeded: [0; 2],
            work,
        };
        day.list(Readiness::Ready, Nanos::ZERO);
        day
    }

    /// The caches are listed so, with this start.
    fn list(&mut self, readiness: Readiness, started: Nanos) {
        let mut sent = Sent::default();
        let caches = (0..3).map(|id| entry(id, 0, readiness, started));
        let others =
            [(3, 1), (4, 1), (5, 2)].map(|(id, kind)| entry(id, kind, Readiness::Ready, Nanos::ZERO));
        let nodes: Vec<_> = caches.chain(others).collect();
        self.module.nodes_changed(self.now, &nodes, &mut sent);
    }

    fn come(&mut self, tried: Try) {
        let dl = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        });
        let hash = stable_hash(format!("object-{}", tried.object).as_bytes());
        let d = Download {
            dl: DlId(dl),
            content_type: TypeId(tried.kind),
            object: ObjectId(tried.object),
            copy_hash: hash,
            object_hash: hash,
            group: None,
            expires: self.now.after(ms(3_000)),
            repeat: tried.tries > 0,
            size_kb: Some([3_000.0, 500.0, 200.0][tried.kind as usize]),
            client: tried.client,
            body_hash: 0,
        };
        self.held.insert(dl, (tried, 0));
        let mut sent = Sent::default();
        self.module.download(self.now, &d, &mut sent);
        self.carry(sent);
    }

    /// Plays what the module asked for.
    fn carry(&mut self, sent: Sent) {
        for note in sent.notes.iter().filter(|note| note.starts_with("content type")) {
            let _ = writeln!(self.trace, "{:.1} {note}", self.now.secs() - 1_000.0);
        }
        for dl in sent.pulls {
            let (tried, number) = self.held.get_mut(&dl.0).expect("held");
            tried.pulls += 1;
            *number += 1;
            let (kind, number) = (tried.kind, *number - 1);
            self.most_pulls = self.most_pulls.max(tried.pulls);
            self.pulls += 1;
            self.drawn = (self.drawn * 37 + 11) % 101;
            let took = ms([300, 50, 20][kind as usize]);
            let (outcome, after) = match self.up {
                _ if self.drawn % 100 < self.refused => (Outcome::Refused, ms(10)),
                true => (Outcome::Fulfilled, took),
                false => (Outcome::Unreachable, ms(10)),
            };
            *self.work.entry(self.now.0 / 3_000_000_000).or_default() += took.secs();
            self.ending.entry(self.now.after(after).0).or_default().push((dl.0, number, outcome, after));
        }
        for (dl, back) in sent.later {
            self.later += 1;
            let (mut tried, _) = self.held[&dl.0];
            tried.tries += 1;
            let wait = if tried.heeds { back.max(ms(100)) } else { ms(100) };
            self.coming.entry(self.now.after(wait).0).or_default().push(tried);
        }
        self.never += sent.never.len() as u32;
        for dl in sent.free {
            self.held.remove(&dl.0);
            self.free.push(dl.0);
        }
    }

    /// Lets so many seconds pass, with so many first tries of each type every tenth of one.
    fn pass(&mut self, seconds: u64, firsts: [u32; 3], heeds: impl Fn(u64) -> bool) {
        for step in 0..seconds * 100 {
            self.now = self.now.after(STEP);
            let due: Vec<_> = self.ending.range(..=self.now.0).map(|(at, _)| *at).collect();
            let ends: Vec<_> = due.iter().flat_map(|at| self.ending.remove(at)).flatten().collect();
            for (dl, number, outcome, took) in ends {
                let remark = if outcome == Outcome::Fulfilled { Remark::Hit } else { Remark::None };
                let closed = outcome == Outcome::Fulfilled;
                let end = PullEnd { outcome, took, closed, waited: None, remark, report: Report::default() };
                if let Some((tried, _)) = self.held.get(&dl).filter(|_| closed) {
                    self.ok[tried.kind as usize] += 1;
                    self.heeded[usize::from(tried.heeds)] += 1;
                }
                let mut sent = Sent::default();
                self.module.pull_ended(self.now, DlId(dl), number, &end, &mut sent);
                self.carry(sent);
            }
            let due: Vec<_> = self.coming.range(..=self.now.0).map(|(at, _)| *at).collect();
            for tried in due.iter().flat_map(|at| self.coming.remove(at)).flatten().collect::<Vec<_>>() {
                self.come(tried);
            }
            if step % 10 == 0 {
                for (kind, count) in (0..).zip(firsts) {
                    for _ in 0..count {
                        self.drawn += 1;
                        let client = self.now.0 + u64::from(self.drawn);
                        let object = (client % 50) as u32 + 50 * kind;
                        let heeds = heeds(client);
                        self.come(Try { client, object, kind, tries: 0, pulls: 0, heeds });
                    }
                }
            }
        }
        let (ok, at) = (std::mem::take(&mut self.ok), self.now.secs() - 1_000.0);
        let (later, never) = (std::mem::take(&mut self.later), std::mem::take(&mut self.never));
        let pulls = std::mem::take(&mut self.pulls);
        let _ = writeln!(self.trace, "{at:.0}: ok {ok:?}, later {later}, never {never}, pulls {pulls}");
    }

    fn down(&mut self) {
        self.up = false;
    }

    /// The caches are back, cold.
    fn back(&mut self) {
        self.up = true;
        self.list(Readiness::Ready, self.now);
    }
}

#[test]
fn an_outage_becomes_a_storm_is_damped_and_recovers() {
    let mut day = Day::new(told());
    day.pass(5, [2, 3, 1], |_| true);
    day.down();
    day.pass(20, [2, 3, 1], |_| true);
    day.back();
    (0..4).for_each(|_| day.pass(5, [2, 3, 1], |_| true));
    let _ = writeln!(day.trace, "most pulls {}", day.most_pulls);
    expect![[r#"
        5: ok [94, 150, 50], later 0, never 0, pulls 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.0 content type 2: Rising after Calm
        6.4 content type 0: Storm after Rising
        6.5 content type 1: Storm after Rising
        6.6 content type 2: Storm after Rising
        25: ok [6, 0, 0], later 7931, never 0, pulls 42
        25.1 content type 1: Recovering after Storm
        25.8 content type 0: Recovering after Storm
        29.4 content type 2: Recovering after Storm
        30: ok [66, 600, 102], later 2613, never 0, pulls 784
        35: ok [252, 286, 198], later 980, never 0, pulls 743
        35.8 content type 2: Calm after Recovering
        40: ok [368, 161, 50], later 357, never 0, pulls 570
        44.5 content type 1: Calm after Recovering
        44.8 content type 0: Calm after Recovering
        45: ok [108, 153, 50], later 0, never 0, pulls 303
        most pulls 4
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_second_outage_while_recovering_is_met_again() {
    let mut day = Day::new(told());
    day.pass(5, [3, 3, 0], |_| true);
    day.down();
    day.pass(10, [3, 3, 0], |_| true);
    day.back();
    day.pass(3, [3, 3, 0], |_| true);
    day.down();
    day.pass(10, [3, 3, 0], |_| true);
    day.back();
    day.pass(20, [3, 3, 0], |_| true);
    expect![[r#"
        5: ok [141, 150, 0], later 0, never 0, pulls 300
        5.8 content type 1: Rising after Calm
        5.9 content type 0: Rising after Calm
        6.7 content type 0: Storm after Rising
        8.2 content type 1: Storm after Rising
        15: ok [9, 0, 0], later 2258, never 0, pulls 40
        15.1 content type 1: Recovering after Storm
        15.5 content type 0: Recovering after Storm
        18: ok [52, 258, 0], later 776, never 0, pulls 319
        19.8 content type 1: Storm after Recovering
        22.7 content type 0: Storm after Recovering
        28: ok [5, 4, 0], later 4781, never 0, pulls 30
        28.1 content type 1: Recovering after Storm
        28.5 content type 0: Recovering after Storm
        48: ok [1224, 1028, 0], later 5445, never 0, pulls 2261
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_heavy_day_without_outage_is_no_storm() {
    let mut day = Day::new(told());
    day.refused = 35;
    day.pass(30, [8, 8, 2], |_| true);
    expect![[r#"
        30: ok [2371, 2392, 598], later 1100, never 9, pulls 8417
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_few_that_hammer_are_no_storm() {
    let mut day = Day::new(told());
    day.pass(2, [2, 3, 1], |_| true);
    // Five clients ask again at once for what no cache serves in time, a hundred times a second.
    for step in 0..500 {
        for client in 0..5 {
            let (object, tries) = (900 + client, u32::from(step > 0));
            day.come(Try { client: u64::from(client), object, kind: 0, tries, pulls: 0, heeds: true });
        }
        if step % 50 == 49 {
            day.pass(1, [2, 3, 1], |_| true);
        }
    }
    expect![[r#"
        2: ok [34, 60, 20], later 0, never 0, pulls 120
        2.0 content type 0: Rising after Calm
        2.7 content type 0: Calm after Rising
        3: ok [179, 30, 10], later 274, never 0, pulls 248
        3.2 content type 0: Rising after Calm
        3.7 content type 0: Calm after Rising
        4: ok [269, 30, 10], later 413, never 0, pulls 311
        5: ok [346, 30, 10], later 450, never 0, pulls 371
        6: ok [286, 30, 10], later 274, never 0, pulls 310
        7: ok [270, 30, 10], later 233, never 0, pulls 310
        8: ok [270, 30, 10], later 212, never 0, pulls 310
        9: ok [270, 30, 10], later 188, never 0, pulls 310
        10: ok [270, 30, 10], later 173, never 0, pulls 310
        11: ok [270, 30, 10], later 156, never 0, pulls 310
        12: ok [270, 30, 10], later 151, never 0, pulls 310
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn started_in_the_middle_it_knows_a_storm_by_its_repeats() {
    let mut day = Day::new(told());
    day.down();
    for client in 0..400 {
        let tried = Try { client, object: client as u32 % 50, kind: 0, tries: 1, pulls: 0, heeds: true };
        day.coming.entry(day.now.0 + client * 2_000_000).or_default().push(tried);
    }
    day.pass(4, [1, 1, 0], |_| true);
    day.back();
    day.pass(10, [1, 1, 0], |_| true);
    expect![[r#"
        0.1 content type 0: Rising after Calm
        0.6 content type 0: Storm after Rising
        0.7 content type 1: Rising after Calm
        1.2 content type 1: Storm after Rising
        4: ok [0, 0, 0], later 1290, never 0, pulls 38
        4.4 content type 0: Recovering after Storm
        4.5 content type 1: Recovering after Storm
        14: ok [439, 138, 0], later 1519, never 0, pulls 597
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn who_ignores_advice_gains_nothing() {
    let mut day = Day::new(told());
    day.pass(3, [4, 4, 0], |client| client % 2 == 0);
    day.down();
    day.pass(15, [4, 4, 0], |client| client % 2 == 0);
    day.back();
    day.heeded = [0; 2];
    day.pass(8, [4, 4, 0], |client| client % 2 == 0);
    let [ignored, heeded] = day.heeded;
    let _ = writeln!(day.trace, "served that heed {heeded}, that do not {ignored}");
    expect![[r#"
        3: ok [108, 120, 0], later 0, never 0, pulls 240
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.4 content type 0: Storm after Rising
        4.5 content type 1: Storm after Rising
        18: ok [12, 0, 0], later 48238, never 0, pulls 57
        18.1 content type 1: Recovering after Storm
        20.2 content type 0: Recovering after Storm
        26: ok [190, 887, 0], later 42244, never 0, pulls 1095
        served that heed 614, that do not 463
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn all_cold_at_the_height_none_is_sent_more_than_it_bears() {
    let mut day = Day::new(told());
    day.pass(3, [20, 20, 1], |_| true);
    day.down();
    day.pass(12, [20, 20, 1], |_| true);
    day.back();
    day.work.clear();
    let from = day.now.0 / 3_000_000_000;
    day.pass(18, [20, 20, 1], |_| true);
    // Three caches of twelve transfers, from a fifth on; over three seconds, and 2.5 times that fells them.
    for (window, work) in day.work.range(from..from + 5) {
        let share = 0.2 + 0.8 * (3.0 * (window - from) as f64 / 15.0).min(1.0);
        let _ = writeln!(
            day.trace,
            "window {}: {:.2} of what they do",
            window - from,
            work / (36.0 * 3.0 * share)
        );
    }
    expect![[r#"
        3: ok [540, 600, 30], later 0, never 0, pulls 1230
        3.8 content type 1: Rising after Calm
        3.9 content type 0: Rising after Calm
        4.0 content type 2: Rising after Calm
        4.5 content type 2: Storm after Rising
        6.3 content type 1: Storm after Rising
        6.4 content type 0: Storm after Rising
        15: ok [60, 0, 0], later 21099, never 0, pulls 140
        15.1 content type 1: Recovering after Storm
        16.6 content type 2: Recovering after Storm
        23.0 content type 0: Recovering after Storm
        23.1 content type 2: Calm after Recovering
        33: ok [643, 5893, 300], later 61329, never 0, pulls 6876
        window 0: 1.15 of what they do
        window 1: 1.05 of what they do
        window 2: 1.05 of what they do
        window 3: 1.04 of what they do
        window 4: 1.11 of what they do
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn a_post_that_may_have_run_is_never_sent_again_nor_refused() {
    let mut day = Day::new(told());
    let post = |client, tries| Try { client, object: 7, kind: 2, tries, pulls: 0, heeds: true };
    let (lost, never_ran, answered) = (post(1, 0), post(2, 0), post(3, 0));
    // Past the time in which what was in hand before the start may still be asked for again.
    day.pass(61, [0, 0, 0], |_| true);
    for (tried, outcome) in
        [(lost, Outcome::Broken), (never_ran, Outcome::Unreachable), (answered, Outcome::Fulfilled)]
    {
        day.come(tried);
        day.ending.values_mut().flatten().for_each(|end| end.2 = outcome);
        day.pass(1, [0, 0, 0], |_| true);
        day.coming.clear();
        let _ = writeln!(day.trace, "its retry, on another connection");
        day.come(Try { tries: 1, ..tried });
        day.pass(1, [0, 0, 0], |_| true);
    }
    let _ = writeln!(day.trace, "one in hand, and its retry");
    day.come(post(4, 0));
    day.come(post(4, 1));
    day.pass(1, [0, 0, 0], |_| true);
    let _ = writeln!(day.trace, "a retry of one not known, later and just after a start");
    day.come(post(5, 1));
    day.pass(1, [0, 0, 0], |_| true);
    let mut young = Day::new(told());
    young.come(post(5, 1));
    young.pass(1, [0, 0, 0], |_| true);
    day.trace.push_str(&young.trace);
    expect![[r#"
        61: ok [0, 0, 0], later 0, never 0, pulls 0
        62: ok [0, 0, 0], later 0, never 1, pulls 1
        its retry, on another connection
        63: ok [0, 0, 0], later 0, never 1, pulls 0
        64: ok [0, 0, 0], later 7, never 0, pulls 1
        its retry, on another connection
        65: ok [0, 0, 0], later 7, never 0, pulls 0
        65.3 content type 2: Rising after Calm
        66: ok [0, 0, 0], later 7, never 0, pulls 0
        its retry, on another connection
        67: ok [0, 0, 0], later 1, never 0, pulls 0
        one in hand, and its retry
        67.0 content type 2: Calm after Rising
        68: ok [0, 0, 2], later 11, never 1, pulls 2
        a retry of one not known, later and just after a start
        69: ok [0, 0, 0], later 0, never 1, pulls 0
        1: ok [0, 0, 0], later 0, never 1, pulls 0
    "#]]
    .assert_eq(&day.trace);
}

#[test]
fn pulls_of_a_download_and_its_repeats_count_together() {
    let mut day = Day::new(told());
    day.refused = 100;
    let mut tried = Try { client: 9, object: 3, kind: 0, tries: 0, pulls: 0, heeds: true };
    for _ in 0..8 {
        day.come(tried);
        day.pass(1, [0, 0, 0], |_| true);
        tried.tries += 1;
        day.coming.clear();
    }
    expect![[r#"
        1: ok [0, 0, 0], later 3, never 1, pulls 6
        2: ok [0, 0, 0], later 0, never 1, pulls 0
        3: ok [0, 0, 0], later 0, never 1, pulls 0
        4: ok [0, 0, 0], later 0, never 1, pulls 0
        5: ok [0, 0, 0], later 0, never 1, pulls 0
        6: ok [0, 0, 0], later 0, never 1, pulls 0
        7: ok [0, 0, 0], later 0, never 1, pulls 0
        8: ok [0, 0, 0], later 0, never 1, pulls 0
    "#]]
    .assert_eq(&day.trace);
}

proptest! {
    #[test]
    fn a_wheel_holds_what_a_plain_map_of_slots_does(asks in prop::collection::vec((0_u64..40, 0_u64..900, 1_u32..30), 1..200)) {
        let (width, slots) = (20_000_000_u64, 50_u64);
        let mut wheel = Wheel::new(Nanos(width * slots), slots as usize);
        let mut plain: BTreeMap<u64, f64> = BTreeMap::new();
        let mut now = 1_000_000_000_u64;
        for (pass, earliest, work) in asks {
            now += pass * 1_000_000;
            let (work, earliest) = (f64::from(work) / 100.0, now + earliest * 1_000_000);
            let room = 0.5;
            let first = now / width;
            plain.retain(|slot, _| *slot >= first);
            let mut free = (earliest.div_ceil(width).max(first)..first + slots).filter(|slot| plain.get(slot).copied().unwrap_or(0.0) < room);
            let expected = free.next();
            if let Some(slot) = expected {
                *plain.entry(slot).or_default() += work;
                for slot in slot..first + slots - 1 {
                    let over = plain[&slot] - room;
                    if over <= 0.0 { break; }
                    *plain.entry(slot).or_default() -= over;
                    *plain.entry(slot + 1).or_default() += over;
                }
            }
            let given = wheel.reserve(Nanos(now), Nanos(earliest), work, |_| room);
            prop_assert_eq!(given, expected.map(|slot| Nanos(slot * width)));
            prop_assert!((wheel.ahead(Nanos(now)) - plain.values().sum::<f64>()).abs() < 1e-6);
        }
    }

    #[test]
    fn a_ledger_keeps_for_its_span_and_never_twice_that(steps in prop::collection::vec((0_u64..400, 0_u64..30, any::<bool>()), 1..300)) {
        let span = ms(1_000);
        let mut ledger = Ledger::new(span, 1_000);
        let mut plain: HashMap<u64, (u64, usize)> = HashMap::new();
        let mut now = ms(10_000);
        for (number, (pass, print, put)) in steps.into_iter().enumerate() {
            now = now.after(ms(pass));
            ledger.turn(now);
            if put {
                ledger.put(now, print, number);
                plain.insert(print, (now.0, number));
            }
            for (print, (at, number)) in &plain {
                let age = now.0 - at;
                match ledger.get(*print) {
                    Some(kept) => prop_assert!(kept == number && age < 2 * span.0 + ms(400).0),
                    None => prop_assert!(age >= span.0),
                }
            }
            prop_assert!(!ledger.has_gaps(now));
        }
    }

    #[test]
    fn a_ledger_is_bounded_and_says_what_it_lost(prints in prop::collection::vec(0_u64..5_000, 1..2_000)) {
        let mut ledger = Ledger::new(ms(1_000), 100);
        let mut plain = HashMap::new();
        for (number, print) in prints.into_iter().enumerate() {
            let now = ms(10_000).after(Nanos(number as u64));
            ledger.put(now, print, number);
            plain.insert(print, number);
            prop_assert!(ledger.len() <= 100);
            prop_assert!(ledger.has_gaps(now) || ledger.len() == plain.len());
        }
    }
}
