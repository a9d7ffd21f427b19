//! Handles the end of an attempt, and attempts that are overdue.
//!
//! Input: the outcome of an attempt, or the timer that was armed for it. Output: the statistics of node, source, link
//! and content type, ejections of nodes, and what follows for the request: a retry, a second lookup or a final
//! answer.

use super::*;

impl Dispatcher {
    /// Handles the first byte of a response: the request is bound to this attempt.
    pub fn first_byte(&mut self, now: Nanos, id: RequestId, number: u32, out: &mut impl Actions) {
        let node = self
            .requests
            .get(id.0)
            .and_then(|request| request.attempts.get(number as usize))
            .map(|attempt| attempt.node);
        node.and_then(|node| self.nodes.get_mut(node)).into_iter().for_each(|node| node.last_answer = now);
        self.change_stage(now, id, Stage::Streaming, out);
    }

    /// Handles the end of an attempt. Decides whether the request is answered, retried, looked up again or given up.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: u32,
        end: &AttemptEnd,
        out: &mut impl Actions,
    ) {
        let Some(request) = self.requests.get_mut(id.0) else { return };
        let Some(sent) = request.attempts.get_mut(number as usize).filter(|attempt| attempt.in_flight) else {
            return;
        };
        (sent.in_flight, sent.was_sent) = (false, end.outcome != Outcome::NotSent);
        sent.reached = !matches!(end.outcome, Outcome::NotSent | Outcome::Unreachable);
        let sent = *sent;
        use Outcome::{Cancelled, Failed, Missed, NotSent, Refused, Served, Unreachable};
        let missed = end.outcome == Missed && sent.is_lookup();
        // If a cache of another location lacks the copy, a parent fills it. Such an attempt does not count as a fill.
        let source_lacks_copy =
            end.remark == Remark::SourceHasNone && !sent.is_lookup() && !self.nodes.is_parent_fill(&sent);
        let filled =
            request.attempts.iter().take(number as usize).any(|attempt| self.nodes.is_parent_fill(attempt));
        let is_retry =
            (filled || (number > 0 && request.missed_at.is_none())) && !missed && end.outcome != Cancelled;
        let succeeded = end.outcome == Served;
        let never_ran = matches!(end.outcome, Refused | Unreachable | NotSent | Missed);
        if !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((sent.sent_at, sent.node));
        }
        // An error may be due to the request. It counts against the node only once another node has handled the
        // request. Prevents ejections by clients that send invalid requests. Costs: where all nodes fail, none is
        // ejected.
        let erred = (end.outcome == Failed && end.remark == Remark::None).then_some(sent.node);
        let at_fault = if succeeded || end.outcome == Missed { request.erred_at.take() } else { None };
        request.erred_at = erred.or(request.erred_at);
        request.missed_at = (missed || source_lacks_copy).then_some(sent.node);
        // Without coalesced fills, the request waits for the fill that is in flight for another one and makes none
        // itself.
        request.coalesced_at =
            (missed && end.remark == Remark::Joined && !self.settings.coalesces_fills).then_some(sent.node);
        let request = request.clone();
        if !sent.is_lookup() {
            self.record_fill(now, &request, &sent, end);
        }
        self.record_outcome(now, &request, &sent, end, out);
        at_fault.into_iter().for_each(|node| self.record_health(now, node, false, false, out));
        if is_retry {
            self.retry_results.add(now, usize::from(!succeeded), 1.0);
        }
        if end.completes_request {
            self.change_stage(now, id, if succeeded { Stage::Served } else { Stage::ClientGone }, out);
        } else if request.stage == Stage::Attempting
            && request.attempts.iter().all(|attempt| !attempt.in_flight)
        {
            // Retries are made with the probability that recent ones succeeded, so a wide failure causes no retry
            // storm.
            let [succeeded, failed] = self.retry_results.sums(now);
            let retry_share = ((succeeded + 2.0) / (succeeded + failed + 2.0)).max(MIN_RETRY_SHARE);
            let in_time = request.routing_request.deadline.since(now).secs() > request.work_s;
            let overload_share = self.overload_control.as_ref().map_or(1.0, |overload_control| {
                overload_control.retry_share(request.routing_request.content_type)
            });
            let attempts = request.attempts.len() + usize::from(request.reservation.earlier_attempts);
            let max_attempts = request.pinned.max_attempts();
            let may_retry = in_time && attempts < max_attempts;
            // What a parent lacks, or the origin refused or failed, is available nowhere else.
            let unavailable_elsewhere = (end.outcome == Missed && !missed && !source_lacks_copy)
                || end.remark == Remark::OriginFailed;
            // The lookup after the wait leaves time and an attempt for a fill by this request.
            let wait = if request.coalesced_at.is_some() {
                self.typical_fill_s * (0.5 + self.random.next_f64())
            } else {
                0.0
            };
            let in_time = request.routing_request.deadline.since(now).secs() > wait + request.work_s;
            let waits_for_fill =
                may_retry && request.coalesced_at.is_some() && in_time && attempts + 2 <= max_attempts;
            self.requests
                .get_mut(id.0)
                .filter(|_| !waits_for_fill)
                .into_iter()
                .for_each(|request| request.coalesced_at = None);
            if waits_for_fill {
                out.arm_timer(
                    Nanos::from_secs(wait),
                    u64::from(id.0) << 32 | u64::from(SECOND_LOOKUP_SERIAL),
                );
            } else if may_retry
                && !unavailable_elsewhere
                && (missed || source_lacks_copy || self.random.next_f64() < retry_share * overload_share)
            {
                self.send_attempt(now, id, out);
            } else {
                self.reject_or_fail(now, id, out);
            }
        }
        self.release_if_done(now, id, out);
    }

    /// Updates statistics from a served attempt: work of the content type, capacity and pace of the nodes, kept
    /// fills, and the hops to the closest cached copy. A hit leaves the hops of the last fill unchanged.
    pub(super) fn record_served(
        &mut self,
        now: Nanos,
        request: &RequestState,
        sent: &AttemptState,
        end: &AttemptEnd,
    ) {
        let size_known = request.routing_request.size_kb.is_some() && self.settings.client_kb_per_s > 0.0;
        let observed_work_s = match end.remark {
            _ if size_known => Some(request.work_s),
            Remark::Hit => Some(end.duration.secs()),
            _ => None,
        };
        self.type_stats[request.routing_request.content_type.0 as usize].record_answer(observed_work_s);
        // The duration of a hit shows the pace of its cache. Of a fill only the work sent by cache and source is
        // known.
        let hit_s = (end.remark == Remark::Hit).then_some(end.duration.secs());
        for id in [Some(sent.node), (!sent.is_lookup()).then_some(sent.source)].into_iter().flatten() {
            let (cold_start, sharers) = self.cold_start_of(id);
            let is_warm = !self.nodes.is_cold(now, id, cold_start.warm_after);
            self.nodes.record_sent_work(now, id, if is_warm { sharers } else { 0 }, request.work_s, hit_s);
        }
        let filled = matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin);
        self.kept_fills.add(now, request.keep.benefit_ratio, filled && request.keep.fill_rank > 0);
        // If answers do not report fills by way of the origin, the source of the attempt is used instead.
        let from_origin = Some(sent.source) == self.nodes.origin() && !self.settings.fill_source_reported;
        // The slot may belong to another object by now.
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
        entry.work_s = observed_work_s
            .map(|observed_work_s| entry.work_s.map_or(observed_work_s, |work_s| work_s.min(observed_work_s)))
            .or(entry.work_s);
    }

    /// Updates node, source, origin and lease state from the end of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Nanos,
        request: &RequestState,
        sent: &AttemptState,
        end: &AttemptEnd,
        out: &mut impl Actions,
    ) {
        use Outcome::*;
        self.nodes.count_in_flight(sent, -1);
        self.update_leases(sent, end);
        let origin = self.nodes.origin();
        if sent.overdue && matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
            self.origin_limiter.overdue_ended(now);
        }
        let from_source = match end.remark {
            Remark::SourceRefused | Remark::SourceLost => Some(sent.source),
            Remark::OriginFailed => origin,
            _ => None,
        };
        if end.remark == Remark::OriginFailed || (end.outcome == Refused && Some(sent.source) == origin) {
            self.origin_limiter.fetch_refused(now);
        }
        let answered = !matches!(end.outcome, TimedOut | Unreachable | Cancelled | NotSent);
        let mean_work_s = self.stats_of(&request.routing_request).mean_work_s;
        self.nodes.record_cache_attempt(
            now,
            end.duration.secs(),
            if end.outcome == Served { request.work_s } else { 0.0 },
        );
        let capacity = self.nodes.get(sent.node).map_or(0.0, |node| self.capacity_of(node));
        if let Some(node) = self.nodes.get_mut(sent.node).filter(|_| answered) {
            node.last_answer = now;
            // A load report counts as a hit of mean work whose duration is stretched by the reported load.
            if let Some(in_flight) = end.report.in_flight {
                node.record_pace(now, mean_work_s * (in_flight / capacity.max(0.1)).max(1.0), mean_work_s);
            }
        }
        match (end.outcome, from_source) {
            (Served, _) => {
                self.record_served(now, request, sent, end);
                self.record_health(now, sent.node, true, false, out);
                if matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin) {
                    self.record_health(now, sent.source, true, false, out);
                    if let Some(origin) = origin.filter(|_| end.remark == Remark::FilledFromOrigin) {
                        self.record_health(now, origin, true, false, out);
                        let waited_s = end.first_byte_wait.unwrap_or_default().secs();
                        self.origin_limiter.fetch_answered(now, waited_s, self.latency_target_s(request));
                    }
                }
            }
            // An origin that refuses some requests is overloaded. It is not ejected for that, as nothing could
            // replace it.
            (Failed | Refused | Missed, Some(source)) if Some(source) != origin => {
                self.record_health(now, source, false, false, out)
            }
            // All attempts on a connection end with it. They count as one failure.
            (Broken | Unreachable, _) if self.nodes.record_break(now, sent.node) => {
                self.record_health(now, sent.node, false, end.outcome == Unreachable, out)
            }
            _ => {}
        }
    }

    /// Counts a success or a failure of a node. Ejects the node if recent attempts failed too often, whatever the
    /// cause.
    pub(super) fn record_health(
        &mut self,
        now: Nanos,
        id: NodeId,
        succeeded: bool,
        may_have_died: bool,
        out: &mut impl Actions,
    ) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        let [ok, failed] = node.record_result(now, succeeded);
        // At a busy node, two consecutive resets or corrupt answers happen by chance.
        let failure_limit = if may_have_died {
            MIN_CONSECUTIVE_FAILURES
        } else {
            MIN_CONSECUTIVE_FAILURES.max((CONSECUTIVE_FAILURES_PER_SUCCESS * ok) as u32)
        };
        if succeeded {
            (node.half_open, node.last_answer) = (false, now);
        } else if node.half_open
            || node.consecutive_failures >= failure_limit
            || failed >= MIN_WINDOW_FAILURES.max(MIN_FAILED_SHARE * (ok + failed))
        {
            // An origin that still answers some requests stays in use, as nothing could replace it.
            if may_have_died
                || node.consecutive_failures >= ORIGIN_CONSECUTIVE_FAILURES
                || !self.nodes.is_origin(id)
            {
                self.eject(now, id, may_have_died, out);
            }
        }
    }

    /// Ejects a node for the ejection time plus jitter. After that it is half-open: one attempt tries it first. A
    /// node that may have died is treated as cold from then on, even if the node list reports no new start.
    pub(super) fn eject(&mut self, now: Nanos, id: NodeId, may_have_died: bool, out: &mut impl Actions) {
        let ejection_time = EJECTION_TIME.after(Nanos::from_secs(EJECTION_JITTER_S * self.random.next_f64()));
        let Some(node) = self.nodes.get_mut(id).filter(|node| node.ejected_until <= now) else { return };
        node.ejected_until = now.after(ejection_time);
        node.half_open = true;
        node.results.clear();
        if may_have_died {
            (node.started, node.token_bucket) = (node.ejected_until, Default::default());
        }
        out.log_line(&format!("node {} ejected for {:.1} s", id.0, ejection_time.secs()));
    }

    /// Handles a timer. For an attempt that is overdue: if its node, its source or the origin has answered nothing
    /// since the attempt was sent, that one is silent. A silent node is ejected; a silent source or origin counts a
    /// failure. Once it is ejected, retriable attempts in flight there are cancelled so that they are retried
    /// elsewhere.
    pub fn timer(&mut self, now: Nanos, token: u64, out: &mut impl Actions) {
        match token {
            SUBSCRIBE_TIMER => return out.subscribe_to_list(),
            LOAD_PROBE_TIMER => return self.probe_random_node(out),
            LEASE_TIMER => return self.probe_leases(now, out),
            _ => {}
        }
        let Some(request) = self.requests.get((token >> 32) as u32) else { return };
        let waits_for_fill = request.stage == Stage::Attempting
            && request.coalesced_at.is_some()
            && request.attempts.iter().all(|attempt| !attempt.in_flight);
        if token as u32 == SECOND_LOOKUP_SERIAL && waits_for_fill {
            return self.send_attempt(now, request.routing_request.request_id, out);
        }
        let number =
            request.attempts.iter().position(|attempt| attempt.in_flight && attempt.serial == token as u32);
        let Some((number, sent)) = number.map(|at| (at, request.attempts[at])) else { return };
        let at_origin = self.nodes.is_origin(sent.node) || self.nodes.is_parent_fill(&sent);
        if at_origin && !sent.held_only {
            self.origin_limiter.fetch_overdue(now);
            self.requests
                .get_mut((token >> 32) as u32)
                .into_iter()
                .for_each(|request| request.attempts[number].overdue = true);
        }
        let has_answered = |id: NodeId| {
            self.nodes.get(id).is_none_or(|node| node.last_answer >= sent.sent_at || node.ejected_until > now)
        };
        // If the node answers, the attempt waits for the source or for the origin. These count as failed only if no
        // attempt there succeeded recently, as a slow node is not a silent one.
        let upstream = [Some(sent.node), Some(sent.source), self.nodes.origin()].into_iter().flatten();
        let depth = if sent.is_lookup() { 1 } else { 3 };
        let Some(silent) = upstream.take(depth).find(|id| !has_answered(*id)) else { return };
        if silent == sent.node {
            self.eject(now, silent, true, out);
        } else if self.nodes.get(silent).is_some_and(|node| node.results.sums(now)[0] == 0.0) {
            self.record_health(now, silent, false, false, out);
        }
        let ejected = self.nodes.get(silent).is_some_and(|node| node.ejected_until > now);
        let retriable = |request: &&RequestState| request.pinned.retry_safety() == RetrySafety::Retriable;
        let stuck = self
            .requests
            .iter()
            .filter(|request| ejected && request.stage == Stage::Attempting)
            .filter(retriable);
        for id in stuck.map(|request| request.routing_request.request_id).collect::<Vec<_>>() {
            self.cancel_attempts(id, Some(silent), out);
        }
    }
}
