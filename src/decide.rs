//! Every decision of a dispatcher. An adapter makes one [`Dispatcher`] from the settings, calls `start`,
//! then a method for each thing that happens: `nodes_listed`, `nodes_changed`, `download`, `first_byte`,
//! `pull_ended`, `client_gone`, `timer`, `probed`, `object_purged`, `group_purged`. The module answers
//! through the `Outbox` it is handed, before the call returns. Words and trait: `src/interface.rs`.
//! `download` is the ordinary path (MC3, see docs/design.md); what follows it acts when things fail.

use crate::chance::Chance;
use crate::interface::*;
use crate::purges::Purges;
use crate::recent::Recent;
use crate::ring::Ring;

// MC3's open choices, and the starting values of the design page.
const TABLE: usize = 20_000; // shadow entries
const HORIZON_S: f64 = 20.0; // keep horizon: storage cost is one over it
const MIDDLE_CUT: f64 = 1.0; // of the storage cost
const TOP_CUT: f64 = 4.0;
const MIDDLE_SHARE: f64 = 0.25; // of recent kept fills, middle and top rank together
const TOP_SHARE: f64 = 0.08;
const FILLS_SEEN: Nanos = Nanos(10_000_000_000);
// Health.
const JUDGED_OVER: Nanos = Nanos(2_000_000_000);
const FAILURES: f64 = 3.0; // fewer say nothing of a node
const FAILED_SHARE: f64 = 0.3;
const ASIDE: Nanos = Nanos(3_000_000_000);
const ASIDE_SPREAD_S: f64 = 2.0;
const OVERDUE_STRETCH: f64 = 2.0; // a pull is looked at after this many times its work and
const OVERDUE_SLACK: Nanos = Nanos(300_000_000);
// Load, in transfers for each one that the node's link fits.
const FULL: f64 = 1.5; // the next cache in hash order takes over
const CROWDED: f64 = 2.5; // with all this full, another download only crowds out those begun
const COLD_LOAD: f64 = 0.5; // of what the rule bears, and never over what the node can do
const COME_BACK_S: f64 = 0.2;
const FILL_STRETCH: f64 = 1.5; // fills slower than this crowd the location's link
const FURTHER_FLOOR: f64 = 0.1;
const SMOOTH: f64 = 0.2;
const DEFAULT_WORK_S: f64 = 0.3; // sending time of a content type not yet seen

/// Where a download stands. Every change goes through [`Dispatcher::move_to`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Taken,
    Pulling,
    Streaming,
    Fulfilled,
    Throttled,
    Abandoned,
    Left,
}

#[derive(Debug, Clone, Copy)]
struct PullOut {
    node: NodeId,
    source: NodeId,
    sent: Nanos,
    serial: u32,
    out: bool,
}

#[derive(Debug, Clone)]
struct Dl {
    d: Download,
    stage: Stage,
    work_s: f64,
    keep: Keep,
    pulls: Vec<PullOut>,
    missed_at: Option<NodeId>,              // looked at, and it holds nothing
    first_may_run: Option<(Nanos, NodeId)>, // the first pull that is not proved never to have run
}

/// What MC3 says of a copy.
#[derive(Debug, Clone, Copy, Default)]
struct Keep {
    rank: u8,
    ratio: f64, // hops x rate over storage cost
}

/// A shadow entry.
#[derive(Debug, Clone, Copy, Default)]
struct Shadow {
    copy_hash: u64,
    last: Nanos,
    gap_s: Option<f64>,
    hops: f64,
    held: bool,
    work_s: Option<f64>,
}

/// What differs by content type.
#[derive(Debug, Clone)]
struct TypeRow {
    row: ContentType,
    mean_work_s: f64,
}

#[derive(Debug, Clone)]
struct Node {
    e: NodeEntry,
    listed: bool,
    started: Nanos,
    ended: Ring<2>, // pulls that worked, that failed
    spent: Ring<1>, // sending time while cold
    first_byte_s: Option<f64>,
    out: u32,
    heard: Nanos,
    aside_until: Nanos,
    on_trial: bool,
}

/// One dispatcher's decisions.
#[derive(Debug)]
pub struct Dispatcher {
    s: Settings,
    types: Vec<TypeRow>,
    nodes: Vec<Option<Node>>,
    dls: Vec<Option<Dl>>,
    shadows: Vec<Shadow>,
    order: Recent,
    fills: Ring<20>, // kept fills by the power of two of their ratio
    fills_out: f64,
    fill_limit: f64,
    fill_pace: Ring<2>,
    further: Ring<2>, // further pulls that ended, that worked
    purges: Purges,
    chance: Chance,
    serial: u32,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(s: Settings) -> Self {
        let row = |row: &ContentType| TypeRow { row: row.clone(), mean_work_s: DEFAULT_WORK_S };
        Dispatcher {
            types: s.content_types.iter().map(row).collect(),
            nodes: Vec::new(),
            dls: Vec::new(),
            shadows: Vec::new(),
            order: Recent::default(),
            fills: Ring::new(FILLS_SEEN, 10),
            fills_out: 0.0,
            fill_limit: 0.0,
            fill_pace: Ring::new(JUDGED_OVER, 8),
            further: Ring::new(JUDGED_OVER, 8),
            purges: Purges::default(),
            chance: Chance::new(s.seed),
            serial: 0,
            s,
        }
    }

    /// Whether the settings hold this content type.
    pub fn knows_type(&self, id: TypeId) -> bool {
        (id.0 as usize) < self.types.len()
    }

    /// The dispatcher comes up.
    pub fn start(&mut self, _now: Nanos, out: &mut impl Outbox) {
        if self.s.list_is_asked {
            out.follow();
        }
    }

    /// A download has come: the ordinary path, top to bottom.
    pub fn download(&mut self, now: Nanos, d: &Download, out: &mut impl Outbox) {
        let uncacheable = self.types[d.content_type.0 as usize].row.uncacheable;
        let (keep, work_s) = if uncacheable {
            out.release_object(d.object);
            (Keep::default(), self.work_s(d, None))
        } else {
            let shadow = self.count(now, d, out);
            (self.keep(&shadow), self.work_s(d, shadow.work_s))
        };
        let dl = Dl {
            d: *d,
            stage: Stage::Taken,
            work_s,
            keep,
            pulls: Vec::new(),
            missed_at: None,
            first_may_run: None,
        };
        let at = d.dl.0 as usize;
        if at >= self.dls.len() {
            self.dls.resize(at + 1, None);
        }
        self.dls[at] = Some(dl);
        self.pull(now, d.dl, out);
    }

    /// Chooses node and source and sends; gives the download up at once where nothing can take it.
    /// A cache is looked at before a fill is asked of it, so that every fill is known as one when it is
    /// decided: the location's link, cold parents and the origin are only asked for what they can bear.
    fn pull(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = self.dls[id.0 as usize].clone() else { return };
        let row = &self.types[dl.d.content_type.0 as usize];
        let (uncacheable, fades, mean) = (row.row.uncacheable, row.row.fresh_for.is_some(), row.mean_work_s);
        let chosen = match dl.missed_at {
            _ if uncacheable => self.runs_at(now, &dl),
            Some(node) => self.source(now, &dl).map(|source| (node, source)),
            None => self.edge(now, &dl).map(|node| (node, node)),
        };
        let Some((node, source)) = chosen else { return self.give_up(now, id, out) };
        let pull = Pull {
            node,
            source,
            try_for: None,
            rank: dl.keep.rank,
            max_age: self.max_age(now, &dl.d),
            join: self.s.joins && dl.pulls.len() < 2,
            no_parent_copy: dl.keep.rank == 3 && self.is_parent(source) && node != source,
            renew: dl.keep.rank >= 2 && fades,
        };
        self.serial = self.serial.wrapping_add(1);
        let sent = PullOut { node, source, sent: now, serial: self.serial, out: true };
        self.move_to(id, Stage::Pulling, out);
        for n in self.asked(&sent) {
            n.spent.add(now, 0, mean);
            n.out += 1;
        }
        self.fills_out += f64::from(u8::from(node != source));
        if let Some(dl) = &mut self.dls[id.0 as usize] {
            dl.pulls.push(sent);
        }
        out.pull(id, &pull);
        let look = Nanos::from_secs(dl.work_s * OVERDUE_STRETCH).after(OVERDUE_SLACK);
        out.arm(look, u64::from(id.0) << 32 | u64::from(sent.serial));
    }

    // MC3.

    /// Counts a request in the shadow table and returns the entry.
    fn count(&mut self, now: Nanos, d: &Download, out: &mut impl Outbox) -> Shadow {
        let at = d.object.0 as usize;
        if at >= self.shadows.len() {
            self.shadows.resize(at + 1, Shadow::default());
        }
        if !self.order.holds(d.object.0) {
            self.shadows[at] = Shadow { copy_hash: d.copy_hash, last: now, hops: 2.0, ..Shadow::default() };
            if self.order.len() >= TABLE
                && let Some(old) = self.order.drop_oldest()
            {
                out.release_object(ObjectId(old));
            }
        } else {
            let entry = &mut self.shadows[at];
            let gap = now.since(entry.last).secs().max(1e-3);
            // After twice the estimate without requests, the estimate is the gap so far.
            let old = entry.gap_s.map_or(gap, |old| if gap > 2.0 * old { gap } else { old });
            entry.gap_s = Some(0.5 * gap + 0.5 * old);
            entry.last = now;
        }
        self.order.touch(d.object.0);
        self.shadows[at]
    }

    /// Benefit and rank: keep where hops x rate exceeds storage cost.
    fn keep(&mut self, shadow: &Shadow) -> Keep {
        let Some(gap_s) = shadow.gap_s else { return Keep::default() };
        let storage_cost = 1.0 / HORIZON_S;
        let rate = f64::from(self.s.zone_dispatchers.max(1)) / gap_s;
        let keep_benefit = shadow.hops * rate - storage_cost;
        let ratio = shadow.hops * rate / storage_cost;
        if keep_benefit <= 0.0 {
            // The lowest rank for a copy that is held; a miss passes unkept.
            return Keep { rank: u8::from(shadow.held), ratio };
        }
        let upper = |cut: f64, share: f64, fills: &[f64; 20]| {
            let all: f64 = fills.iter().sum();
            let over: f64 = fills[power(ratio)..].iter().sum();
            keep_benefit > cut * storage_cost && over < share * all
        };
        let fills = self.fills.sums(shadow.last);
        let rank = if upper(TOP_CUT, TOP_SHARE, &fills) {
            3
        } else if upper(MIDDLE_CUT, MIDDLE_SHARE, &fills) {
            2
        } else {
            1
        };
        Keep { rank, ratio }
    }

    /// The answer tells how far the closest held copy was; a hit keeps the hops of the last fill.
    fn learn(&mut self, now: Nanos, dl: &Dl, pull: &PullOut, end: &PullEnd) {
        let row = &mut self.types[dl.d.content_type.0 as usize];
        let own_s = match (dl.d.size_kb, end.remark) {
            (Some(kb), _) if self.s.client_kb_per_s > 0.0 => Some(kb / self.s.client_kb_per_s),
            (_, Remark::Hit) => Some(end.took.secs()),
            _ => None,
        };
        if let Some(own_s) = own_s {
            row.mean_work_s += 0.02 * (own_s - row.mean_work_s);
        }
        if row.row.uncacheable {
            return;
        }
        if dl.keep.rank > 0 && matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
            self.fills.add(now, power(dl.keep.ratio), 1.0);
        }
        let from_origin = Some(pull.source) == self.origin();
        let fills_told = self.s.fills_told;
        let shadow = &mut self.shadows[dl.d.object.0 as usize];
        if shadow.copy_hash != dl.d.copy_hash {
            return; // the slot was given to another object meanwhile
        }
        match end.remark {
            Remark::FilledFromOrigin => shadow.hops = 2.0,
            // Where fills by way of the origin are not told, the source that was named stands in.
            Remark::FilledFromCopy => shadow.hops = if from_origin && !fills_told { 2.0 } else { 1.0 },
            _ => {}
        }
        shadow.held = end.remark == Remark::Hit || dl.keep.rank > 0;
        if let Some(own_s) = own_s {
            shadow.work_s = Some(shadow.work_s.map_or(own_s, |w| w.min(own_s)));
        }
    }

    /// Sending time of a download: by its size, else by what its object or content type took.
    fn work_s(&self, d: &Download, seen: Option<f64>) -> f64 {
        match d.size_kb {
            Some(kb) if self.s.client_kb_per_s > 0.0 => kb / self.s.client_kb_per_s,
            _ => seen.unwrap_or(self.types[d.content_type.0 as usize].mean_work_s),
        }
    }

    // Where it goes.

    fn node(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(id.0 as usize)?.as_mut()
    }

    /// The nodes that a pull may put work on.
    fn asked(&mut self, pull: &PullOut) -> impl Iterator<Item = &mut Node> {
        let (node, source) = (pull.node, pull.source);
        self.nodes.iter_mut().flatten().filter(move |n| n.e.node == node || n.e.node == source)
    }

    fn is_parent(&self, id: NodeId) -> bool {
        self.nodes[id.0 as usize].as_ref().is_some_and(|n| Some(n.e.kind) == self.s.parent_kind)
    }

    fn origin(&self) -> Option<NodeId> {
        let mut known = self.nodes.iter().flatten();
        known.find(|n| n.listed && Some(n.e.kind) == self.s.origin_kind).map(|n| n.e.node)
    }

    /// May this node be sent something now? Listed, not set aside, and with room if it is cold.
    fn open(&mut self, now: Nanos, id: NodeId, work_s: f64) -> bool {
        let parent = self.is_parent(id);
        let s = &self.s;
        let (share, cold_for, multiple, sharers) = if parent {
            (s.parent_cold_share, s.parent_cold_for, s.parent_fall_multiple, s.dispatchers)
        } else {
            (s.cold_share, s.cold_for, s.fall_multiple, s.zone_dispatchers)
        };
        let window = s.fall_for;
        let Some(n) = self.node(id) else { return false };
        if !n.listed || n.aside_until > now || (n.on_trial && n.out > 0) {
            return false;
        }
        let age = now.since(n.started);
        if n.started == Nanos::ZERO || age >= cold_for {
            return true;
        }
        // A cold node bears multiple x present capacity x window from all dispatchers together. Each keeps
        // to its own part of what the node can do, so they need no agreement and sizes may be rough.
        let present = share + (1.0 - share) * age.since(window).secs() / cold_for.secs();
        let room = (multiple * COLD_LOAD).min(1.0) * present * n.e.weight * window.secs();
        n.spent.sums(now)[0] + work_s <= room / f64::from(sharers.max(1))
    }

    fn load(&self, id: NodeId) -> f64 {
        let node = self.nodes.get(id.0 as usize).and_then(Option::as_ref);
        node.map_or(0.0, |n| f64::from(n.out * self.s.zone_dispatchers.max(1)) / n.e.weight.max(0.1))
    }

    /// The object's hash picks the edge cache (highest random weight, by size); the next in hash order
    /// takes over where it is not open, full, or was tried.
    fn edge(&mut self, now: Nanos, dl: &Dl) -> Option<NodeId> {
        let mut caches: Vec<(f64, NodeId)> = Vec::new();
        for n in self.nodes.iter().flatten() {
            let cache = Some(n.e.kind) != self.s.parent_kind && Some(n.e.kind) != self.s.origin_kind;
            if cache && n.listed && n.e.zone == self.s.zone {
                let share = (mix(dl.d.copy_hash ^ n.e.hash) >> 11) as f64 / (1_u64 << 53) as f64;
                caches.push((-(share.max(1e-18)).ln() / n.e.weight.max(0.01), n.e.node));
            }
        }
        caches.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mean = self.types[dl.d.content_type.0 as usize].mean_work_s;
        let tried = |id: NodeId| dl.pulls.iter().any(|p| p.node == id);
        let mut open: Vec<NodeId> = Vec::new();
        for (_, id) in &caches {
            if self.may_repeat_at(now, dl, *id) && self.open(now, *id, mean) {
                open.push(*id);
            }
        }
        let fresh = open.iter().copied().find(|id| !tried(*id) && self.load(*id) < FULL);
        let least = || open.iter().copied().min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
        fresh.or_else(least).filter(|id| self.load(*id) < CROWDED)
    }

    /// The location's link divides itself among all fills, so one too many makes all of them late. Each
    /// dispatcher keeps its own fills under a limit that follows how slow they run; as it comes near,
    /// what MC3 would not keep and what is large for its type is let go first.
    fn link_has_room(&mut self, dl: &Dl) -> bool {
        if self.fill_limit == 0.0 {
            let caches = self.nodes.iter().flatten().filter(|n| n.e.zone == self.s.zone);
            let (told, pace) = (self.s.link_kb_per_s, self.s.client_kb_per_s);
            let size = if told > 0.0 { told / pace } else { 0.5 * caches.map(|n| n.e.weight).sum::<f64>() };
            self.fill_limit = (size / f64::from(self.s.zone_dispatchers.max(1))).max(1.0);
        }
        let mean = self.types[dl.d.content_type.0 as usize].mean_work_s;
        let unkept = if dl.keep.rank == 0 { 1.25 } else { 1.0 };
        self.fills_out * unkept * (dl.work_s / mean).clamp(0.25, 4.0).sqrt().max(1.0) < self.fill_limit
    }

    /// Follows how slow fills run: down when they take too long for their size, up when the limit binds.
    fn fill_ended(&mut self, now: Nanos, work_s: f64, end: &PullEnd) {
        let took = end.took.secs() - end.waited.unwrap_or_default().secs();
        self.fill_pace.add(now, 0, took.max(0.0));
        self.fill_pace.add(now, 1, work_s);
        let [took, work] = self.fill_pace.sums(now);
        if took > FILL_STRETCH * work {
            self.fill_limit = (self.fill_limit * 0.97).max(1.0);
        } else if self.fills_out > 0.7 * self.fill_limit {
            self.fill_limit += 0.1;
        }
    }

    /// The better of the first two open parents in hash order, by smoothed time to first byte; with none
    /// open the origin.
    fn source(&mut self, now: Nanos, dl: &Dl) -> Option<NodeId> {
        if !self.link_has_room(dl) {
            return None;
        }
        let mut parents: Vec<(u64, NodeId)> = Vec::new();
        for n in self.nodes.iter().flatten() {
            if n.listed && Some(n.e.kind) == self.s.parent_kind {
                parents.push((mix(dl.d.copy_hash ^ n.e.hash), n.e.node));
            }
        }
        parents.sort();
        let mean = self.types[dl.d.content_type.0 as usize].mean_work_s;
        let failed = |id: NodeId| dl.pulls.iter().any(|p| p.source == id);
        let mut two: Vec<NodeId> = Vec::new();
        for (_, id) in &parents {
            if two.len() < 2 && self.open(now, *id, mean) {
                two.push(*id);
            }
        }
        let first_byte = |id: &NodeId| {
            let node = self.nodes[id.0 as usize].as_ref();
            (failed(*id), node.and_then(|n| n.first_byte_s).unwrap_or(0.0))
        };
        let best = two.iter().copied().min_by(|a, b| {
            let (a, b) = (first_byte(a), first_byte(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        best.or_else(|| self.origin().filter(|id| self.open(now, *id, mean)))
    }

    /// An uncacheable download runs at the origin: straight, or through a parent if that fails.
    fn runs_at(&mut self, now: Nanos, dl: &Dl) -> Option<(NodeId, NodeId)> {
        let origin = self.origin()?;
        if dl.first_may_run.is_some() {
            return None;
        }
        if self.s.direct && dl.pulls.iter().all(|p| p.node != origin) {
            return Some((origin, origin));
        }
        let parent = self.source(now, dl).filter(|id| *id != origin);
        match parent {
            Some(parent) if self.s.direct => Some((parent, origin)),
            _ => self.edge(now, dl).map(|node| (node, origin)),
        }
    }

    /// Rule 2 for a further pull: what may have run goes again only where repeats are harmless.
    fn may_repeat_at(&self, now: Nanos, dl: &Dl, id: NodeId) -> bool {
        let Some((sent, first)) = dl.first_may_run else { return true };
        let entry = |id: NodeId| self.nodes[id.0 as usize].as_ref().map(|n| n.e);
        let (Some(a), Some(b)) = (entry(first), entry(id)) else { return false };
        match self.types[dl.d.content_type.0 as usize].row.repeat {
            Repeat::Retriable => true,
            Repeat::NonRetriable => false,
            Repeat::Deduped { scope, window } => {
                now.since(sent) < window
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == b.zone,
                        DedupScope::Cell => a.cell == b.cell,
                    }
            }
        }
    }

    /// Rule 5: no copy older than a purge, for as long as such copies may lie about.
    fn max_age(&mut self, now: Nanos, d: &Download) -> Option<Nanos> {
        self.purges.forget(now, self.s.purge_done.after(self.s.purge_notice));
        let since = now.since(self.purges.last(d.object_hash, d.group)?);
        let fresh = self.types[d.content_type.0 as usize].row.fresh_for;
        Some(Nanos(since.0.min(fresh.map_or(u64::MAX, |f| f.0)).max(1_000)))
    }

    // What comes back.

    /// A stream has begun: the download is bound to this pull.
    pub fn first_byte(&mut self, now: Nanos, id: DlId, number: u32, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get(id.0 as usize).and_then(Option::as_ref) else { return };
        let node = dl.pulls.get(number as usize).map(|p| p.node);
        if let Some(n) = node.and_then(|node| self.node(node)) {
            n.heard = now;
        }
        self.move_to(id, Stage::Streaming, out);
    }

    /// A pull has ended.
    pub fn pull_ended(&mut self, now: Nanos, id: DlId, number: u32, end: &PullEnd, out: &mut impl Outbox) {
        let Some(dl) = self.dls.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        let Some(pull) = dl.pulls.get_mut(number as usize).filter(|p| p.out) else { return };
        pull.out = false;
        let pull = *pull;
        let never_ran = matches!(
            end.outcome,
            Outcome::Refused | Outcome::Unreachable | Outcome::NotSent | Outcome::NotHeld
        );
        if !never_ran && end.outcome != Outcome::Fulfilled && dl.first_may_run.is_none() {
            dl.first_may_run = Some((pull.sent, pull.node));
        }
        let dl = dl.clone();
        self.judge(now, &pull, end, out);
        if pull.node != pull.source {
            self.fills_out -= 1.0;
            if end.outcome != Outcome::CalledOff {
                self.fill_ended(now, dl.work_s, end);
            }
        }
        if end.outcome == Outcome::Fulfilled {
            self.learn(now, &dl, &pull, end);
        }
        let missed = end.outcome == Outcome::NotHeld && pull.node == pull.source;
        if number > 0 && end.outcome != Outcome::CalledOff && !missed && dl.missed_at.is_none() {
            self.further.add(now, usize::from(end.outcome == Outcome::Fulfilled), 1.0);
        }
        if end.closed {
            let served = end.outcome == Outcome::Fulfilled;
            self.move_to(id, if served { Stage::Fulfilled } else { Stage::Left }, out);
        } else if dl.stage == Stage::Pulling && dl.pulls.iter().all(|p| !p.out) {
            if let Some(dl) = self.dls[id.0 as usize].as_mut() {
                dl.missed_at = missed.then_some(pull.node);
            }
            if missed { self.pull(now, id, out) } else { self.go_on(now, id, out) }
        }
        self.settle(id, out);
    }

    /// No pull is out and the download is still owed an answer: a further pull, or its final answer now.
    fn go_on(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = self.dls[id.0 as usize].clone() else { return };
        let left = dl.d.expires.since(now).secs();
        let [ended, worked] = self.further.sums(now);
        // Further pulls follow the share of recent ones that worked, so that a wide failure brings no storm.
        let share = ((worked + 2.0) / (ended + worked + 2.0)).max(FURTHER_FLOOR);
        let worth_it = left > dl.work_s && dl.pulls.len() < self.s.max_pulls as usize;
        if worth_it && self.chance.share() < share {
            self.pull(now, id, out);
        } else {
            self.give_up(now, id, out);
        }
    }

    /// Gives up at once: throttled where trying again is harmless, else abandoned.
    fn give_up(&mut self, now: Nanos, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = &self.dls[id.0 as usize] else { return };
        let harmless = match self.types[dl.d.content_type.0 as usize].row.repeat {
            Repeat::Retriable => true,
            Repeat::Deduped { scope: DedupScope::All, .. } => true,
            _ => dl.first_may_run.is_none(),
        };
        let in_time = dl.d.expires > now;
        self.move_to(id, if harmless && in_time { Stage::Throttled } else { Stage::Abandoned }, out);
        self.settle(id, out);
    }

    /// The one place where a download changes its stage, and the only one that sends final answers.
    fn move_to(&mut self, id: DlId, to: Stage, out: &mut impl Outbox) -> bool {
        use Stage::*;
        let Some(dl) = self.dls.get_mut(id.0 as usize).and_then(Option::as_mut) else { return false };
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
        match to {
            Throttled => {
                let advice = Nanos::from_secs(COME_BACK_S * (1.0 + self.chance.share()));
                out.throttle(id, self.s.come_back.then_some(advice.min(self.s.max_come_back)));
            }
            Abandoned => out.abandon(id),
            _ => {}
        }
        true
    }

    /// Calls off what is still out for an answered download and lets go of it once all is in.
    fn settle(&mut self, id: DlId, out: &mut impl Outbox) {
        let Some(dl) = &self.dls[id.0 as usize] else { return };
        if matches!(dl.stage, Stage::Taken | Stage::Pulling | Stage::Streaming) {
            return;
        }
        if dl.pulls.iter().all(|p| !p.out) {
            self.dls[id.0 as usize] = None;
            out.release(id);
        }
    }

    /// Nobody waits for this download any more.
    pub fn client_gone(&mut self, _now: Nanos, id: DlId, out: &mut impl Outbox) {
        if self.move_to(id, Stage::Left, out) {
            self.call_off(id, None, out);
            self.settle(id, out);
        }
    }

    fn call_off(&mut self, id: DlId, at: Option<NodeId>, out: &mut impl Outbox) {
        let Some(dl) = &self.dls[id.0 as usize] else { return };
        for (number, pull) in dl.pulls.iter().enumerate() {
            if self.s.cancel && pull.out && at.is_none_or(|node| node == pull.node) {
                out.call_off(id, number as u32);
            }
        }
    }

    // Health.

    /// Judges node and source by how a pull ended.
    fn judge(&mut self, now: Nanos, pull: &PullOut, end: &PullEnd, out: &mut impl Outbox) {
        for n in self.asked(pull) {
            n.out = n.out.saturating_sub(1);
        }
        let origin = self.origin();
        let from_source = match end.remark {
            Remark::SourceRefused | Remark::SourceLost => Some(pull.source),
            Remark::OriginFailed => origin,
            _ => None,
        };
        let answered = !matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::Unreachable | Outcome::CalledOff | Outcome::NotSent
        );
        if answered && let Some(n) = self.node(pull.node) {
            n.heard = now;
        }
        match (end.outcome, from_source) {
            (Outcome::Fulfilled, _) => {
                self.mark(now, pull.node, true, false, out);
                if pull.source != pull.node
                    && matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin)
                {
                    self.mark(now, pull.source, true, false, out);
                    if let (Some(waited), Some(n)) = (end.waited, self.node(pull.source)) {
                        n.heard = now;
                        let old = n.first_byte_s.unwrap_or(waited.secs());
                        n.first_byte_s = Some(old + SMOOTH * (waited.secs() - old));
                    }
                }
            }
            (Outcome::Failed | Outcome::Refused | Outcome::NotHeld, Some(source)) => {
                self.mark(now, source, false, false, out);
            }
            (Outcome::Failed, None) => self.mark(now, pull.node, false, false, out),
            (Outcome::Broken | Outcome::Unreachable, _) => self.mark(now, pull.node, false, true, out),
            _ => {}
        }
    }

    /// Counts for or against a node; sets it aside when recent pulls failed too often, whatever the cause.
    fn mark(&mut self, now: Nanos, id: NodeId, worked: bool, died: bool, out: &mut impl Outbox) {
        let Some(n) = self.node(id) else { return };
        n.ended.add(now, usize::from(!worked), 1.0);
        let [ok, failed] = n.ended.sums(now);
        if worked {
            n.on_trial = false;
        } else if n.on_trial || (failed >= FAILURES && failed > FAILED_SHARE * (ok + failed)) {
            self.set_aside(now, id, died, out);
        }
    }

    /// Sets a node aside for a fixed time and a random part; then it is tried with one pull first. One
    /// that may have died comes back cold, told or not, and is treated so.
    fn set_aside(&mut self, now: Nanos, id: NodeId, died: bool, out: &mut impl Outbox) {
        let aside = ASIDE.after(Nanos::from_secs(ASIDE_SPREAD_S * self.chance.share()));
        let Some(n) = self.node(id).filter(|n| n.aside_until <= now) else { return };
        n.aside_until = now.after(aside);
        n.on_trial = true;
        n.ended.clear();
        if died {
            n.started = n.aside_until;
        }
        out.note(&format!("node {} set aside for {:.1} s", id.0, aside.secs()));
    }

    /// A pull is overdue. If its node answered nothing since it was sent, the node is silent: it is set
    /// aside, and what is out there is called off to go elsewhere.
    pub fn timer(&mut self, now: Nanos, token: u64, out: &mut impl Outbox) {
        let (at, serial) = ((token >> 32) as usize, token as u32);
        let Some(dl) = self.dls.get(at).and_then(Option::as_ref) else { return };
        let Some(pull) = dl.pulls.iter().find(|p| p.out && p.serial == serial).copied() else { return };
        let Some(n) = self.node(pull.node) else { return };
        if n.heard >= pull.sent || n.aside_until > now {
            return;
        }
        self.set_aside(now, pull.node, true, out);
        for at in 0..self.dls.len() {
            let Some(dl) = &self.dls[at] else { continue };
            let again = self.types[dl.d.content_type.0 as usize].row.repeat == Repeat::Retriable;
            if again && dl.stage == Stage::Pulling {
                self.call_off(DlId(at as u32), Some(pull.node), out);
            }
        }
    }

    /// A health check has come back.
    pub fn probed(&mut self, _: Nanos, _: NodeId, _: bool, _: Nanos, _: &Load, _: &mut impl Outbox) {}

    // The list of nodes.

    /// The whole list: what is not in it is gone.
    pub fn nodes_listed(&mut self, now: Nanos, entries: &[NodeEntry], out: &mut impl Outbox) {
        for n in self.nodes.iter_mut().flatten() {
            n.listed = false;
        }
        self.nodes_changed(now, entries, out);
    }

    /// Changed entries. A node that drains or is gone leaves every choice at once (rule 3).
    pub fn nodes_changed(&mut self, _now: Nanos, entries: &[NodeEntry], _out: &mut impl Outbox) {
        for e in entries {
            let at = e.node.0 as usize;
            if at >= self.nodes.len() {
                self.nodes.resize(at + 1, None);
            }
            let fall_for = self.s.fall_for;
            let n = self.nodes[at].get_or_insert_with(|| Node {
                e: *e,
                listed: false,
                started: Nanos::ZERO,
                ended: Ring::new(JUDGED_OVER, 8),
                spent: Ring::new(fall_for, 10),
                first_byte_s: None,
                out: 0,
                heard: Nanos::ZERO,
                aside_until: Nanos::ZERO,
                on_trial: false,
            });
            if e.started > n.e.started {
                (n.aside_until, n.on_trial, n.started) = (Nanos::ZERO, false, e.started);
            }
            n.started = n.started.max(e.started);
            n.e = *e;
            n.listed = e.readiness == Readiness::Ready;
        }
    }

    /// A call to discovery failed: the old list stands, and the subscription is asked for again.
    pub fn list_failed(&mut self, _now: Nanos, out: &mut impl Outbox) {
        out.follow();
    }

    /// An object was purged `age` ago.
    pub fn object_purged(&mut self, now: Nanos, hash: u64, age: Nanos, _out: &mut impl Outbox) {
        self.purges.add(hash, false, Nanos(now.0.saturating_sub(age.0)));
    }

    /// A group of objects was purged `age` ago.
    pub fn group_purged(&mut self, now: Nanos, group: u64, age: Nanos, _out: &mut impl Outbox) {
        self.purges.add(group, true, Nanos(now.0.saturating_sub(age.0)));
    }
}

/// The power of two of a ratio, as a place among the counted fills.
fn power(ratio: f64) -> usize {
    (ratio.max(1.0).log2() as usize).min(19)
}
