//! When what the change log tells of happened on the dispatcher's own clock: starts of nodes, and purges.

use super::*;

/// What was told live happened no longer ago: events reach every dispatcher within 7 s, and a line is a second on its
/// way. A number that says otherwise is wrong.
const LATEST_NEWS: Nanos = Nanos(8_000_000_000);
/// What comes so long after the log last told all, with its line a second, comes live.
const LIVE_WITHIN: Nanos = Nanos(2_000_000_000);
/// Starts are moved where that is by more than this.
const MOVED_BY: Nanos = Nanos(100_000_000);

impl Reducer {
    /// Whether what the change log tells now has just happened, and is told neither late nor anew.
    pub(super) fn is_live(&self, now: Nanos) -> bool {
        let waited = self.heartbeats.may_have_been_delayed(now) || !self.heartbeats.are_on_time(now, SLACK);
        self.log.is_caught_up() && !waited && now.since(self.log.told_all()) <= LIVE_WITHIN
    }

    /// How long ago something happened at a Unix millisecond of the outside's, at the least; and whether that is too long
    /// to be true of what was told live.
    fn age(&self, now: Nanos, happened_ms: u64, is_live: bool) -> (Nanos, bool) {
        let age = self.external_time.min_age(now, happened_ms);
        let is_doubted = is_live && age > LATEST_NEWS;
        (if is_doubted { Nanos::ZERO } else { age }, is_doubted)
    }

    /// How long ago a purge was, at the least.
    pub(super) fn purge_age(&self, now: Nanos, purged_ms: u64) -> Nanos {
        self.age(now, purged_ms, self.is_live(now)).0
    }

    /// When a node started, at the earliest, as its line tells it: no later than that was first heard.
    pub(super) fn start_of(&self, now: Nanos, listed: &ListedNode, is_live: bool) -> Option<NodeStart> {
        let unix_ms = listed.started_ms.filter(|ms| *ms > 0)?;
        let before = self.request_table.start(&listed.id);
        if let Some(same) = before.filter(|before| before.unix_ms == unix_ms) {
            return Some(same);
        }
        let (age, is_doubted) = self.age(now, unix_ms, is_live);
        let at = now.since(age).max(Nanos(1));
        let at = match before {
            // Which start is the later one, their own numbers tell.
            Some(before) if unix_ms > before.unix_ms => at.max(before.at.after(Nanos(1))),
            Some(before) => at.min(before.at),
            None => at,
        };
        Some(NodeStart { unix_ms, at, is_doubted })
    }

    /// As more is known of what time it is outside, what had started earlier than could be sure is moved there.
    pub(super) fn place_starts(&mut self, now: Nanos) {
        let outside = &self.external_time;
        let moved = |start: &NodeStart| {
            let at = now.since(outside.min_age(now, start.unix_ms)).max(Nanos(1));
            (!start.is_doubted && at.after(MOVED_BY) < start.at).then_some(at)
        };
        for (node, at) in self.request_table.starts_moved(moved) {
            self.module.node_started_earlier(node, at);
        }
    }
}
