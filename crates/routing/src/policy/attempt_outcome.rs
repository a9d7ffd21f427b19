//! What the end of an attempt, or that it does not end, teaches.

use super::*;

impl Dispatcher {
    /// A stream has begun: the request is bound to this attempt.
    pub fn first_byte(&mut self, now: Nanos, id: RequestId, number: u32, out: &mut impl Actions) {
        let node =
            self.requests.get(id.0).and_then(|request| request.attempts.get(number as usize)).map(|p| p.node);
        node.and_then(|node| self.nodes.get_mut(node)).into_iter().for_each(|n| n.heard = now);
        self.move_to(now, id, Stage::Streaming, out);
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: u32,
        end: &AttemptEnd,
        out: &mut impl Actions,
    ) {
        let Some(request) = self.requests.get_mut(id.0) else { return };
        let Some(sent) = request.attempts.get_mut(number as usize).filter(|p| p.out) else { return };
        (sent.out, sent.left) = (false, end.outcome != Outcome::NotSent);
        sent.reached = !matches!(end.outcome, Outcome::NotSent | Outcome::Unreachable);
        let sent = *sent;
        use Outcome::{Cancelled, Failed, Missed, NotSent, Refused, Served, Unreachable};
        let missed = end.outcome == Missed && sent.is_look();
        // A cache elsewhere that lacks the copy leaves the parents to fill it: that was no fill.
        let lacks = end.remark == Remark::SourceHasNone && !sent.is_look() && !self.nodes.from_above(&sent);
        let filled = request.attempts.iter().take(number as usize).any(|p| self.nodes.from_above(p));
        let again =
            (filled || (number > 0 && request.missed_at.is_none())) && !missed && end.outcome != Cancelled;
        let worked = end.outcome == Served;
        let never_ran = matches!(end.outcome, Refused | Unreachable | NotSent | Missed);
        if !worked && !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((sent.at, sent.node));
        }
        // An error may lie in what is asked for: it counts once another node could make use of that. Guards
        // against clients that ask for nonsense; harms where all nodes err, as then none is left out.
        let erred = (end.outcome == Failed && end.remark == Remark::None).then_some(sent.node);
        let blamed = if worked || end.outcome == Missed { request.erred_at.take() } else { None };
        request.erred_at = erred.or(request.erred_at);
        request.missed_at = (missed || lacks).then_some(sent.node);
        // Where fills can't be shared, one under way for another request is waited for, not made twice.
        request.rides =
            (missed && end.remark == Remark::Joined && !self.s.coalesces_fills).then_some(sent.node);
        let request = request.clone();
        if !sent.is_look() {
            self.fill_ended(now, &request, &sent, end);
        }
        self.judge(now, &request, &sent, end, out);
        blamed.into_iter().for_each(|node| self.mark(now, node, false, false, out));
        if again {
            self.further.add(now, usize::from(!worked), 1.0);
        }
        if end.completes_request {
            self.move_to(now, id, if worked { Stage::Served } else { Stage::ClientGone }, out);
        } else if request.stage == Stage::Attempting && request.attempts.iter().all(|p| !p.out) {
            // Further attempts follow the share of recent ones that worked, so a wide failure brings no storm.
            let [worked, failed] = self.further.sums(now);
            let share = ((worked + 2.0) / (worked + failed + 2.0)).max(FURTHER_FLOOR);
            let in_time = request.routing_request.deadline.since(now).secs() > request.work_s;
            let storm = self
                .storm
                .as_ref()
                .map_or(1.0, |storm| storm.retry_share(request.routing_request.content_type));
            let attempts = request.attempts.len() + usize::from(request.reservation.earlier_attempts);
            let most = request.pinned.max_attempts();
            let allowed = in_time && attempts < most;
            // What a parent lacks, or the origin refused or failed, is to be had nowhere else.
            let nowhere = (end.outcome == Missed && !missed && !lacks) || end.remark == Remark::OriginFailed;
            // The look after it leaves room for a fill of its own.
            let wait = if request.rides.is_some() {
                self.fill_usual_s * (0.5 + self.random.next_f64())
            } else {
                0.0
            };
            let in_time = request.routing_request.deadline.since(now).secs() > wait + request.work_s;
            let rides = allowed && request.rides.is_some() && in_time && attempts + 2 <= most;
            self.requests
                .get_mut(id.0)
                .filter(|_| !rides)
                .into_iter()
                .for_each(|request| request.rides = None);
            if rides {
                out.arm_timer(Nanos::from_secs(wait), u64::from(id.0) << 32 | u64::from(LOOK_AGAIN));
            } else if allowed && !nowhere && (missed || lacks || self.random.next_f64() < share * storm) {
                self.attempt(now, id, out);
            } else {
                self.give_up(now, id, out);
            }
        }
        self.settle(now, id, out);
    }

    /// The answer tells how far the closest held copy was; a hit keeps the hops of the last fill.
    pub(super) fn learn(&mut self, now: Nanos, request: &RequestState, sent: &Sent, end: &AttemptEnd) {
        let told = request.routing_request.size_kb.is_some() && self.s.client_kb_per_s > 0.0;
        let own_s = match end.remark {
            _ if told => Some(request.work_s),
            Remark::Hit => Some(end.duration.secs()),
            _ => None,
        };
        self.types[request.routing_request.content_type.0 as usize].saw(own_s);
        // A hit shows how slow its cache is; of a fill only what was sent is known, by cache and source.
        let hit_s = (end.remark == Remark::Hit).then_some(end.duration.secs());
        for id in [Some(sent.node), (!sent.is_look()).then_some(sent.source)].into_iter().flatten() {
            let (cold, sharers) = self.cold_start(id);
            let warm = !self.nodes.is_cold(now, id, cold.warm_after);
            self.nodes.sent(now, id, if warm { sharers } else { 0 }, request.work_s, hit_s);
        }
        let filled = matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin);
        self.fills.add(now, request.keep.ratio, filled && request.keep.fill_rank > 0);
        // Where fills by way of the origin are not told, the source that was named stands in.
        let from_origin = Some(sent.source) == self.nodes.origin() && !self.s.fill_source_reported;
        // The slot may have been given to another object meanwhile.
        let Some(entry) =
            self.ghost_cache.get_mut(request.routing_request.object, request.routing_request.copy_hash)
        else {
            return;
        };
        match end.remark {
            Remark::FilledFromCopy if !from_origin => entry.hops = 1.0,
            Remark::FilledFromCopy | Remark::FilledFromOrigin => entry.hops = 2.0,
            _ => {}
        }
        entry.work_s = own_s.map(|own_s| entry.work_s.map_or(own_s, |w| w.min(own_s))).or(entry.work_s);
    }

    /// Judges node and source by how an attempt ended.
    pub(super) fn judge(
        &mut self,
        now: Nanos,
        request: &RequestState,
        sent: &Sent,
        end: &AttemptEnd,
        out: &mut impl Actions,
    ) {
        use Outcome::*;
        self.nodes.count_out(sent, -1);
        self.lease_shown(sent, end);
        let origin = self.nodes.origin();
        if sent.overdue && matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
            self.origin.overdue_ended(now);
        }
        let from_source = match end.remark {
            Remark::SourceRefused | Remark::SourceLost => Some(sent.source),
            Remark::OriginFailed => origin,
            _ => None,
        };
        if end.remark == Remark::OriginFailed || (end.outcome == Refused && Some(sent.source) == origin) {
            self.origin.fetch_refused(now);
        }
        let answered = !matches!(end.outcome, TimedOut | Unreachable | Cancelled | NotSent);
        let mean = self.row(&request.routing_request).mean_work_s;
        self.nodes.held(now, end.duration.secs(), if end.outcome == Served { request.work_s } else { 0.0 });
        let can = self.nodes.get(sent.node).map_or(0.0, |n| self.can(n));
        if let Some(n) = self.nodes.get_mut(sent.node).filter(|_| answered) {
            n.heard = now;
            // A load report counts as a hit of mean size that took so many times as long.
            if let Some(in_hand) = end.report.in_flight {
                n.saw_pace(now, mean * (in_hand / can.max(0.1)).max(1.0), mean);
            }
        }
        match (end.outcome, from_source) {
            (Served, _) => {
                self.learn(now, request, sent, end);
                self.mark(now, sent.node, true, false, out);
                if matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
                    self.mark(now, sent.source, true, false, out);
                    if let Some(origin) = origin.filter(|_| end.remark == Remark::FilledFromOrigin) {
                        self.mark(now, origin, true, false, out);
                        let waited_s = end.first_byte_wait.unwrap_or_default().secs();
                        self.origin.fetch_answered(now, waited_s, self.target_s(request));
                    }
                }
            }
            // An origin that refuses some is overloaded: without it there would be no service at all.
            (Failed | Refused | Missed, Some(source)) if Some(source) != origin => {
                self.mark(now, source, false, false, out)
            }
            // All that was on a connection ends with it, which is one failure.
            (Broken | Unreachable, _) if self.nodes.saw_break(now, sent.node) => {
                self.mark(now, sent.node, false, end.outcome == Unreachable, out)
            }
            _ => {}
        }
    }

    /// Counts for or against a node; sets it aside when recent attempts failed too often, whatever the cause.
    pub(super) fn mark(&mut self, now: Nanos, id: NodeId, worked: bool, died: bool, out: &mut impl Actions) {
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

    /// Sets a node aside for a fixed time and a random part; then it is tried with one attempt first. One
    /// that may have died comes back cold, told or not, and is treated so.
    pub(super) fn set_aside(&mut self, now: Nanos, id: NodeId, died: bool, out: &mut impl Actions) {
        let aside = ASIDE.after(Nanos::from_secs(ASIDE_SPREAD_S * self.random.next_f64()));
        let Some(n) = self.nodes.get_mut(id).filter(|n| n.aside_until <= now) else { return };
        n.aside_until = now.after(aside);
        n.on_trial = true;
        n.ended.clear();
        if died {
            (n.started, n.bucket) = (n.aside_until, Default::default());
        }
        out.log_line(&format!("node {} set aside for {:.1} s", id.0, aside.secs()));
    }

    /// An attempt is overdue. If its node, or its source, answered nothing since it was sent, that is silent: it
    /// is set aside, and what is out there is called off to go elsewhere.
    pub fn timer(&mut self, now: Nanos, token: u64, out: &mut impl Actions) {
        match token {
            FOLLOW_DUE => return out.subscribe_to_list(),
            PROBE_DUE => return self.probe(out),
            LEASES_DUE => return self.renew_leases(now, out),
            _ => {}
        }
        let Some(request) = self.requests.get((token >> 32) as u32) else { return };
        let waits = request.stage == Stage::Attempting
            && request.rides.is_some()
            && request.attempts.iter().all(|p| !p.out);
        if token as u32 == LOOK_AGAIN && waits {
            return self.attempt(now, request.routing_request.request_id, out);
        }
        let found = request.attempts.iter().position(|p| p.out && p.serial == token as u32);
        let Some((number, sent)) = found.map(|at| (at, request.attempts[at])) else { return };
        let at_origin = self.nodes.is_origin(sent.node) || self.nodes.from_above(&sent);
        if at_origin && !sent.held_only {
            self.origin.fetch_overdue(now);
            self.requests
                .get_mut((token >> 32) as u32)
                .into_iter()
                .for_each(|request| request.attempts[number].overdue = true);
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
        let retriable = |request: &&RequestState| request.pinned.retry_safety() == RetrySafety::Retriable;
        let stuck = self
            .requests
            .iter()
            .filter(|request| aside && request.stage == Stage::Attempting)
            .filter(retriable);
        for id in stuck.map(|request| request.routing_request.request_id).collect::<Vec<_>>() {
            self.cancel(id, Some(silent), out);
        }
    }
}
