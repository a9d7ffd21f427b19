//! What clients send, and requests until the decisions are told of them.

use super::*;

impl Reducer {
    pub(super) fn client_received(&mut self, now: Nanos, number: u32, bytes: &[u8]) {
        let Some(client) = self.request_table.clients.get_mut(number) else {
            if self.request_table.clients.lingering.received(number, bytes.len()) {
                self.request_table.effects.push(Effect::Close(Peer::Client(number)));
            }
            return;
        };
        if client.is_unreadable() {
            return;
        }
        client.decodes(bytes);
        while let Some(client) =
            self.request_table.clients.get_mut(number).filter(|client| !client.is_unreadable())
        {
            let message = match client.decoder.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => {
                    client.pauses(now);
                    if client.has_run_out() {
                        self.client_dismissed(now, number);
                    }
                    return self.request_table.shut_if_answered(number);
                }
                Err(fault) => {
                    self.complaints.warn(now, format_args!("client {number}: {fault}"));
                    log::debug!(target: "copperroute::trace", "client {number} unreadable");
                    return self.request_table.cannot_be_read(number);
                }
            };
            client.spoke(now);
            let (Message::Request(tag, _)
            | Message::Unusable(tag, _)
            | Message::Abort(tag)
            | Message::Health(tag)) = message;
            let (open, taken) = (client.open.get(&tag).copied(), client.open.len());
            let client_is_closing = client.is_closing();
            match message {
                Message::Abort(_) => {
                    open.into_iter().for_each(|request| self.forsake(now, request));
                    self.request_table.shut_if_answered(number);
                }
                // It asks for nothing new any more, but what was read is answered.
                Message::Request(..) | Message::Unusable(..) if client_is_closing && open.is_none() => {
                    if self.request_table.has_run_out_for(number) {
                        self.request_table.clients.run_out(number);
                    }
                    self.request_table.write(number, tag, Answer::Rejected(None));
                }
                _ if client_is_closing => {}
                // Two answers under one tag could not be told apart.
                _ if open.is_some() => {
                    self.complaints.warn(now, format_args!("client {number}: tag {tag} is open already"));
                    self.request_table.close_when_answered(number);
                }
                Message::Request(..) if self.request_table.has_run_out_for(number) => {
                    self.complaints.warn(now, format_args!("client {number}: takes too little, closed"));
                    self.request_table.clients.run_out(number);
                    self.request_table.write(number, tag, Answer::Rejected(None));
                }
                // At the end of the program, where memory is short, and past the protocol's limit: trying again is harmless.
                Message::Request(..)
                    if self.life.phase() >= Phase::Closing
                        || self.request_table.is_short_for(number)
                        || taken >= MOST_OPEN =>
                {
                    self.request_table.write(number, tag, Answer::Rejected(None));
                }
                Message::Request(_, request) => self.request_arrived(now, number, tag, *request),
                Message::Unusable(_, why) => {
                    self.complaints.warn(now, format_args!("client {number}: {why}"));
                    self.request_table.write(number, tag, Answer::Failed);
                }
                Message::Health(_) => {
                    let up = self.life.phase() == Phase::Serving && self.request_table.has_nodes();
                    self.request_table.write(number, tag, if up { Answer::Up } else { Answer::Down });
                }
            }
            // What the module has ended at once must be heard before the next request is decided.
            self.hand_on_ends(now);
        }
    }

    /// The content type of a request that the settings allow, or why they don't.
    pub(super) fn usable(&self, request: &Request) -> Result<u32, String> {
        let name = &request.content_type;
        let content_type = name_index(&self.config.names.content_types, name)
            .ok_or_else(|| format!("no content type '{}'", name.escape_default()))?;
        let offer = self.config.request_limits[content_type as usize];
        match request {
            _ if request.timeout_ms > offer.max_timeout.0.div_ceil(1_000_000) => {
                Err(format!("timeout: {} ms are more than the expiry of '{name}'", request.timeout_ms))
            }
            _ if !request.body.is_empty() && !offer.allows_body => Err(format!("'{name}' takes no bytes")),
            // Answers of two requests with one id could not be told apart.
            _ if self.request_table.has(request.id) => Err(format!("req: {} is open already", request.id)),
            _ => Ok(content_type),
        }
    }

    pub(super) fn request_arrived(&mut self, now: Nanos, client: u32, tag: u64, mut request: Request) {
        let id = stable_hash(request.id.as_str().as_bytes());
        let content_type = match (self.conduct.check(now, id), self.usable(&request)) {
            (Verdict::New, Ok(content_type)) => content_type,
            (Verdict::New, Err(why)) => {
                self.complaints.warn(now, format_args!("client {client}: {why}"));
                return self.request_table.write(client, tag, Answer::Failed);
            }
            (Verdict::Duplicate, _) => {
                self.complaints.warn(now, format_args!("client {client}: req: {} came before", request.id));
                return self.request_table.write(client, tag, Answer::Failed);
            }
        };
        // Under a rule that came later a client waits no longer, whatever it asked for.
        let most_ms = self.expiries[content_type as usize].0.div_ceil(1_000_000);
        request.timeout_ms = request.timeout_ms.min(most_ms);
        let of_copies = !self.config.request_limits[content_type as usize].allows_body;
        let once = self.settings.content_types[content_type as usize].retry_safety != RetrySafety::Retriable;
        let object_hash = stable_hash(request.object.as_str().as_bytes());
        let (part, group) = (request.part, request.group);
        let (is_retry, size_kb) = (request.is_retry, request.size_kb);
        let body_hash = if request.body.is_empty() { 0 } else { stable_hash(&request.body) };
        let from = self.request_table.clients.from(client);
        let (request_id, object, deadline) = self.request_table.open(client, tag, request, of_copies, once);
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
            client: from,
            body_hash,
        };
        if let Some(own) = self.own_copy(now, &routing_request, request_id) {
            return self.serve(now, &routing_request, own);
        }
        if let Some(key) = self.asks_disk(now, &routing_request) {
            let generation = self.request_table.generation_of(request_id);
            self.reading.insert(request_id.0, Reading { generation, routing_request, key });
            self.request_table.effects.push(Effect::ReadCopy(key, ticket(request_id, generation)));
            return self.request_table.effects.push(Effect::Arm(
                now.after(DISK_PATIENCE),
                TimerKind::DiskReadTimeout(request_id, generation),
            ));
        }
        self.request_table.tell(&routing_request);
        self.module.request_arrived(now, &routing_request, &mut self.request_table);
    }

    /// Answers a request from an own copy.
    pub(super) fn serve(&mut self, now: Nanos, routing_request: &RoutingRequest, own: Own) {
        self.module.served_from_own_copy(now, routing_request, &mut self.request_table);
        match own {
            Own::Bytes(body) => self.request_table.answer(routing_request.request_id, Answer::Served(&body)),
            Own::Current => self.request_table.answer(routing_request.request_id, Answer::NotModified),
        }
        self.request_table.release(routing_request.request_id);
    }

    /// The key of a copy that the disk is to be asked for.
    pub(super) fn asks_disk(&self, now: Nanos, routing_request: &RoutingRequest) -> Option<Key> {
        let copies = self.copies.as_ref().filter(|_| !self.module.may_miss_purges(now))?;
        let content_type = self.settings.content_types.get(routing_request.content_type.0 as usize)?;
        // How old they are after a restart no wall clock can tell by itself.
        if content_type.fresh_for.is_some() && !self.external_time.has_copy_time() {
            return None;
        }
        let (object, part, _) = self.request_table.asked_for(routing_request.request_id)?;
        copies::key(routing_request.content_type.0, object, part).filter(|key| copies.asks_disk(key))
    }

    /// The disk has answered: the request is served, or goes on as if there were no disk.
    pub(super) fn copy_read(&mut self, now: Nanos, at: u64, copy: Option<(Facts, &[u8])>) {
        let request_id = RequestId((at >> 32) as u32);
        let asked =
            self.reading.get(&request_id.0).filter(|reading| ticket(request_id, reading.generation) == at);
        let (Some(Reading { routing_request, key, .. }), Some(copies)) = (asked, &mut self.copies) else {
            return;
        };
        if self.module.may_miss_purges(now) {
            return self.go_on(now, request_id);
        }
        let target = self.settings.content_types[routing_request.content_type.0 as usize].latency_target;
        let held = self.request_table.asked_for(request_id).and_then(|asked| asked.2);
        if let Some((facts, _)) = copy {
            self.external_time.observe_restored_copy(now, facts.made_ms);
        }
        let own = copies.read([now, target], self.external_time.latest_ms(now), key, held, copy);
        let Some(own) = own else { return self.go_on(now, request_id) };
        let (routing_request, key) = (*routing_request, *key);
        self.reading.remove(&request_id.0);
        if let (Some((facts, body)), Some((rate, hops))) = (copy, self.module.copy_demand(&routing_request)) {
            let offered = Offered { key, facts, body: body.into() };
            if let Some(copies) = &mut self.copies {
                copies.offer(offered, rate, hops);
            }
        }
        self.serve(now, &routing_request, own);
    }

    /// A request goes on without the disk.
    pub(super) fn go_on(&mut self, now: Nanos, request_id: RequestId) {
        let Some(Reading { routing_request, .. }) = self.reading.remove(&request_id.0) else { return };
        self.request_table.tell(&routing_request);
        self.module.request_arrived(now, &routing_request, &mut self.request_table);
    }

    /// All requests for which the disk was asked go on without it.
    pub(super) fn go_on_without_disk(&mut self, now: Nanos) {
        let mut waiting: Vec<_> = self.reading.keys().copied().collect();
        waiting.sort();
        waiting.into_iter().for_each(|request_id| self.go_on(now, RequestId(request_id)));
    }

    /// What a request is served from here with, if anything.
    pub(super) fn own_copy(
        &mut self,
        now: Nanos,
        routing_request: &RoutingRequest,
        request_id: RequestId,
    ) -> Option<Own> {
        let copies = self.copies.as_mut()?;
        // A purge that was not heard may be of any copy.
        if self.module.may_miss_purges(now) {
            self.doubt.own_copies_withheld += 1;
            return None;
        }
        let (object, part, held) = self.request_table.asked_for(request_id)?;
        let key = copies::key(routing_request.content_type.0, object, part)?;
        let target = self.settings.content_types[routing_request.content_type.0 as usize].latency_target;
        copies.serve(now, self.external_time.latest_ms(now), &key, held, target)
    }

    pub(super) fn forsake(&mut self, now: Nanos, request_id: RequestId) {
        if self.request_table.forsake(request_id) {
            if self.reading.remove(&request_id.0).is_some() {
                return self.request_table.release(request_id);
            }
            self.module.client_gone(now, request_id, &mut self.request_table);
            // Where attempts are not called off, what waits to be sent must not be sent for who has left.
            self.request_table.drop_unsent(request_id);
            self.hand_on_ends(now);
        }
    }

    /// The client's time is up: the module hears that its attempts ended unanswered, and answers.
    pub(super) fn expire(&mut self, now: Nanos, request: RequestId, generation: u64) {
        if !self.request_table.is_owed(request, generation) {
            return self.expire_forsaken(now, request, generation);
        }
        if self.reading.remove(&request.0).is_some() {
            self.request_table.answer(request, Answer::Failed);
            return self.request_table.release(request);
        }
        self.request_table.expire(request);
        self.hand_on_ends(now);
        if self.request_table.is_owed(request, generation) {
            self.request_table.answer(request, Answer::Failed);
            self.module.client_gone(now, request, &mut self.request_table);
            // Before its deadline another attempt may have been ordered, and attempts are not always cancelled.
            self.request_table.drop_unsent(request);
        }
    }

    /// Where attempts are not cancelled, those for a client that has gone end by its deadline at the latest.
    fn expire_forsaken(&mut self, now: Nanos, request: RequestId, generation: u64) {
        if self.request_table.generation_of(request) == generation {
            self.request_table.expire(request);
            self.hand_on_ends(now);
        }
    }

    /// A client's connection has ended, or ends at once.
    pub(super) fn client_closed(&mut self, now: Nanos, number: u32) {
        self.request_table
            .remove_client(number)
            .into_iter()
            .for_each(|request_id| self.forsake(now, request_id));
    }

    /// A client's connection is to end in order.
    pub(super) fn client_shut(&mut self, now: Nanos, number: u32) {
        self.request_table
            .shut_client(number)
            .into_iter()
            .for_each(|request_id| self.forsake(now, request_id));
    }

    /// A client sends no more. Most have left, so nothing more is sent for them; one that still reads is told at once.
    pub(super) fn client_ended(&mut self, now: Nanos, number: u32) {
        self.tell_failed(now, number);
        self.client_closed(now, number);
    }

    /// A client that takes too little is not waited for any longer: all that it asked is answered, and its connection ends.
    pub(super) fn client_dismissed(&mut self, now: Nanos, number: u32) {
        self.tell_failed(now, number);
        self.client_shut(now, number);
    }

    /// All that a client waits for is given up, and it is told so.
    fn tell_failed(&mut self, now: Nanos, number: u32) {
        let open =
            self.request_table.clients.get_mut(number).map(|client| client.open.clone()).unwrap_or_default();
        let mut open: Vec<_> = open.into_iter().collect();
        open.sort_by_key(|(tag, _)| *tag);
        for (tag, request_id) in open {
            self.forsake(now, request_id);
            self.request_table.write(number, tag, Answer::Failed);
        }
    }
}

/// What the disk is asked under: the request's slot, and enough of its serial to tell it from the next one there.
fn ticket(request_id: RequestId, generation: u64) -> u64 {
    u64::from(request_id.0) << 32 | generation & 0xffff_ffff
}
