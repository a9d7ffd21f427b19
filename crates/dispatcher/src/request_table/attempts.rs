//! Attempts and the node connections that carry them: sending, answers, aborts and ends of connections.

use super::*;

impl RequestTable {
    /// Ends an attempt in flight and queues its outcome for the routing policy.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<&nodes::Answer>,
    ) {
        let Some(pending) = self.pending.get_mut(attempt.request_id.0) else { return };
        let Some(ended) = pending.attempts.get_mut(attempt.number as usize).filter(|ended| ended.in_flight)
        else {
            return;
        };
        ended.in_flight = false;
        let duration = self.now.since(ended.started_at);
        let completes_request = outcome == Outcome::Served;
        let why = answer.map_or(Remark::None, |answer| answer.remark);
        let (id, node) = (pending.request.id, self.nodes.id(ended.attempt.node));
        let bytes = answer.map_or(0, |answer| answer.body.len());
        let size = pending.request.size_kb.unwrap_or_default();
        let (number, us) = (attempt.number, duration.0 / 1_000);
        log::debug!(target: TRACE, "{id} attempt {number} at {node} {outcome:?} {why:?} in {us} us, {bytes} bytes for {size} KB");
        let client = pending.client;
        let ordered_at = ended.started_at;
        let copy_time = |answer: &nodes::Answer| {
            let from_origin = answer.outcome == Outcome::Served && answer.remark == Remark::FilledFromOrigin;
            answer.copy.map(|(_, made_ms)| CopyTime { made_ms, ordered_at, from_origin })
        };
        self.copy_times.extend(answer.and_then(copy_time));
        if self.collects_copies && completes_request {
            self.offered.extend(answer.and_then(|answer| pending.offer(answer)));
        }
        if let Some(answer) = answer.filter(|_| completes_request) {
            let short = self.is_memory_short_for(client);
            self.answer(
                attempt.request_id,
                match answer.not_modified {
                    true => Answer::NotModified,
                    // The request may have run, so a retry can't be declared safe; the remaining memory is
                    // left to other clients.
                    false if short => Answer::Failed,
                    false => Answer::Served(&answer.body),
                },
            );
        }
        let first_byte_wait = answer.and_then(|answer| answer.first_byte_wait);
        let remark = answer.map_or(Remark::None, |answer| answer.remark);
        let report = answer.map_or(LoadReport::default(), |answer| answer.report);
        self.ended_attempts.push_back((
            attempt,
            AttemptEnd { outcome, duration, completes_request, first_byte_wait, remark, report },
        ));
    }

    /// Aborts an attempt in flight. One that had not been sent when its time was up never ran.
    pub(super) fn abort_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(pending) = self.pending.get(attempt.request_id.0) else { return };
        let Some(entry) = pending.attempts.get(attempt.number as usize).filter(|entry| entry.in_flight)
        else {
            return;
        };
        let id = pending.request.id;
        let connection = entry.connection;
        let unsent = self.nodes.abort(connection, attempt, id, pending.awaiting_answer, &mut self.effects);
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NotSent } else { outcome };
        self.end_attempt(attempt, outcome, None);
        if unsent {
            // Attempts queued behind it in the same bytes are sent now.
            self.send_waiting(connection);
        }
    }

    /// Sends the attempts that wait for a connection. Each is encoded only as it is written.
    pub(super) fn send_waiting(&mut self, connection: u32) {
        let (pending, now) = (&self.pending, self.now);
        let late = |attempt: &AttemptId| {
            let pending = pending.get(attempt.request_id.0);
            let entry = pending.and_then(|pending| {
                pending.attempts.get(attempt.number as usize).map(|entry| (pending, entry))
            });
            entry.is_some_and(|(pending, entry)| {
                entry.attempt.send_by.is_some_and(|by| by < now)
                    || entry.deadline(pending).since(now) < MIN_TIME_LEFT
            })
        };
        let late = self.nodes.retract_waiting(connection, late);
        late.into_iter().for_each(|attempt| self.end_attempt(attempt, Outcome::NotSent, None));
        let pending = &self.pending;
        let fetch = |attempt: AttemptId| {
            let pending = pending.get(attempt.request_id.0)?;
            let entry = pending.attempts.get(attempt.number as usize)?;
            let (request, order) = (&pending.request, &entry.attempt);
            let fetch = Fetch {
                id: request.id,
                content_type: &request.content_type,
                object: request.object,
                part: request.part,
                timeout: entry.deadline(pending).since(now),
                source: entry.source.as_deref(),
                // The age limit is relative to the time at which the attempt was ordered.
                attempt: Attempt {
                    max_age: order.max_age.map(|age| age.after(now.since(entry.started_at))),
                    ..*order
                },
                cached_tag: request.cached_tag,
                idempotency_key: request.idempotency_key.as_deref(),
                body: &request.body,
            };
            Some((fetch, pending.deadline, pending.at_most_once))
        };
        self.nodes.write_waiting(connection, now, fetch, &mut self.effects);
    }

    /// Output queued for a node has waited too long: attempts that have not started to leave are encoded
    /// again.
    pub fn reencode_unsent(&mut self, connection: u32) {
        self.nodes.requeue_unsent(connection, &mut self.effects);
        self.send_waiting(connection);
        self.nodes.close_if_spent(connection, &mut self.effects);
    }

    // Node connections.

    /// A connection to a node is established.
    pub fn node_connected(&mut self, connection: u32) {
        self.nodes.connection_opened(connection, self.now, &mut self.effects);
        self.send_waiting(connection);
    }

    /// Bytes for a node have left, `total` since the connection began.
    pub fn node_written(&mut self, connection: u32, total: u64) {
        self.nodes.written(connection, total);
        self.send_waiting(connection);
    }

    /// A node has sent bytes.
    pub fn node_received(&mut self, connection: u32, bytes: &[u8]) {
        self.nodes.received(connection, bytes, self.now);
        loop {
            match self.nodes.next_message(connection, self.now) {
                NextMessage::Incomplete => {
                    self.nodes.close_if_spent(connection, &mut self.effects);
                    return self.limit_node_input();
                }
                NextMessage::Unmatched => {}
                NextMessage::ProbeAnswer(node, sent_at, ready) => {
                    self.probe_answers.push((node, sent_at, ready))
                }
                NextMessage::Answer(attempt, answer) if self.is_valid_answer(attempt, &answer) => {
                    self.end_attempt(attempt, answer.outcome, Some(&answer));
                }
                NextMessage::Answer(attempt, _) => {
                    self.end_attempt(attempt, Outcome::Broken, None);
                    return self.node_closed(connection);
                }
                NextMessage::Unreadable => return self.node_closed(connection),
            }
        }
    }

    /// Closes the slowest connections while incomplete answers of nodes take more than their share of the memory.
    fn limit_node_input(&mut self) {
        while let Some(connection) = self.nodes.slowest_over_limit(self.memory.node_input, self.now) {
            self.node_closed(connection);
        }
    }

    /// Whether an answer fits its attempt: a copy needs its tag and time, and only a client that named a
    /// cached copy can be told that it is still current. After an answer that does not fit, nothing on the
    /// connection can be trusted.
    pub(super) fn is_valid_answer(&self, attempt: AttemptId, answer: &nodes::Answer) -> bool {
        let Some(pending) = self.pending.get(attempt.request_id.0) else { return true };
        let has_copy = answer.copy.is_some() || !pending.expects_copy;
        let may_be_not_modified = pending.request.cached_tag.is_some() && answer.body.is_empty();
        answer.outcome != Outcome::Served || (has_copy && (may_be_not_modified || !answer.not_modified))
    }

    /// A connection to a node has ended or could not be established. Attempts that had not completely left
    /// never ran.
    pub fn node_closed(&mut self, connection: u32) {
        if let Some(node) = self.nodes.node_of(connection) {
            let id = self.nodes.id(node);
            log::debug!(target: TRACE, "node {id}: connection {connection} ended");
        }
        for (attempt, outcome) in self.nodes.connection_ended(connection, self.now, &mut self.effects) {
            self.end_attempt(attempt, outcome, None);
        }
    }

    /// A connection to a node could not be made because this machine lacked a resource; the node is not
    /// blamed.
    pub fn node_connect_failed_locally(&mut self, connection: u32) {
        for (attempt, _) in self.nodes.connection_ended(connection, self.now, &mut self.effects) {
            self.end_attempt(attempt, Outcome::NotSent, None);
        }
    }

    /// The time limit for connecting has passed.
    pub fn connect_overdue(&mut self, connection: u32) {
        if self.nodes.is_connecting(connection) {
            self.node_closed(connection);
        }
    }
}
