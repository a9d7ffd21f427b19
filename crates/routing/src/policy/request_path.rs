//! The path of a request: it is counted in the ghost cache, MC3 decides whether its copy is kept, overload control
//! admits it, and attempts are sent.

use super::*;

impl Dispatcher {
    /// Handles a new request: counts it, decides whether a copy is kept, and sends the first attempt if it is
    /// admitted.
    pub fn request_arrived(&mut self, now: Nanos, routing_request: &RoutingRequest, out: &mut impl Actions) {
        let (mut keep, mut observed_work_s) = (KeepDecision::default(), None);
        if !self.stats_of(routing_request).config.uncacheable {
            let ghost_entry = self.count_request(now, routing_request, out);
            (keep, observed_work_s) = (self.decide_keep(now, &ghost_entry), ghost_entry.work_s);
        } else if !self.ghost_cache.contains(routing_request.object) {
            out.release_object(routing_request.object);
        }
        let known_work_s = routing_request
            .size_kb
            .filter(|_| self.settings.client_kb_per_s > 0.0)
            .map(|kb| kb / self.settings.client_kb_per_s);
        // If the size is not known, the work observed for the object is used, else the mean of its content type.
        self.type_stats[routing_request.content_type.0 as usize].record_request(known_work_s);
        let work_s = known_work_s.or(observed_work_s).unwrap_or(self.stats_of(routing_request).mean_work_s);
        self.requests.put(
            routing_request.request_id.0,
            RequestState::new(
                *routing_request,
                work_s,
                keep,
                PinnedRules::new(&self.settings, routing_request.content_type),
            ),
        );
        self.admit(now, routing_request, work_s, out);
    }

    /// Counts a request that the dispatcher served from its local cache in the ghost cache.
    pub fn served_from_own_copy(
        &mut self,
        now: Nanos,
        routing_request: &RoutingRequest,
        out: &mut impl Actions,
    ) {
        self.count_request(now, routing_request, out);
    }

    /// Demand for a copy according to the ghost cache: requests a second at this dispatcher (`None` after one
    /// request), and hops to the closest cached copy.
    pub fn copy_demand(&self, routing_request: &RoutingRequest) -> Option<(Option<f64>, f64)> {
        let ghost_entry = self
            .ghost_cache
            .get(routing_request.object)
            .filter(|ghost_entry| ghost_entry.copy_hash == routing_request.copy_hash)?;
        Some((ghost_entry.request_gap_s.map(|gap| 1.0 / gap), ghost_entry.hops))
    }

    /// Sends the first attempt if overload control admits the request; else rejects or fails it at once.
    pub(super) fn admit(
        &mut self,
        now: Nanos,
        routing_request: &RoutingRequest,
        work_s: f64,
        out: &mut impl Actions,
    ) {
        let Some(mut overload_control) = self.overload_control.take() else {
            return self.send_attempt(now, routing_request.request_id, out);
        };
        let changed = if overload_control.is_evaluation_due(now) {
            overload_control.evaluate(now, self.backend_capacity(now))
        } else {
            None
        };
        if let Some((content_type, from, to)) = changed {
            out.log_line(&format!("content type {}: {to:?} after {from:?}", content_type.0));
        }
        let admission = overload_control.admit(now, routing_request, work_s);
        self.overload_control = Some(overload_control);
        let reservation = admission.reservation();
        self.requests
            .get_mut(routing_request.request_id.0)
            .into_iter()
            .for_each(|request| request.reservation = reservation);
        match admission {
            Admission::Admit(_) => self.send_attempt(now, routing_request.request_id, out),
            Admission::RetryLater(_) => self.reject_or_fail(now, routing_request.request_id, out),
            Admission::Fail(_) => self.finish(now, routing_request.request_id, Stage::Failed, out),
        }
    }

    /// This dispatcher's share of the capacity of the location's caches (or of direct attempts, if that is larger)
    /// and of the origin, now and after the longest retry-after.
    pub(super) fn backend_capacity(&self, now: Nanos) -> BackendCapacity {
        let capacity_at = |node: &Node, at: Nanos| {
            if node.half_open || node.ejected_until > at { 0.0 } else { self.usable_capacity(node, at) }
        };
        let later = now.after(self.settings.max_retry_after);
        let zone_dispatchers = f64::from(self.settings.zone_dispatchers.max(1));
        let caches = [now, later]
            .map(|at| self.nodes.caches().map(|node| capacity_at(node, at)).sum::<f64>() / zone_dispatchers);
        let parents = self.settings.direct_to_parents && self.nodes.parents().any(|node| !node.half_open);
        let bypass = if parents { self.fill_link.bypass_limit() } else { 0.0 };
        let fetches = self.origin_limiter.allowed_share(now) / f64::from(self.settings.dispatchers.max(1));
        let origin = self.nodes.origin().and_then(|id| self.nodes.get(id));
        let origin = [now, later].map(|at| origin.map_or(0.0, |node| capacity_at(node, at) * fetches));
        BackendCapacity {
            caches: caches.map(|sum| sum.max(bypass)),
            bypasses_caches: caches[0] <= bypass,
            origin,
        }
    }

    /// Selects node and source and sends an attempt; gives up at once if nothing can take it. A lookup precedes each
    /// fill at a warm cache, so that every fill is a decision of its own, and link, cold parents and origin get only
    /// what they can take. A cache that has drained since the lookup is not filled (rule 3): the lookup is repeated
    /// elsewhere.
    pub(super) fn send_attempt(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get_mut(id.0) else { return };
        let (coalesced_at, request) = (request.coalesced_at.take(), request.clone());
        self.slow_start_wait = Nanos::ZERO;
        let chosen = match request.missed_at.filter(|id| self.nodes.get(*id).is_some_and(|node| node.listed))
        {
            _ if self.stats_of(&request.routing_request).config.uncacheable => {
                self.select_for_uncacheable(now, &request)
            }
            Some(node) if !self.accepts_work(now, node) => None,
            Some(node)
                if !self.slow_start_admits(
                    now,
                    node,
                    self.stats_of(&request.routing_request).mean_work_s,
                ) =>
            {
                None
            }
            Some(node) if coalesced_at == Some(node) && self.is_available(now, node) => Some((node, node)),
            Some(node) if self.fill_would_be_late(now, &request, node) => None,
            Some(node) => self.select_fill_source(now, &request).map(|from| (node, from)),
            // A cold cache has few copies, so a lookup there would only use up its slow-start tokens.
            None => match self.select_cache(now, &request) {
                Some(node) if self.nodes.is_cold(now, node, self.settings.cache_cold.warm_after) => {
                    Some((node, self.select_parent(now, &request).unwrap_or(node)))
                }
                Some(node) => Some((node, node)),
                None => self.bypass_caches(now, &request),
            },
        };
        let Some((node, source)) = chosen else { return self.reject_or_fail(now, id, out) };
        self.serial = self.serial % (SECOND_LOOKUP_SERIAL - 1) + 1;
        let sent = AttemptState::new(node, source, now, self.serial);
        let from_parent = !sent.is_lookup() && self.nodes.is_parent(source);
        let from_sibling = !sent.is_lookup() && !self.nodes.is_parent_fill(&sent);
        let target_rank = if sent.is_lookup() { request.keep.hit_rank } else { request.keep.fill_rank };
        let rank = if self.nodes.is_parent(node) { 0 } else { target_rank };
        let attempt = Attempt {
            node,
            source,
            time_limit: None,
            rank,
            max_age: self.max_copy_age(now, &request.routing_request),
            send_by: [
                request.may_have_run.and_then(|(first, _)| request.pinned.retry_safety().send_by(first)),
                self.may_send_until(now, node),
                self.may_send_until(now, source),
            ]
            .into_iter()
            .flatten()
            .min(),
            join: self.settings.coalesces_fills && request.attempts.len() < 2,
            held_only: from_sibling
                || (from_parent && !self.may_fetch_from_origin(now, &request, request.keep.fill_rank)),
            no_parent_copy: rank == 3 && from_parent,
            renew: rank >= 2 && self.stats_of(&request.routing_request).config.fresh_for.is_some(),
        };
        self.nodes.count_in_flight(&sent, 1);
        if !sent.is_lookup() {
            self.fill_link.fill_started();
        }
        self.change_stage(now, id, Stage::Attempting, out);
        if let Some(request) = self.requests.get_mut(id.0) {
            request.attempts.push(AttemptState { held_only: attempt.held_only, ..sent });
        }
        out.attempt(id, &attempt);
        let overdue_after = Nanos::from_secs(request.work_s * OVERDUE_WORK_MULTIPLE).after(OVERDUE_SLACK);
        out.arm_timer(overdue_after, u64::from(id.0) << 32 | u64::from(sent.serial));
    }

    /// Counts a request in the ghost cache and returns its entry.
    pub(super) fn count_request(
        &mut self,
        now: Nanos,
        routing_request: &RoutingRequest,
        out: &mut impl Actions,
    ) -> GhostEntry {
        let mut entry = GhostEntry {
            copy_hash: routing_request.copy_hash,
            last_requested: now,
            hops: 2.0,
            ..GhostEntry::default()
        };
        if let Some(known) = self.ghost_cache.get(routing_request.object) {
            let gap = now.since(known.last_requested).secs().max(1e-3);
            // After a gap of more than twice the estimate, the gap replaces the estimate.
            let previous =
                known.request_gap_s.map_or(gap, |previous| if gap > 2.0 * previous { gap } else { previous });
            // A client's retry does not count. Else under overload all rejected requests, scans too, would come to be
            // kept, which would add to the overload.
            let counted =
                GhostEntry { request_gap_s: Some(0.5 * gap + 0.5 * previous), last_requested: now, ..*known };
            entry = if routing_request.is_retry { *known } else { counted };
        }
        let dropped = self.ghost_cache.put(routing_request.object, entry, GHOST_CACHE_ENTRIES);
        dropped.into_iter().for_each(|previous| out.release_object(previous));
        entry
    }

    /// MC3: a copy is kept if hops x request rate exceeds the storage cost; the excess and recent fills give its rank.
    pub(super) fn decide_keep(&mut self, now: Nanos, ghost_entry: &GhostEntry) -> KeepDecision {
        // A first request has negative benefit: its fill is not kept, and a hit leaves the rank unchanged. At a
        // location with Z dispatchers, an object that is new to this one is taken to be requested there before,
        // except in one of Z cases.
        let zone_dispatchers = f64::from(self.settings.zone_dispatchers.max(1));
        let Some(gap_s) = ghost_entry.request_gap_s else {
            return KeepDecision {
                fill_rank: u8::from(self.random.next_f64() * zone_dispatchers >= 1.0),
                benefit_ratio: 1.0,
                hit_rank: 0,
            };
        };
        let (storage_cost, rate) = (1.0 / KEEP_HORIZON_S, zone_dispatchers / gap_s);
        let keep_benefit = ghost_entry.hops * rate - storage_cost;
        let ratio = ghost_entry.hops * rate / storage_cost;
        let (above, all) = self.kept_fills.counts_from(now, ratio);
        let is_rarer_than = |share: f64| above < share * all;
        let rank = match keep_benefit {
            benefit if benefit <= 0.0 => {
                return KeepDecision { hit_rank: 1, fill_rank: 0, benefit_ratio: ratio };
            }
            benefit if benefit > TOP_RANK_MIN_BENEFIT * storage_cost && is_rarer_than(TOP_RANK_MAX_SHARE) => {
                3
            }
            benefit
                if benefit > MIDDLE_RANK_MIN_BENEFIT * storage_cost
                    && is_rarer_than(MIDDLE_RANK_MAX_SHARE) =>
            {
                2
            }
            _ => 1,
        };
        KeepDecision { hit_rank: rank, fill_rank: rank, benefit_ratio: ratio }
    }
}
