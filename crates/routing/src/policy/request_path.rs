//! The ordinary path: a request is counted in the ghost cache, judged by MC3 and sent on its way.

use super::*;

impl Dispatcher {
    /// A request has come: counted in the ghost cache, judged by MC3, and sent on its way.
    pub fn request_arrived(&mut self, now: Nanos, d: &RoutingRequest, out: &mut impl Actions) {
        let (mut keep, mut seen) = (Keep::default(), None);
        if !self.row(d).told.uncacheable {
            let ghost_entry = self.count(now, d, out);
            (keep, seen) = (self.keep(now, &ghost_entry), ghost_entry.work_s);
        } else if !self.ghost_cache.holds(d.object) {
            out.release_object(d.object);
        }
        let told = d.size_kb.filter(|_| self.s.client_kb_per_s > 0.0).map(|kb| kb / self.s.client_kb_per_s);
        // Where sizes are not told, what its object took, or its content type takes, stands in.
        self.types[d.content_type.0 as usize].asked(told);
        let work_s = told.or(seen).unwrap_or(self.row(d).mean_work_s);
        self.requests.put(
            d.request_id.0,
            RequestState::new(*d, work_s, keep, PinnedRules::new(&self.s, d.content_type)),
        );
        self.admit(now, d, work_s, out);
    }

    /// A request that was answered from an own copy: counted in the ghost cache as any other.
    pub fn served_from_own_copy(&mut self, now: Nanos, d: &RoutingRequest, out: &mut impl Actions) {
        self.count(now, d, out);
    }

    /// What the ghost cache knows of a copy: own requests a second, and hops to the closest copy.
    pub fn copy_demand(&self, d: &RoutingRequest) -> Option<(Option<f64>, f64)> {
        let ghost_entry =
            self.ghost_cache.get(d.object).filter(|ghost_entry| ghost_entry.copy_hash == d.copy_hash)?;
        Some((ghost_entry.gap_s.map(|gap| 1.0 / gap), ghost_entry.hops))
    }

    /// Sends a request on its way, unless the storm module holds it off: then it is answered at once.
    pub(super) fn admit(&mut self, now: Nanos, d: &RoutingRequest, work_s: f64, out: &mut impl Actions) {
        let Some(mut storm) = self.storm.take() else { return self.attempt(now, d.request_id, out) };
        let changed = if storm.is_evaluation_due(now) { storm.evaluate(now, self.supply(now)) } else { None };
        if let Some((of, from, to)) = changed {
            out.log_line(&format!("content type {}: {to:?} after {from:?}", of.0));
        }
        let admission = storm.admit(now, d, work_s);
        self.storm = Some(storm);
        let reservation = admission.reservation();
        self.requests
            .get_mut(d.request_id.0)
            .into_iter()
            .for_each(|request| request.reservation = reservation);
        match admission {
            Admission::Admit(_) => self.attempt(now, d.request_id, out),
            Admission::RetryLater(_) => self.give_up(now, d.request_id, out),
            Admission::Fail(_) => self.end(now, d.request_id, Stage::Failed, out),
        }
    }

    /// What the location's caches bear, or where none is open the ways past them, and what the origin does.
    pub(super) fn supply(&self, now: Nanos) -> BackendCapacity {
        let bears =
            |n: &Node, at: Nanos| if n.on_trial || n.aside_until > at { 0.0 } else { self.bearable(n, at) };
        let later = now.after(self.s.max_retry_after);
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let caches = [now, later].map(|at| self.nodes.caches().map(|n| bears(n, at)).sum::<f64>() / z);
        let parents = self.s.direct_to_parents && self.nodes.parents().any(|n| !n.on_trial);
        let past = if parents { self.link.bypass_limit() } else { 0.0 };
        let fetches = self.origin.allowed_share(now) / f64::from(self.s.dispatchers.max(1));
        let origin = self.nodes.origin().and_then(|id| self.nodes.get(id));
        let origin = [now, later].map(|at| origin.map_or(0.0, |n| bears(n, at) * fetches));
        BackendCapacity {
            caches: caches.map(|sum| sum.max(past)),
            bypasses_caches: caches[0] <= past,
            origin,
        }
    }

    /// Chooses node and source and sends; gives up at once where nothing can take it. A cache is looked at
    /// before a fill is asked of it, so that every fill is decided as one: link, cold parents and origin get
    /// only what they bear. One that drained meanwhile is not filled (rule 3): the look goes elsewhere.
    pub(super) fn attempt(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get_mut(id.0) else { return };
        let (rides, request) = (request.rides.take(), request.clone());
        self.again = Nanos::ZERO;
        let chosen = match request.missed_at.filter(|id| self.nodes.get(*id).is_some_and(|n| n.listed)) {
            _ if self.row(&request.routing_request).told.uncacheable => self.runs_at(now, &request),
            Some(node) if !self.takes_work(now, node) => None,
            Some(node) if !self.bears(now, node, self.row(&request.routing_request).mean_work_s) => None,
            Some(node) if rides == Some(node) && self.open(now, node) => Some((node, node)),
            Some(node) if self.too_full(now, &request, node) => None,
            Some(node) => self.filler(now, &request).map(|from| (node, from)),
            // A cold cache holds little: a look there would only spend what it can bear.
            None => match self.edge(now, &request) {
                Some(node) if self.nodes.is_cold(now, node, self.s.cache_cold.warm_after) => {
                    Some((node, self.source(now, &request).unwrap_or(node)))
                }
                Some(node) => Some((node, node)),
                None => self.past_the_caches(now, &request),
            },
        };
        let Some((node, source)) = chosen else { return self.give_up(now, id, out) };
        self.serial = self.serial % (LOOK_AGAIN - 1) + 1;
        let sent = Sent::new(node, source, now, self.serial);
        let by_parent = !sent.is_look() && self.nodes.is_parent(source);
        let by_cache = !sent.is_look() && !self.nodes.from_above(&sent);
        let asked_of = if sent.is_look() { request.keep.hit_rank } else { request.keep.fill_rank };
        let rank = if self.nodes.is_parent(node) { 0 } else { asked_of };
        let attempt = Attempt {
            node,
            source,
            time_limit: None,
            rank,
            max_age: self.max_age(now, &request.routing_request),
            send_by: [
                request.may_have_run.and_then(|(first, _)| request.pinned.retry_safety().send_by(first)),
                self.may_send_until(now, node),
                self.may_send_until(now, source),
            ]
            .into_iter()
            .flatten()
            .min(),
            join: self.s.coalesces_fills && request.attempts.len() < 2,
            held_only: by_cache || (by_parent && !self.may_fetch(now, &request, request.keep.fill_rank)),
            no_parent_copy: rank == 3 && by_parent,
            renew: rank >= 2 && self.row(&request.routing_request).told.fresh_for.is_some(),
        };
        self.nodes.count_out(&sent, 1);
        if !sent.is_look() {
            self.link.fill_started();
        }
        self.move_to(now, id, Stage::Attempting, out);
        if let Some(request) = self.requests.get_mut(id.0) {
            request.attempts.push(Sent { held_only: attempt.held_only, ..sent });
        }
        out.attempt(id, &attempt);
        let look = Nanos::from_secs(request.work_s * OVERDUE_STRETCH).after(OVERDUE_SLACK);
        out.arm_timer(look, u64::from(id.0) << 32 | u64::from(sent.serial));
    }

    /// Counts a request in the ghost cache and returns the entry.
    pub(super) fn count(&mut self, now: Nanos, d: &RoutingRequest, out: &mut impl Actions) -> GhostEntry {
        let mut entry = GhostEntry { copy_hash: d.copy_hash, last: now, hops: 2.0, ..GhostEntry::default() };
        if let Some(known) = self.ghost_cache.get(d.object) {
            let gap = now.since(known.last).secs().max(1e-3);
            // After twice the estimate without requests, the estimate is the gap so far.
            let old = known.gap_s.map_or(gap, |old| if gap > 2.0 * old { gap } else { old });
            // A client's repeat is no request more: else a jam would have all that it refuses kept, scans
            // too, and feed itself.
            let counted = GhostEntry { gap_s: Some(0.5 * gap + 0.5 * old), last: now, ..*known };
            entry = if d.is_retry { *known } else { counted };
        }
        let dropped = self.ghost_cache.put(d.object, entry, TABLE);
        dropped.into_iter().for_each(|old| out.release_object(old));
        entry
    }

    /// Benefit and rank: keep where hops x rate exceeds storage cost.
    pub(super) fn keep(&mut self, now: Nanos, ghost_entry: &GhostEntry) -> Keep {
        // A first request has negative benefit: its fill passes unkept, and a hit stays as it was.
        // Of Z dispatchers all but one in Z of what is new to one is taken as the location's second request.
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let Some(gap_s) = ghost_entry.gap_s else {
            return Keep { fill_rank: u8::from(self.random.next_f64() * z >= 1.0), ratio: 1.0, hit_rank: 0 };
        };
        let (storage_cost, rate) = (1.0 / HORIZON_S, z / gap_s);
        let keep_benefit = ghost_entry.hops * rate - storage_cost;
        let ratio = ghost_entry.hops * rate / storage_cost;
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
}
