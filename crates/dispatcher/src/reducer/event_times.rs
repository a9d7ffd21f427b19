//! Places node starts and purges, which the change log gives as Unix times, on the dispatcher's monotonic
//! clock.

use super::*;

/// An event delivered live happened no longer ago than this: events reach every dispatcher within 7 s, and a
/// line takes up to 1 s. A larger age means that the event's time is wrong.
const MAX_LIVE_AGE: Nanos = Nanos(8_000_000_000);
/// Events count as live if they arrive no longer than this after the change log was last caught up; it sends
/// a heartbeat every second.
const MAX_LIVE_GAP: Nanos = Nanos(2_000_000_000);
/// A recorded start is corrected only if it moves by more than this.
const MIN_START_SHIFT: Nanos = Nanos(100_000_000);

impl Reducer {
    /// Whether an event received now has just happened, and is neither delayed nor a repetition after a
    /// reconnect.
    pub(super) fn is_live(&self, now: Nanos) -> bool {
        let may_be_delayed = self.heartbeats.may_have_been_delayed(now)
            || !self.heartbeats.are_on_time(now, DEFAULT_PROPAGATION_BOUND);
        self.change_log.is_caught_up()
            && !may_be_delayed
            && now.since(self.change_log.last_caught_up()) <= MAX_LIVE_GAP
    }

    /// The minimum age of something that happened at Unix millisecond `happened_ms`, and whether its time
    /// must be wrong. An event delivered live whose time must be wrong counts as having happened now.
    fn age(&self, now: Nanos, happened_ms: u64, is_live: bool) -> (Nanos, bool) {
        let age = self.external_time.min_age(now, happened_ms);
        let is_doubted = is_live && age > MAX_LIVE_AGE;
        (if is_doubted { Nanos::ZERO } else { age }, is_doubted)
    }

    /// The minimum age of a purge.
    pub(super) fn purge_age(&self, now: Nanos, purged_ms: u64) -> Nanos {
        self.age(now, purged_ms, self.is_live(now)).0
    }

    /// When a listed node started, on the dispatcher's clock: the earliest possible time, but no later than
    /// its start was first received.
    pub(super) fn node_start(&self, now: Nanos, listed: &ListedNode, is_live: bool) -> Option<NodeStart> {
        let unix_ms = listed.started_ms.filter(|ms| *ms > 0)?;
        let known = self.request_table.node_start(&listed.id);
        if let Some(unchanged) = known.filter(|known| known.unix_ms == unix_ms) {
            return Some(unchanged);
        }
        let (age, is_doubted) = self.age(now, unix_ms, is_live);
        let at = now.since(age).max(Nanos(1));
        let at = match known {
            // Of two starts of a node, their own Unix times tell which is later.
            Some(known) if unix_ms > known.unix_ms => at.max(known.at.after(Nanos(1))),
            Some(known) => at.min(known.at),
            None => at,
        };
        Some(NodeStart { unix_ms, at, is_doubted })
    }

    /// As the estimate of external time improves, moves starts that turn out to be longer ago than recorded.
    pub(super) fn correct_starts(&mut self, now: Nanos) {
        let external_time = &self.external_time;
        let corrected = |start: &NodeStart| {
            let at = now.since(external_time.min_age(now, start.unix_ms)).max(Nanos(1));
            (!start.is_doubted && at.after(MIN_START_SHIFT) < start.at).then_some(at)
        };
        for (node, at) in self.request_table.move_starts(corrected) {
            self.routing.node_started_earlier(node, at);
        }
    }
}
