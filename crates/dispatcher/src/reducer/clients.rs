//! Input of clients, and requests until they are passed to the routing policy.

use super::*;

impl Reducer {
    /// A client has connected. Idle ones are closed to make room, and the new one too if that is not enough.
    pub(super) fn client_accepted(&mut self, now: Nanos, number: u32, from: IpAddr) {
        log::debug!(target: "copperroute::trace", "client {number} from {from}");
        self.request_table.clients.accept(number, from, now);
        if self.request_table.clients.count() > self.idle_close_threshold() {
            self.request_table.clients.close_idle(
                IDLE_CLOSE_BATCH,
                Some(number),
                now,
                &mut self.request_table.effects,
            );
        }
        // The change log and the nodes need descriptors, however many clients connect.
        self.request_table.clients.limit_lingering(self.max_clients(), now, &mut self.request_table.effects);
        if self.request_table.clients.count() > self.max_clients() {
            self.client_warnings.warn(now, format_args!("client {number}: too many connections, closed"));
            self.close_client(now, number);
        }
    }

    pub(super) fn client_received(&mut self, now: Nanos, number: u32, bytes: &[u8]) {
        let was_unread = self.request_table.input_delay > Nanos::ZERO;
        let Some(client) = self.request_table.clients.get_mut(number) else {
            let RequestTable { clients, effects, .. } = &mut self.request_table;
            return clients.lingering_received(number, bytes.len(), now, effects);
        };
        if client.is_unreadable() {
            return;
        }
        client.feed(bytes);
        while let Some(client) =
            self.request_table.clients.get_mut(number).filter(|client| !client.is_unreadable())
        {
            let message = match client.decoder.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => {
                    client.all_decoded(now, was_unread);
                    self.request_table.limit_input(number);
                    if self.request_table.clients.is_too_slow(number) {
                        self.dismiss_client(now, number);
                    }
                    return self.request_table.close_if_answered(number);
                }
                Err(fault) => {
                    self.client_warnings.warn(now, format_args!("client {number}: {fault}"));
                    log::debug!(target: "copperroute::trace", "client {number} unreadable");
                    return self.request_table.mark_client_unreadable(number);
                }
            };
            client.message_received(now);
            let (Message::Request(tag, _)
            | Message::WithoutBody(tag, _)
            | Message::Unusable(tag, _)
            | Message::Abort(tag)
            | Message::Health(tag)) = message;
            let (open, open_count) = (client.open.get(&tag).copied(), client.open.len());
            let client_is_closing = client.is_closing();
            let timeout_ms = match &message {
                Message::Request(_, request) => request.timeout_ms,
                Message::WithoutBody(_, timeout_ms) => *timeout_ms,
                _ => 0,
            };
            match message {
                Message::Abort(_) => {
                    open.into_iter().for_each(|request| self.abandon(now, request));
                    self.request_table.close_if_answered(number);
                }
                // No new requests are accepted, but every one that was read is answered.
                Message::Request(..) | Message::WithoutBody(..) | Message::Unusable(..)
                    if client_is_closing && open.is_none() =>
                {
                    if self.request_table.is_memory_exhausted_for(number) {
                        self.request_table.clients.mark_too_slow(number);
                    }
                    self.reject(now, number, tag, timeout_ms);
                }
                _ if client_is_closing => {}
                // Two answers under one tag could not be told apart.
                _ if open.is_some() => {
                    self.client_warnings
                        .warn(now, format_args!("client {number}: tag {tag} is open already"));
                    self.request_table.close_when_answered(number);
                }
                Message::Request(..) | Message::WithoutBody(..)
                    if self.request_table.is_memory_exhausted_for(number) =>
                {
                    self.client_warnings
                        .warn(now, format_args!("client {number}: takes its answers too slowly, closed"));
                    self.request_table.clients.mark_too_slow(number);
                    self.reject(now, number, tag, timeout_ms);
                }
                Message::WithoutBody(..) => self.reject(now, number, tag, timeout_ms),
                // Rejected on shutdown, when memory is short and above the protocol's limit: the request has
                // not run, so it may safely be retried.
                Message::Request(_, ref request)
                    if self.lifecycle.phase() >= Phase::Closing
                        || self.request_table.has_no_memory_for_answers(number)
                        || open_count >= MAX_OPEN_REQUESTS
                        || !self.request_table.has_memory_for(number, request) =>
                {
                    self.reject(now, number, tag, timeout_ms);
                }
                Message::Request(_, request) => self.request_arrived(now, number, tag, *request),
                Message::Unusable(_, why) => {
                    self.client_warnings.warn(now, format_args!("client {number}: {why}"));
                    self.request_table.write(number, tag, Answer::Failed);
                }
                Message::Health(_) => {
                    let up = self.lifecycle.phase() == Phase::Serving && self.request_table.has_nodes();
                    self.request_table.write(number, tag, if up { Answer::Up } else { Answer::Down });
                }
            }
            // The routing policy must know of attempts that ended at once before it decides on the next
            // request.
            self.report_attempt_ends(now);
        }
    }

    /// Rejects a request that has not run. Its client may wait for `timeout_ms`.
    fn reject(&mut self, now: Nanos, client: u32, tag: u64, timeout_ms: u64) {
        let deadline = self.answer_deadline(now, timeout_ms);
        self.request_table.write_awaited(client, tag, Answer::Rejected(None), deadline);
    }

    /// When a client that may wait for `timeout_ms` stops waiting for the answer to a request received now.
    fn answer_deadline(&self, now: Nanos, timeout_ms: u64) -> Nanos {
        let timeout = Nanos(timeout_ms.saturating_mul(1_000_000)).min(self.longest_timeout());
        now.after(timeout.since(self.request_table.input_delay))
    }

    /// The content type of a request that the settings allow, or why they don't.
    pub(super) fn validate(&self, request: &Request) -> Result<u32, String> {
        let name = &request.content_type;
        let content_type = name_index(&self.config.names.content_types, name)
            .ok_or_else(|| format!("unknown content type '{}'", name.escape_default()))?;
        let limits = self.config.request_limits[content_type as usize];
        let max_ms = limits.max_timeout.0.div_ceil(1_000_000);
        match request {
            _ if request.timeout_ms > max_ms => {
                Err(format!("timeout: {} ms exceeds the limit of '{name}', {max_ms} ms", request.timeout_ms))
            }
            _ if !request.body.is_empty() && !limits.allows_body => {
                Err(format!("content type '{name}' allows no body"))
            }
            // Answers to two requests with the same id could not be told apart.
            _ if self.request_table.is_open(request.id) => {
                Err(format!("req: {} is open already", request.id))
            }
            _ => Ok(content_type),
        }
    }

    pub(super) fn request_arrived(&mut self, now: Nanos, client: u32, tag: u64, mut request: Request) {
        let id = stable_hash(request.id.as_str().as_bytes());
        let content_type = match (self.duplicate_filter.check(now, id), self.validate(&request)) {
            (Verdict::New, Ok(content_type)) => content_type,
            (Verdict::New, Err(why)) => {
                self.client_warnings.warn(now, format_args!("client {client}: {why}"));
                let deadline = self.answer_deadline(now, request.timeout_ms);
                return self.request_table.write_awaited(client, tag, Answer::Failed, deadline);
            }
            (Verdict::Duplicate, _) => {
                self.client_warnings
                    .warn(now, format_args!("client {client}: req: {} is a duplicate", request.id));
                let deadline = self.answer_deadline(now, request.timeout_ms);
                return self.request_table.write_awaited(client, tag, Answer::Failed, deadline);
            }
        };
        // Rules that came into force later may shorten the timeout, whatever the client asked for.
        let max_ms = self.max_timeouts[content_type as usize].0.div_ceil(1_000_000);
        request.timeout_ms = request.timeout_ms.min(max_ms);
        let expects_copy = !self.config.request_limits[content_type as usize].allows_body;
        let at_most_once =
            self.settings.content_types[content_type as usize].retry_safety != RetrySafety::Retriable;
        let object_hash = stable_hash(request.object.as_str().as_bytes());
        let (part, group) = (request.part, request.group);
        let (is_retry, size_kb) = (request.is_retry, request.size_kb);
        let body_hash = if request.body.is_empty() { 0 } else { stable_hash(&request.body) };
        let source_hash = self.request_table.clients.source_hash(client);
        let (request_id, object, deadline) =
            self.request_table.open(client, tag, request, expects_copy, at_most_once);
        let routing_request = RoutingRequest {
            request_id,
            content_type: TypeId(content_type),
            object,
            copy_hash: mix(object_hash.wrapping_add(part)),
            object_hash,
            group,
            deadline,
            is_retry,
            size_kb,
            client: source_hash,
            body_hash,
        };
        if let Some(answer) = self.local_copy(now, &routing_request, request_id) {
            return self.serve(now, &routing_request, answer);
        }
        if let Some(key) = self.disk_key(now, &routing_request) {
            let generation = self.request_table.generation_of(request_id);
            self.disk_reads.insert(request_id.0, PendingDiskRead { generation, routing_request, key });
            self.request_table.effects.push(Effect::ReadCopy(key, disk_ticket(request_id, generation)));
            return self.request_table.effects.push(Effect::Arm(
                now.after(DISK_READ_TIMEOUT),
                TimerKind::DiskReadTimeout(request_id, generation),
            ));
        }
        self.request_table.set_routing_request(&routing_request);
        self.routing.request_arrived(now, &routing_request, &mut self.request_table);
    }

    /// Answers a request from the local cache.
    pub(super) fn serve(&mut self, now: Nanos, routing_request: &RoutingRequest, answer: LocalAnswer) {
        self.routing.served_from_own_copy(now, routing_request, &mut self.request_table);
        match answer {
            LocalAnswer::Bytes(body) => {
                self.request_table.answer(routing_request.request_id, Answer::Served(&body))
            }
            LocalAnswer::NotModified => {
                self.request_table.answer(routing_request.request_id, Answer::NotModified)
            }
        }
        self.request_table.release(routing_request.request_id);
    }

    /// The key of the copy to read from disk for a request; `None` if the disk is not to be asked.
    pub(super) fn disk_key(&self, now: Nanos, routing_request: &RoutingRequest) -> Option<Key> {
        let cache = self.local_cache.as_ref().filter(|_| !self.routing.may_miss_purges(now))?;
        let content_type = self.settings.content_types.get(routing_request.content_type.0 as usize)?;
        // After a restart the local wall clock alone can't tell how old the copies on disk are.
        let is_age_known = self.external_time.has_copy_time() && self.latest_unix_ms(now).is_some();
        if content_type.fresh_for.is_some() && !is_age_known {
            return None;
        }
        let (object, part, _) = self.request_table.requested_copy(routing_request.request_id)?;
        local_cache::key(routing_request.content_type.0, object, part).filter(|key| cache.may_be_on_disk(key))
    }

    /// The disk has answered: the request is answered from the copy, or continues as if there were no disk.
    pub(super) fn copy_read(&mut self, now: Nanos, ticket: u64, copy: Option<(Facts, &[u8])>) {
        let request_id = RequestId((ticket >> 32) as u32);
        if let Some((facts, _)) = copy {
            self.external_time.observe_restored_copy(now, facts.made_ms);
        }
        let unix_ms = self.latest_unix_ms(now);
        let pending = self
            .disk_reads
            .get(&request_id.0)
            .filter(|pending| disk_ticket(request_id, pending.generation) == ticket);
        let (Some(PendingDiskRead { routing_request, key, .. }), Some(cache)) =
            (pending, &mut self.local_cache)
        else {
            return;
        };
        if self.routing.may_miss_purges(now) {
            return self.continue_without_disk(now, request_id);
        }
        let target = self.settings.content_types[routing_request.content_type.0 as usize].latency_target;
        let cached_tag =
            self.request_table.requested_copy(request_id).and_then(|(_, _, cached_tag)| cached_tag);
        let answer = cache.disk_read([now, target], unix_ms, key, cached_tag, copy);
        let Some(answer) = answer else { return self.continue_without_disk(now, request_id) };
        let (routing_request, key) = (*routing_request, *key);
        self.disk_reads.remove(&request_id.0);
        if let (Some((facts, body)), Some((rate, hops))) = (copy, self.routing.copy_demand(&routing_request))
        {
            let offered = OfferedCopy { key, facts, body: body.into() };
            if let Some(cache) = &mut self.local_cache {
                cache.offer(offered, rate, hops);
            }
        }
        self.serve(now, &routing_request, answer);
    }

    /// Passes a request on to the routing policy without the disk.
    pub(super) fn continue_without_disk(&mut self, now: Nanos, request_id: RequestId) {
        let Some(PendingDiskRead { routing_request, .. }) = self.disk_reads.remove(&request_id.0) else {
            return;
        };
        self.request_table.set_routing_request(&routing_request);
        self.routing.request_arrived(now, &routing_request, &mut self.request_table);
    }

    /// Passes all requests that wait for the disk on to the routing policy.
    pub(super) fn continue_all_without_disk(&mut self, now: Nanos) {
        let mut waiting: Vec<_> = self.disk_reads.keys().copied().collect();
        waiting.sort();
        waiting.into_iter().for_each(|request_id| self.continue_without_disk(now, RequestId(request_id)));
    }

    /// The answer to a request from the local cache in memory, if there is one.
    pub(super) fn local_copy(
        &mut self,
        now: Nanos,
        routing_request: &RoutingRequest,
        request_id: RequestId,
    ) -> Option<LocalAnswer> {
        let unix_ms = self.latest_unix_ms(now);
        let cache = self.local_cache.as_mut()?;
        // A purge that was missed might be of any copy.
        if self.routing.may_miss_purges(now) {
            self.staleness.own_copies_withheld += 1;
            return None;
        }
        let (object, part, cached_tag) = self.request_table.requested_copy(request_id)?;
        let key = local_cache::key(routing_request.content_type.0, object, part)?;
        let target = self.settings.content_types[routing_request.content_type.0 as usize].latency_target;
        cache.lookup(now, unix_ms, &key, cached_tag, target)
    }

    /// Upper bound of the external time, by which the age of own copies is judged; `None` while there is none. Where
    /// answers do not tell that the origin was asked, only the local clock can say.
    fn latest_unix_ms(&self, now: Nanos) -> Option<u64> {
        match self.settings.fill_source_reported {
            true => self.external_time.latest_ms(now),
            false => Some(self.external_time.latest_by_local_clock_ms(now)),
        }
    }

    pub(super) fn abandon(&mut self, now: Nanos, request_id: RequestId) {
        if self.request_table.abandon(request_id) {
            if self.disk_reads.remove(&request_id.0).is_some() {
                return self.request_table.release(request_id);
            }
            self.routing.client_gone(now, request_id, &mut self.request_table);
            // If attempts in flight are not cancelled, those not yet sent must still not be sent for a client
            // that has disconnected.
            self.request_table.drop_unsent(request_id);
            self.report_attempt_ends(now);
        }
    }

    /// The request has timed out: its attempts end unanswered, and the routing policy then gives the final
    /// answer.
    pub(super) fn expire(&mut self, now: Nanos, request: RequestId, generation: u64) {
        if !self.request_table.awaits_answer(request, generation) {
            return self.expire_abandoned(now, request, generation);
        }
        if self.disk_reads.remove(&request.0).is_some() {
            self.request_table.answer(request, Answer::Failed);
            return self.request_table.release(request);
        }
        self.request_table.expire(request);
        self.report_attempt_ends(now);
        if self.request_table.awaits_answer(request, generation) {
            self.request_table.answer(request, Answer::Failed);
            self.routing.client_gone(now, request, &mut self.request_table);
            // Another attempt may have been started shortly before the deadline, and attempts are not always
            // cancelled.
            self.request_table.drop_unsent(request);
        }
    }

    /// If attempts are not cancelled, those for a client that has disconnected end by the request's deadline
    /// at the latest.
    fn expire_abandoned(&mut self, now: Nanos, request: RequestId, generation: u64) {
        if self.request_table.generation_of(request) == generation {
            self.request_table.expire(request);
            self.report_attempt_ends(now);
        }
    }
}

/// The ticket of a disk read: the request's slot, and enough of its generation to distinguish it from the
/// next request in that slot.
fn disk_ticket(request_id: RequestId, generation: u64) -> u64 {
    u64::from(request_id.0) << 32 | generation & 0xffff_ffff
}
