//! Every decision of a dispatcher. An adapter makes one [`Dispatcher`] from the settings, calls `start`,
//! then a method for each thing that happens: `nodes_listed`, `nodes_changed`, `download`, `first_byte`,
//! `pull_ended`, `client_gone`, `timer`, `object_purged`, `group_purged`. The module answers through the
//! `Outbox` it is handed, before the call returns. Words and trait: `src/interface.rs`.
//! `download` and `pull` are the ordinary path (MC3, docs/design.md); the rest acts when things fail.

use crate::chance::Chance;
use crate::cold::one_place;
use crate::interface::*;
use crate::link::Link;
use crate::purges::{Purged, Purges};
use crate::ring::Ring;
use crate::spare::Origin;
use crate::state::*;
use crate::storm::{Admission, Storm, Supply};
use crate::under::Under;

// MC3's open choices, and the starting values of the design page.
const TABLE: usize = 20_000; // shadow entries
const HORIZON_S: f64 = 20.0; // keep horizon: storage cost is one over it
const MIDDLE_CUT: f64 = 1.0; // of the storage cost
const TOP_CUT: f64 = 4.0;
const MIDDLE_SHARE: f64 = 0.3; // of recent kept fills, middle and top rank together
const TOP_SHARE: f64 = 0.13;
const FILLS_SEEN: Nanos = Nanos(10_000_000_000);
// Health.
const BUCKETS: usize = 8;
const JUDGED_OVER: Nanos = Nanos(2_000_000_000);
const FAILURES: f64 = 3.0; // fewer say nothing of a node
const FAILED_SHARE: f64 = 0.5;
const ROW: u32 = 2; // failures with none between that worked, however far apart, and
const ROW_SHARE: f64 = 0.1; // of what worked lately, unless nothing is there to connect to
const DEAD_ROW: u32 = 8; // the same for an origin
const ASIDE: Nanos = Nanos(3_000_000_000);
const ASIDE_SPREAD_S: f64 = 2.0;
const OVERDUE_STRETCH: f64 = 2.0; // a pull is looked at after this many times its work and
const OVERDUE_SLACK: Nanos = Nanos(300_000_000);
const ASK_AGAIN: Nanos = Nanos(1_000_000_000); // after a failed call to discovery
// Load, in transfers for each one that the node's link fits.
const FULL: f64 = 1.5; // the next cache in hash order takes over
const UNEVEN: f64 = 1.5; // or this many times the location's mean
const PRIOR_COUNT: f64 = 4.0; // own pulls out that weigh as much as what hits took
const IN_TIME: f64 = 0.9; // of the target time
const FILL_WEIGHT: f64 = 1.3; // a fill keeps this much more of its target time in reserve than a hit
const COLD_LOAD: f64 = 0.5; // of what the rule bears, and never over what the node can do
const FILL_LEEWAY: f64 = 0.5; // fills that use up more of what the target time leaves crowd the link
const FADES: Nanos = Nanos(4_000_000_000); // halves the first byte of a parent that is not asked
const FILL_USUAL_S: f64 = 0.1; // until seen
const COME_BACK_S: f64 = 0.1;
const COME_BACK_SHARE: f64 = 0.67; // of the wait that is left
const FURTHER_FLOOR: f64 = 0.1;
const SMOOTH: f64 = 0.2;
const DEFAULT_WORK_S: f64 = 0.3; // sending time of a content type not yet seen
const LOOK_AGAIN: u32 = u32::MAX; // the serial of a look after a fill by another

/// One dispatcher's decisions.
#[derive(Debug)]
pub struct Dispatcher {
    s: Settings,
    types: Vec<TypeRow>,
    nodes: Nodes,
    dls: Slots<Dl>,
    shadows: Shadows,
    fills: Fills, // kept fills by their ratio
    link: Link,
    fill_usual_s: f64, // of fills that worked, from send to end
    origin: Origin,    // how far it is spared
    further: Ring<2>,  // further pulls that worked, that failed
    purges: Purges,
    storm: Option<Storm>, // off unless the operators tell of storms
    again: Nanos,         // when the cold node that was asked last bears a pull of this one's
    chance: Chance,
    serial: u32,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(s: Settings) -> Self {
        let row = |told: &ContentType| TypeRow::new(told, DEFAULT_WORK_S);
        Dispatcher {
            types: s.content_types.iter().map(row).collect(),
            nodes: Nodes::new(s.zone, s.parent_kind, s.origin_kind),
            dls: Slots::default(),
            shadows: Shadows::default(),
            fills: Fills::new(FILLS_SEEN, BUCKETS),
            link: Link::default(),
            fill_usual_s: FILL_USUAL_S,
            origin: Origin::new(),
            further: Ring::new(JUDGED_OVER, BUCKETS),
            purges: Purges::default(),
            storm: s
                .storms
                .map(|told| Storm::new(told, &s.content_types, s.max_come_back, s.fall_for, s.seed)),
            again: Nanos::ZERO,
            chance: Chance::new(s.seed),
            serial: 0,
            s,
        }
    }

    /// The rules have changed. What was learnt and is in hand stays; seed and storms are as at the start.
    pub fn settings_changed(&mut self, s: &Settings) {
        self.dls.iter_mut().for_each(|dl| dl.under = dl.under.and(s, dl.d.content_type));
        self.types.iter_mut().zip(&s.content_types).for_each(|(row, told)| row.told = told.clone());
        self.s = Settings { seed: self.s.seed, storms: self.s.storms, ..s.clone() };
    }

    /// The dispatcher comes up.
    pub fn start(&mut self, _now: Nanos, out: &mut impl Outbox) {
        if self.s.list_is_asked {
            out.follow();
        }
    }

    /// A download has come: counted in the shadow table, judged by MC3, and sent on its way.
    pub fn download(&mut self, now: Nanos, d: &Download, out: &mut impl Outbox) {
        let (mut keep, mut seen) = (Keep::default(), None);
        if !self.row(d).told.uncacheable {
            let shadow = self.count(now, d, out);
            (keep, seen) = (self.keep(now, &shadow), shadow.work_s);
        } else if !self.shadows.holds(d.object) {
            out.release_object(d.object);
        }
        let told = d.size_kb.filter(|_| self.s.client_kb_per_s > 0.0).map(|kb| kb / self.s.client_kb_per_s);
        // Where sizes are not told, what its object took, or its content type takes, stands in.
        self.types[d.content_type.0 as usize].asked(told);
        let work_s = told.or(seen).unwrap_or(self.row(d).mean_work_s);
        self.dls.put(d.dl.0, Dl::new(*d, work_s, keep, Under::new(&self.s, d.content_type)));
        self.admit(now, d, work_s, out);
    }

    /// A download that was answered from an own copy: counted in the shadow table as any other.
    pub fn served_here(&mut self, now: Nanos, d: &Download, out: &mut impl Outbox) {
        self.count(now, d, out);
    }

    /// What the shadow table knows of a copy: own downloads a second, and hops to the closest copy.
    pub fn known(&self, d: &Download) -> Option<(Option<f64>, f64)> {
        let shadow = self.shadows.get(d.object).filter(|shadow| shadow.copy_hash == d.copy_hash)?;
        Some((shadow.gap_s.map(|gap| 1.0 / gap), shadow.hops))
    }

    /// Sends a download on its way, unless the storm module holds it off: then it is answered at once.
    fn admit(&mut self, now: Nanos, d: &Download, work_s: f64, out: &mut impl Outbox) {
        let Some(mut storm) = self.storm.take() else { return self.pull(now, d.dl, out) };
        let changed = if storm.is_due(now) { storm.look(now, self.supply(now)) } else { None };
        if let Some((of, from, to)) = changed {
            out.note(&format!("content type {}: {to:?} after {from:?}", of.0));
        }
        let admission = storm.arrives(now, d, work_s);
        self.storm = Some(storm);
        let (Admission::Take(claim) | Admission::Later(claim) | Admission::Never(claim)) = admission;
        self.dls.get_mut(d.dl.0).into_iter().for_each(|dl| dl.claim = claim);
        match admission {
            Admission::Take(_) => self.pull(now, d.dl, out),
            Admission::Later(_) => self.give_up(now, d.dl, out),
            Admission::Never(_) => self.end(now, d.dl, Stage::Abandoned, out),
        }
    }

    /// What the location's caches bear, or where none is open the ways past them, and what the origin does.
    fn supply(&self, now: Nanos) -> Supply {
        let bears =
            |n: &Node, at: Nanos| if n.on_trial || n.aside_until > at { 0.0 } else { self.bearable(n, at) };
        let later = now.after(self.s.max_come_back);
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let caches = [now, later].map(|at| self.nodes.caches().map(|n| bears(n, at)).sum::<f64>() / z);
        let parents = self.s.direct && self.nodes.parents().any(|n| !n.on_trial);
        let past = if parents { self.link.bears() } else { 0.0 };
        let fetches = self.origin.share(now) / f64::from(self.s.dispatchers.max(1));
        let origin = self.nodes.origin().and_then(|id| self.nodes.get(id));
        let origin = [now, later].map(|at| origin.map_or(0.0, |n| bears(n, at) * fetches));
        Supply { caches: caches.map(|sum| sum.max(past)), past: caches[0] <= past, origin }
    }

    /// Chooses node and source and sends; gives up at once where nothing can take it. A cache is looked at
    /// before a fill is asked of it, so that every fill is decided as one: link, cold parents and origin get
    /// only what they bear. One that drained meanwhile is not filled (rule 3): the look goes elsewhere.
    fn pull(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get_mut(id.0) else { return };
        let (rides, dl) = (dl.rides.take(), dl.clone());
        self.again = Nanos::ZERO;
        let chosen = match dl.missed_at.filter(|id| self.nodes.get(*id).is_some_and(|n| n.listed)) {
            _ if self.row(&dl.d).told.uncacheable => self.runs_at(now, &dl),
            Some(node) if rides == Some(node) && self.open(now, node) => Some((node, node)),
            Some(node) if self.too_full(now, &dl, node) => None,
            Some(node) => self.sibling(now, &dl).or_else(|| self.source(now, &dl)).map(|from| (node, from)),
            // A cold cache holds little: a look there would only spend what it can bear.
            None => match self.edge(now, &dl) {
                Some(node) if self.nodes.is_cold(now, node, self.s.cache_cold.warm_after) => {
                    Some((node, self.source(now, &dl).unwrap_or(node)))
                }
                Some(node) => Some((node, node)),
                None => self.past_the_caches(now, &dl),
            },
        };
        let Some((node, source)) = chosen else { return self.give_up(now, id, out) };
        self.serial = self.serial % (LOOK_AGAIN - 1) + 1;
        let sent = Sent::new(node, source, now, self.serial);
        let by_parent = !sent.is_look() && self.nodes.is_parent(source);
        let by_cache = !sent.is_look() && !self.nodes.from_above(&sent);
        let asked_of = if sent.is_look() { dl.keep.hit_rank } else { dl.keep.fill_rank };
        let rank = if self.nodes.is_parent(node) { 0 } else { asked_of };
        let pull = Pull {
            node,
            source,
            try_for: None,
            rank,
            max_age: self.max_age(now, &dl.d),
            join: self.s.joins && dl.pulls.len() < 2,
            held_only: by_cache || (by_parent && !self.may_fetch(now, dl.keep.fill_rank)),
            no_parent_copy: rank == 3 && by_parent,
            renew: rank >= 2 && self.row(&dl.d).told.fresh_for.is_some(),
        };
        self.nodes.count_out(&sent, 1);
        if !sent.is_look() {
            self.link.begun();
        }
        self.move_to(now, id, Stage::Pulling, out);
        if let Some(dl) = self.dls.get_mut(id.0) {
            dl.pulls.push(Sent { held_only: pull.held_only, ..sent });
        }
        out.pull(id, &pull);
        let look = Nanos::from_secs(dl.work_s * OVERDUE_STRETCH).after(OVERDUE_SLACK);
        out.arm(look, u64::from(id.0) << 32 | u64::from(sent.serial));
    }

    // MC3.

    /// Counts a download in the shadow table and returns the entry.
    fn count(&mut self, now: Nanos, d: &Download, out: &mut impl Outbox) -> Shadow {
        let mut entry = Shadow { copy_hash: d.copy_hash, last: now, hops: 2.0, ..Shadow::default() };
        if let Some(known) = self.shadows.get(d.object) {
            let gap = now.since(known.last).secs().max(1e-3);
            // After twice the estimate without downloads, the estimate is the gap so far.
            let old = known.gap_s.map_or(gap, |old| if gap > 2.0 * old { gap } else { old });
            // A client's repeat is no download more: else a jam would have all that it refuses kept, scans
            // too, and feed itself.
            let counted = Shadow { gap_s: Some(0.5 * gap + 0.5 * old), last: now, ..*known };
            entry = if d.repeat { *known } else { counted };
        }
        let dropped = self.shadows.put(d.object, entry, TABLE);
        dropped.into_iter().for_each(|old| out.release_object(old));
        entry
    }

    /// Benefit and rank: keep where hops x rate exceeds storage cost.
    fn keep(&mut self, now: Nanos, shadow: &Shadow) -> Keep {
        // A first download has negative benefit: its fill passes unkept, and a hit stays as it was.
        // Of Z dispatchers all but one in Z of what is new to one is taken as the location's second download.
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let Some(gap_s) = shadow.gap_s else {
            return Keep { fill_rank: u8::from(self.chance.share() * z >= 1.0), ratio: 1.0, hit_rank: 0 };
        };
        let (storage_cost, rate) = (1.0 / HORIZON_S, z / gap_s);
        let keep_benefit = shadow.hops * rate - storage_cost;
        let ratio = shadow.hops * rate / storage_cost;
        let (above, all) = self.fills.from(now, ratio);
        let rarer = |share: f64| above < share * all;
        let rank = match keep_benefit {
            b if b <= 0.0 => return Keep { hit_rank: 1, fill_rank: 0, ratio },
            b if b > TOP_CUT * storage_cost && rarer(TOP_SHARE) => 3,
            b if b > MIDDLE_CUT * storage_cost && rarer(MIDDLE_SHARE) => 2,
            _ => 1,
        };
        Keep { hit_rank: rank, fill_rank: rank, ratio }
    }

    /// The answer tells how far the closest held copy was; a hit keeps the hops of the last fill.
    fn learn(&mut self, now: Nanos, dl: &Dl, sent: &Sent, end: &PullEnd) {
        let told = dl.d.size_kb.is_some() && self.s.client_kb_per_s > 0.0;
        let own_s = match end.remark {
            _ if told => Some(dl.work_s),
            Remark::Hit => Some(end.took.secs()),
            _ => None,
        };
        if let Some(n) = self.nodes.get_mut(sent.node).filter(|_| end.remark == Remark::Hit) {
            n.saw_pace(now, end.took.secs(), dl.work_s);
        }
        self.types[dl.d.content_type.0 as usize].saw(own_s);
        let filled = matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin);
        self.fills.add(now, dl.keep.ratio, filled && dl.keep.fill_rank > 0);
        // Where fills by way of the origin are not told, the source that was named stands in.
        let from_origin = Some(sent.source) == self.nodes.origin() && !self.s.fills_told;
        // The slot may have been given to another object meanwhile.
        let Some(entry) = self.shadows.get_mut(dl.d.object, dl.d.copy_hash) else { return };
        match end.remark {
            Remark::FilledFromCopy if !from_origin => entry.hops = 1.0,
            Remark::FilledFromCopy | Remark::FilledFromOrigin => entry.hops = 2.0,
            _ => {}
        }
        entry.work_s = own_s.map(|own_s| entry.work_s.map_or(own_s, |w| w.min(own_s))).or(entry.work_s);
    }

    // Where it goes.

    fn row(&self, d: &Download) -> &TypeRow {
        &self.types[d.content_type.0 as usize]
    }

    fn target_s(&self, dl: &Dl) -> f64 {
        let told = &self.row(&dl.d).told;
        told.target_time.secs() + told.target_stretch * dl.work_s
    }

    /// May this node be sent something now? Listed, not set aside, and not on trial already.
    fn open(&self, now: Nanos, id: NodeId) -> bool {
        let n = self.nodes.get(id);
        n.is_some_and(|n| n.listed && n.aside_until <= now && !(n.on_trial && n.out > 0))
    }

    /// Rule 4: a cold node bears multiple x present capacity x window from all dispatchers together. Each
    /// keeps to its own part of what the node can do (`src/cold.rs`), so they need no agreement and sizes may
    /// be rough. All send what the node can do, with a variance of that times a pull's work: for a few pulls'
    /// worth three deviations lie under the limit. One download that is a large part is not for a cold node.
    fn bears(&mut self, now: Nanos, id: NodeId, work_s: f64) -> bool {
        let (cold, sharers) = match self.nodes.is_parent(id) {
            true => (self.s.parent_cold, self.s.dispatchers),
            false => (self.s.cache_cold, self.s.zone_dispatchers),
        };
        if !self.nodes.is_cold(now, id, cold.warm_after) {
            return self.nodes.get(id).is_some();
        }
        let bearable = self.nodes.get(id).map_or(0.0, |n| self.bearable(n, now));
        let Some(n) = self.nodes.get_mut(id) else { return false };
        let chance = n.part.spend(now, bearable, sharers, self.s.fall_for, work_s);
        self.again = n.part.until(bearable, sharers, work_s);
        chance > 0.0 && self.chance.share() < chance
    }

    /// What a node can do, in transfers at once; of a cold one no more than the rule lets it be asked for.
    fn bearable(&self, n: &Node, at: Nanos) -> f64 {
        let parent = Some(n.e.kind) == self.s.parent_kind;
        let cold = if parent { self.s.parent_cold } else { self.s.cache_cold };
        let Some(age) = n.age(at).filter(|age| *age < cold.warm_after) else { return n.e.weight };
        let risen = age.since(self.s.fall_for).secs() / cold.warm_after.secs();
        let present = cold.share + (1.0 - cold.share) * risen;
        (cold.fall_multiple * COLD_LOAD).min(1.0) * present * n.e.weight
    }

    /// With no cache of the location to be asked, straight to a parent, where allowed and the link has room.
    /// Not past caches that are all cold: what goes past them leaves no copy, and they would stay empty.
    fn past_the_caches(&mut self, now: Nanos, dl: &Dl) -> Option<(NodeId, NodeId)> {
        let open: Vec<_> = self.nodes.caches().map(|n| n.e.node).filter(|id| self.open(now, *id)).collect();
        let cold = |id: &NodeId| self.nodes.is_cold(now, *id, self.s.cache_cold.warm_after);
        if !open.is_empty() && open.iter().all(cold) {
            return None;
        }
        let origin = self.nodes.origin().filter(|_| self.s.direct && dl.may_have_run.is_none())?;
        let parent = self.source(now, dl).filter(|id| *id != origin)?;
        self.may_fetch(now, dl.keep.fill_rank).then_some((parent, origin))
    }

    /// The location's caches in the order of the copy's hash (highest random weight, by size), with their
    /// load in transfers for each that fits. Alone, a dispatcher counts its own pulls; of several it sees a
    /// part only, and by chance. So what hits took over their sending time, which shows the load of all, is
    /// a prior for its count, the stronger the more dispatchers there are.
    fn caches(&self, now: Nanos, dl: &Dl) -> Vec<(f64, NodeId, f64)> {
        let mean = self.row(&dl.d).mean_work_s;
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let prior = PRIOR_COUNT * (1.0 - 1.0 / z);
        let paces: Vec<_> = self.nodes.caches().map(|n| n.pace.sums(now)).collect();
        let (took, work) = paces.iter().fold((mean, mean), |sum, n| (sum.0 + n[0], sum.1 + n[1]));
        let placed = |(n, [own_took, own_work]): (&Node, [f64; 2])| {
            let share = (mix(dl.d.copy_hash ^ n.e.hash) >> 11) as f64 / (1_u64 << 53) as f64;
            let weight = n.e.weight.max(0.1);
            let pace = ((own_took + mean * took / work) / (own_work + mean)).max(1.0);
            let load = (prior + f64::from(n.out)) / (prior / pace + weight / z);
            (-(share.max(1e-18)).ln() / weight, n.e.node, load)
        };
        let mut caches: Vec<_> = self.nodes.caches().zip(paces).map(placed).collect();
        caches.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        caches
    }

    /// Whether a fill at this cache would come too late. Where caches are overloaded, hits come first: a fill
    /// takes as much of the cache, and of link and parent besides. Guards against any overload, whatever its
    /// cause; harms an object that only fills would make a hit.
    fn too_full(&self, now: Nanos, dl: &Dl, node: NodeId) -> bool {
        let load = self.caches(now, dl).iter().find(|c| c.1 == node).map_or(1.0, |c| c.2.max(1.0));
        FILL_WEIGHT * dl.work_s * load + self.origin.usual_s() > IN_TIME * self.target_s(dl)
    }

    /// The first in hash order; the next takes over where it is not open, full, cold, or was tried.
    fn edge(&mut self, now: Nanos, dl: &Dl) -> Option<NodeId> {
        let mean = self.row(&dl.d).mean_work_s;
        let mut caches = self.caches(now, dl);
        // Where all fail at times and none is open, those that still answer are better than none.
        let none_open = !caches.iter().any(|c| self.open(now, c.1));
        let answers = |id: NodeId| none_open && self.nodes.get(id).is_some_and(|n| n.started <= now);
        caches.retain(|c| self.may_repeat_at(now, dl, c.1) && (self.open(now, c.1) || answers(c.1)));
        let tried = |id: NodeId| dl.pulls.iter().any(|p| p.left && p.node == id);
        one_place(&mut caches, |c| self.nodes.is_cold(now, c.1, self.s.cache_cold.warm_after));
        // A download that this cache could not serve in time would only slow those begun.
        let most = IN_TIME * self.target_s(dl) / dl.work_s;
        // Where all are as full, another cache would only hold less of what is asked for.
        let full = FULL.max(UNEVEN * caches.iter().map(|c| c.2).sum::<f64>() / caches.len().max(1) as f64);
        let mut fresh = caches.iter().filter(|c| !tried(c.1) && c.2 < full);
        let fresh = fresh.find(|c| self.bears(now, c.1, mean)).copied();
        let least = || caches.iter().copied().min_by(|a, b| a.2.total_cmp(&b.2));
        let chosen = fresh.or_else(|| least().filter(|c| self.bears(now, c.1, mean)));
        chosen.filter(|c| c.2.max(1.0) < most).map(|c| c.1)
    }

    /// Whether the location's link has room for a fill of this.
    fn link_has_room(&mut self, now: Nanos, dl: &Dl) -> bool {
        let (size, draw) = (dl.work_s / self.row(&dl.d).mean_work_s, self.chance.share());
        self.link.has_room(now, self.s.zone_dispatchers, size, draw)
    }

    /// Link and source hear how slowly a fill ran.
    fn fill_ended(&mut self, now: Nanos, dl: &Dl, sent: &Sent, end: &PullEnd) {
        self.link.ended();
        if end.outcome == Outcome::CalledOff {
            return;
        }
        // What ran out of time mostly waited, as for a slow origin or parent: it says nothing of the link.
        let waited = if end.outcome == Outcome::TimedOut { Some(end.took) } else { end.waited };
        let waited = waited.unwrap_or_default().secs();
        let told = &self.row(&dl.d).told;
        let leeway = told.target_time.secs() + (told.target_stretch - 1.0).max(0.0) * dl.work_s;
        let took = end.took.secs() - waited;
        let fair = dl.work_s + FILL_LEEWAY * leeway;
        self.link.saw(now, [took, fair, waited]);
        // A parent may be quick to begin and slow to send: what its fills take over the leeway counts as part
        // of its first byte. It fades while the parent is not asked, so that one is tried again. Of a slow
        // origin's time only the usual is the parent's: else objects would wander between parents.
        let own =
            if end.remark == Remark::FilledFromCopy { waited } else { waited.min(self.origin.usual_s()) };
        if let Some(n) = self.nodes.get_mut(sent.source) {
            n.saw_first_byte(now, own + (took - fair).max(0.0), SMOOTH, FADES);
        }
        if end.outcome == Outcome::Fulfilled {
            self.fill_usual_s += SMOOTH * (end.took.secs() - self.fill_usual_s);
        }
    }

    /// Where caches may fill from other locations and the origin is spared, so that parents give only what
    /// they hold: first the first of theirs for the copy, once a download. The same copy is asked for
    /// everywhere, so it is often held there when it is not here, one hop away; else it is one more look.
    fn sibling(&mut self, now: Nanos, dl: &Dl) -> Option<NodeId> {
        let asked = !self.s.sideways || dl.pulls.iter().any(|p| !p.is_look() && !self.nodes.from_above(p));
        let spared = !asked && !self.may_fetch(now, dl.keep.fill_rank);
        let homes = self.nodes.homes_away(dl.d.copy_hash, now, self.s.cache_cold.warm_after);
        homes.into_iter().find(|id| spared && self.open(now, *id))
    }

    /// The better of the first two open parents in hash order, by smoothed time to first byte.
    fn source(&mut self, now: Nanos, dl: &Dl) -> Option<NodeId> {
        if !self.link_has_room(now, dl) {
            return None;
        }
        let mut parents: Vec<_> =
            self.nodes.parents().map(|n| (mix(dl.d.copy_hash ^ n.e.hash), n.e.node)).collect();
        parents.sort();
        let mean = self.row(&dl.d).mean_work_s;
        parents.retain(|(_, id)| self.open(now, *id));
        let failed = |id: NodeId| dl.pulls.iter().any(|p| !p.is_look() && p.source == id);
        let first_byte = |id: NodeId| self.nodes.get(id).map_or(0.0, |n| n.first_byte_s(now, FADES));
        // The origin stands in for a parent that is not open. As all locations turn to it at once, uncached
        // and unjoined, each dispatcher asks it for a few at a time only.
        let few = |n: &Node| f64::from(n.out) < self.origin.share(now) * self.link.limit();
        let origin =
            self.nodes.origin().filter(|id| parents.len() < 2 && self.nodes.get(*id).is_some_and(few));
        let two = parents.iter().take(2).map(|(_, id)| *id).chain(origin);
        let mut two: Vec<_> = two.filter(|id| !failed(*id)).map(|id| (first_byte(id), id)).collect();
        two.sort_by(|a, b| a.0.total_cmp(&b.0));
        two.into_iter().map(|source| source.1).find(|id| match Some(*id) == origin {
            true => self.open(now, *id) && self.may_fetch(now, dl.keep.fill_rank),
            false => self.bears(now, *id, dl.work_s.max(mean)),
        })
    }

    /// A stopped origin holds every fill that needs it until time runs out, and with them the places on
    /// the link. While it is set aside parents give only what they hold, and what they lack is given up
    /// at once; then one fetch at a time tries it. Of a slow one, pushed by all to its stop, fewer and
    /// fewer fetches are asked as they come too late to be of use. Harms what it would have served late.
    fn may_fetch(&mut self, now: Nanos, rank: u8) -> bool {
        if self.nodes.origin().is_some_and(|id| !self.open(now, id)) {
            return false;
        }
        // What MC3 ranks high is fetched first, so that hits come back; rank 4 stands for uncacheable.
        let power = [2.0, 1.0, 0.5, 0.25, 0.0][usize::from(rank.min(4))];
        self.chance.share() < self.origin.share(now).powf(power)
    }

    /// An uncacheable download runs at the origin: straight, or through a parent if that fails.
    fn runs_at(&mut self, now: Nanos, dl: &Dl) -> Option<(NodeId, NodeId)> {
        let origin = self.nodes.origin()?;
        if dl.may_have_run.is_some() || !self.may_fetch(now, 4) {
            return None;
        }
        if self.s.direct && dl.pulls.iter().all(|p| p.node != origin) {
            return Some((origin, origin));
        }
        let parent = self.source(now, dl).filter(|id| *id != origin && self.s.direct);
        parent.or_else(|| self.edge(now, dl)).map(|node| (node, origin))
    }

    /// Rule 2 for a further pull: what may have run goes again only where repeats are harmless.
    fn may_repeat_at(&self, now: Nanos, dl: &Dl, id: NodeId) -> bool {
        let Some((sent, first)) = dl.may_have_run else { return true };
        let (Some(a), Some(b)) = (self.nodes.get(first), self.nodes.get(id)) else { return false };
        match dl.under.repeat() {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped { window, .. } if now.since(sent) >= window => false,
            Repeat::Deduped { scope, .. } => scope.holds_both(&a.e, &b.e),
        }
    }

    /// Rule 5: no copy older than a purge, for as long as such copies may lie about.
    fn max_age(&mut self, now: Nanos, d: &Download) -> Option<Nanos> {
        self.purges.forget(now, self.s.purge_done.after(self.s.purge_notice));
        let since = now.since(self.purges.last(d.object_hash, d.group)?);
        let fresh = self.row(d).told.fresh_for;
        // Never down to nothing, which would stand for no limit.
        Some(since.min(fresh.unwrap_or(since)).max(Nanos(1_000)))
    }

    // What comes back.

    /// A stream has begun: the download is bound to this pull.
    pub fn first_byte(&mut self, now: Nanos, id: DlId, number: u32, out: &mut impl Outbox) {
        let node = self.dls.get(id.0).and_then(|dl| dl.pulls.get(number as usize)).map(|p| p.node);
        node.and_then(|node| self.nodes.get_mut(node)).into_iter().for_each(|n| n.heard = now);
        self.move_to(now, id, Stage::Streaming, out);
    }

    /// A pull has ended.
    pub fn pull_ended(&mut self, now: Nanos, id: DlId, number: u32, end: &PullEnd, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get_mut(id.0) else { return };
        let Some(sent) = dl.pulls.get_mut(number as usize).filter(|p| p.out) else { return };
        (sent.out, sent.left) = (false, end.outcome != Outcome::NotSent);
        sent.reached = !matches!(end.outcome, Outcome::NotSent | Outcome::Unreachable);
        let sent = *sent;
        use Outcome::{CalledOff, Failed, Fulfilled, NotHeld, NotSent, Refused, Unreachable};
        let missed = end.outcome == NotHeld && sent.is_look();
        // A cache elsewhere that lacks the copy leaves the parents to fill it: that was no fill.
        let lacks = end.remark == Remark::SourceHasNone && !sent.is_look() && !self.nodes.from_above(&sent);
        let filled = dl.pulls.iter().take(number as usize).any(|p| self.nodes.from_above(p));
        let again = (filled || (number > 0 && dl.missed_at.is_none())) && !missed && end.outcome != CalledOff;
        let worked = end.outcome == Fulfilled;
        let never_ran = matches!(end.outcome, Refused | Unreachable | NotSent | NotHeld);
        if !worked && !never_ran && dl.may_have_run.is_none() {
            dl.may_have_run = Some((sent.at, sent.node));
        }
        // An error may lie in what is asked for: it counts once another node could make use of that. Guards
        // against clients that ask for nonsense; harms where all nodes err, as then none is left out.
        let erred = (end.outcome == Failed && end.remark == Remark::None).then_some(sent.node);
        let could = worked || end.outcome == NotHeld;
        let blamed = if could { dl.erred_at.take() } else { None };
        dl.erred_at = erred.or(dl.erred_at);
        dl.missed_at = (missed || lacks).then_some(sent.node);
        // Where fills can't be shared, one under way for another download is waited for, not made twice.
        dl.rides = (missed && end.remark == Remark::Joined && !self.s.joins).then_some(sent.node);
        let dl = dl.clone();
        if !sent.is_look() {
            self.fill_ended(now, &dl, &sent, end);
        }
        self.judge(now, &dl, &sent, end, out);
        blamed.into_iter().for_each(|node| self.mark(now, node, false, false, out));
        if again {
            self.further.add(now, usize::from(!worked), 1.0);
        }
        if end.closed {
            self.move_to(now, id, if worked { Stage::Fulfilled } else { Stage::Left }, out);
        } else if dl.stage == Stage::Pulling && dl.pulls.iter().all(|p| !p.out) {
            // Further pulls follow the share of recent ones that worked, so a wide failure brings no storm.
            let [worked, failed] = self.further.sums(now);
            let share = ((worked + 2.0) / (worked + failed + 2.0)).max(FURTHER_FLOOR);
            let in_time = dl.d.expires.since(now).secs() > dl.work_s;
            let storm = self.storm.as_ref().map_or(1.0, |storm| storm.further(dl.d.content_type));
            let pulls = dl.pulls.len() + usize::from(dl.claim.spent);
            let most = dl.under.max_pulls();
            let allowed = in_time && pulls < most;
            // What a parent lacks, or the origin refused or failed, is to be had nowhere else.
            let nowhere = (end.outcome == NotHeld && !missed && !lacks) || end.remark == Remark::OriginFailed;
            // The look after it leaves room for a fill of its own.
            let wait = if dl.rides.is_some() { self.fill_usual_s * (0.5 + self.chance.share()) } else { 0.0 };
            let in_time = dl.d.expires.since(now).secs() > wait + dl.work_s;
            let rides = allowed && dl.rides.is_some() && in_time && pulls + 2 <= most;
            self.dls.get_mut(id.0).filter(|_| !rides).into_iter().for_each(|dl| dl.rides = None);
            if rides {
                out.arm(Nanos::from_secs(wait), u64::from(id.0) << 32 | u64::from(LOOK_AGAIN));
            } else if allowed && !nowhere && (missed || lacks || self.chance.share() < share * storm) {
                self.pull(now, id, out);
            } else {
                self.give_up(now, id, out);
            }
        }
        self.settle(now, id, out);
    }

    /// Gives up at once: throttled where trying again is harmless, else abandoned.
    fn give_up(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get(id.0) else { return };
        let harmless = match dl.under.repeat() {
            Repeat::Retriable | Repeat::Deduped { scope: DedupScope::All, .. } => true,
            _ => dl.may_have_run.is_none(),
        };
        let to = if harmless && dl.d.expires > now { Stage::Throttled } else { Stage::Abandoned };
        self.end(now, id, to, out);
    }

    fn end(&mut self, now: Nanos, id: DlId, to: Stage, out: &mut impl Outbox) {
        self.move_to(now, id, to, out);
        self.settle(now, id, out);
    }

    /// The one place where a download changes its stage, and the only one that sends final answers.
    fn move_to(&mut self, now: Nanos, id: DlId, to: Stage, out: &mut impl Outbox) -> bool {
        use Stage::*;
        let Some(dl) = self.dls.get_mut(id.0) else { return false };
        let allowed = match dl.stage {
            Taken => matches!(to, Pulling | Throttled | Abandoned | Left),
            Pulling => to != Taken,
            Streaming => matches!(to, Fulfilled | Left),
            Fulfilled | Throttled | Abandoned | Left => false,
        };
        if !allowed {
            return false;
        }
        dl.stage = to;
        let wait_s = COME_BACK_S.max(COME_BACK_SHARE * std::mem::take(&mut self.again).secs());
        let advice = Nanos::from_secs(wait_s * (1.0 + self.chance.share()));
        let advice = self.answered(now, id, to).unwrap_or(advice);
        match to {
            Throttled => out.throttle(id, self.s.come_back.then_some(advice.min(self.s.max_come_back))),
            Abandoned => out.abandon(id),
            _ => {}
        }
        true
    }

    /// The storm module hears of a final answer, and says when a throttled download is to come back.
    fn answered(&mut self, now: Nanos, id: DlId, to: Stage) -> Option<Nanos> {
        let final_one = !matches!(to, Stage::Taken | Stage::Pulling | Stage::Streaming);
        let dl = self.dls.get(id.0).filter(|_| final_one)?;
        let target_s = self.target_s(dl);
        self.storm.as_mut()?.answered(now, dl, to, target_s)
    }

    /// Lets go of an answered download once all its pulls are in.
    fn settle(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get(id.0) else { return };
        let open = matches!(dl.stage, Stage::Taken | Stage::Pulling | Stage::Streaming);
        if !open && dl.pulls.iter().all(|p| !p.out) {
            self.storm.iter_mut().for_each(|storm| storm.settled(now, dl));
            self.dls.clear(id.0);
            out.release(id);
        }
    }

    /// Nobody waits for this download any more.
    pub fn client_gone(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        if self.move_to(now, id, Stage::Left, out) {
            self.call_off(id, None, out);
            self.settle(now, id, out);
        }
    }

    fn call_off(&mut self, id: DlId, at: Option<NodeId>, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get(id.0).filter(|_| self.s.cancel) else { return };
        for (number, sent) in dl.pulls.iter().enumerate() {
            if sent.out && at.is_none_or(|node| node == sent.node || node == sent.source) {
                out.call_off(id, number as u32);
            }
        }
    }

    // Health.

    /// Judges node and source by how a pull ended.
    fn judge(&mut self, now: Nanos, dl: &Dl, sent: &Sent, end: &PullEnd, out: &mut impl Outbox) {
        use Outcome::*;
        self.nodes.count_out(sent, -1);
        let origin = self.nodes.origin();
        if sent.overdue && matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
            self.origin.came(now);
        }
        let from_source = match end.remark {
            Remark::SourceRefused | Remark::SourceLost => Some(sent.source),
            Remark::OriginFailed => origin,
            _ => None,
        };
        if end.remark == Remark::OriginFailed || (end.outcome == Refused && Some(sent.source) == origin) {
            self.origin.refused(now);
        }
        let answered = !matches!(end.outcome, TimedOut | Unreachable | CalledOff | NotSent);
        let mean = self.row(&dl.d).mean_work_s;
        if let Some(n) = self.nodes.get_mut(sent.node).filter(|_| answered) {
            n.heard = now;
            // A load report counts as a hit of mean size that took so many times as long.
            if let Some(in_hand) = end.report.in_hand {
                n.saw_pace(now, mean * (in_hand / n.e.weight.max(0.1)).max(1.0), mean);
            }
        }
        match (end.outcome, from_source) {
            (Fulfilled, _) => {
                self.learn(now, dl, sent, end);
                self.mark(now, sent.node, true, false, out);
                if matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
                    self.mark(now, sent.source, true, false, out);
                    if let Some(origin) = origin.filter(|_| end.remark == Remark::FilledFromOrigin) {
                        self.mark(now, origin, true, false, out);
                        let waited_s = end.waited.unwrap_or_default().secs();
                        self.origin.answered(now, waited_s, self.target_s(dl));
                    }
                }
            }
            // An origin that refuses some is overloaded: without it there would be no service at all.
            (Failed | Refused | NotHeld, Some(source)) if Some(source) != origin => {
                self.mark(now, source, false, false, out)
            }
            // All that was on a connection ends with it, which is one failure.
            (Broken | Unreachable, _) if self.nodes.saw_break(now, sent.node) => {
                self.mark(now, sent.node, false, end.outcome == Unreachable, out)
            }
            _ => {}
        }
    }

    /// Counts for or against a node; sets it aside when recent pulls failed too often, whatever the cause.
    fn mark(&mut self, now: Nanos, id: NodeId, worked: bool, died: bool, out: &mut impl Outbox) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        let [ok, failed] = n.saw_end(now, worked);
        // A busy node meets two resets or spoilt answers in a row by chance.
        let row = if died { ROW } else { ROW.max((ROW_SHARE * ok) as u32) };
        if worked {
            (n.on_trial, n.heard) = (false, now);
        } else if n.on_trial || n.in_row >= row || failed >= FAILURES.max(FAILED_SHARE * (ok + failed)) {
            // An origin that still answers some stays: without it there would be no service at all.
            if died || n.in_row >= DEAD_ROW || !self.nodes.is_origin(id) {
                self.set_aside(now, id, died, out);
            }
        }
    }

    /// Sets a node aside for a fixed time and a random part; then it is tried with one pull first. One
    /// that may have died comes back cold, told or not, and is treated so.
    fn set_aside(&mut self, now: Nanos, id: NodeId, died: bool, out: &mut impl Outbox) {
        let aside = ASIDE.after(Nanos::from_secs(ASIDE_SPREAD_S * self.chance.share()));
        let Some(n) = self.nodes.get_mut(id).filter(|n| n.aside_until <= now) else { return };
        n.aside_until = now.after(aside);
        n.on_trial = true;
        n.ended.clear();
        if died {
            (n.started, n.part) = (n.aside_until, Default::default());
        }
        out.note(&format!("node {} set aside for {:.1} s", id.0, aside.secs()));
    }

    /// A pull is overdue. If its node, or its source, answered nothing since it was sent, that is silent: it
    /// is set aside, and what is out there is called off to go elsewhere.
    pub fn timer(&mut self, now: Nanos, token: u64, out: &mut impl Outbox) {
        if token == u64::MAX {
            return out.follow();
        }
        let Some(dl) = self.dls.get((token >> 32) as u32) else { return };
        let waits = dl.stage == Stage::Pulling && dl.rides.is_some() && dl.pulls.iter().all(|p| !p.out);
        if token as u32 == LOOK_AGAIN && waits {
            return self.pull(now, dl.d.dl, out);
        }
        let found = dl.pulls.iter().position(|p| p.out && p.serial == token as u32);
        let Some((number, sent)) = found.map(|at| (at, dl.pulls[at])) else { return };
        let at_origin = self.nodes.is_origin(sent.node) || self.nodes.from_above(&sent);
        if at_origin && !sent.held_only {
            self.origin.overdue(now);
            self.dls.get_mut((token >> 32) as u32).into_iter().for_each(|dl| dl.pulls[number].overdue = true);
        }
        let heard = |id: NodeId| self.nodes.get(id).is_none_or(|n| n.heard >= sent.at || n.aside_until > now);
        // Where the node answers, what is overdue hangs further up: at the source, or at the origin. There it
        // counts only where nothing worked lately: slow is not silent.
        let up = [Some(sent.node), Some(sent.source), self.nodes.origin()].into_iter().flatten();
        let reach = if sent.is_look() { 1 } else { 3 };
        let Some(silent) = up.take(reach).find(|id| !heard(*id)) else { return };
        if silent == sent.node {
            self.set_aside(now, silent, true, out);
        } else if self.nodes.get(silent).is_some_and(|n| n.ended.sums(now)[0] == 0.0) {
            self.mark(now, silent, false, false, out);
        }
        let aside = self.nodes.get(silent).is_some_and(|n| n.aside_until > now);
        let retriable = |dl: &&Dl| dl.under.repeat() == Repeat::Retriable;
        let stuck = self.dls.iter().filter(|dl| aside && dl.stage == Stage::Pulling).filter(retriable);
        for id in stuck.map(|dl| dl.d.dl).collect::<Vec<_>>() {
            self.call_off(id, Some(silent), out);
        }
    }

    // The list of nodes.

    /// The whole list: what is not in it is gone.
    pub fn nodes_listed(&mut self, now: Nanos, entries: &[NodeEntry], out: &mut impl Outbox) {
        self.nodes.unlist_all();
        self.nodes_changed(now, entries, out);
    }

    /// Changed entries. A node that drains or is gone leaves every choice at once (rule 3).
    pub fn nodes_changed(&mut self, _now: Nanos, entries: &[NodeEntry], _out: &mut impl Outbox) {
        self.nodes.relist(entries, |e| Node::new(*e, JUDGED_OVER, BUCKETS));
        self.link.listed(&self.s, self.nodes.caches().map(|n| n.e.weight).sum());
    }

    /// Pulls and fills believed to be out at a node.
    pub fn out_at(&self, id: NodeId) -> u32 {
        self.nodes.get(id).map_or(0, |n| n.out)
    }

    /// A node that left the list so long ago that no download in hand has met it: its slot may be given anew.
    pub fn node_forgotten(&mut self, id: NodeId) {
        self.nodes.forget(id);
    }

    /// A node takes no connection of this dispatcher's before then: it is left out, and has not died.
    pub fn node_turns_away(&mut self, id: NodeId, until: Nanos) {
        self.nodes.get_mut(id).into_iter().for_each(|n| n.aside_until = n.aside_until.max(until));
    }

    /// A call to discovery failed: the old list stands, and the subscription is asked for again.
    pub fn list_failed(&mut self, _now: Nanos, out: &mut impl Outbox) {
        out.arm(ASK_AGAIN, u64::MAX);
    }

    /// An object was purged `age` ago.
    pub fn object_purged(&mut self, now: Nanos, hash: u64, age: Nanos, _out: &mut impl Outbox) {
        self.purges.add(Purged::Object(hash), now.since(age));
    }

    /// A group of objects was purged `age` ago.
    pub fn group_purged(&mut self, now: Nanos, group: u64, age: Nanos, _out: &mut impl Outbox) {
        self.purges.add(Purged::Group(group), now.since(age));
    }

    /// What was told since `age` ago is lost, and may have been purges of anything.
    pub fn purges_lost(&mut self, now: Nanos, age: Nanos) {
        self.purges.add(Purged::Anything, now.since(age));
    }
}
