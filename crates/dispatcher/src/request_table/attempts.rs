//! Attempts on their connections: handed over, ended, given up.

use super::*;

impl RequestTable {
    /// Ends an attempt that is out, for the module to hear.
    pub(super) fn end(&mut self, attempt: AttemptId, outcome: Outcome, told: Option<&nodes::Answer>) {
        let Some(pending) = self.pending.get_mut(attempt.request_id.0) else { return };
        let Some(ended) = pending.attempts.get_mut(attempt.number as usize).filter(|ended| ended.out) else {
            return;
        };
        ended.out = false;
        let duration = self.now.since(ended.at);
        let completes_request = outcome == Outcome::Served;
        let why = told.map_or(Remark::None, |told| told.remark);
        let (id, node) = (pending.request.id, self.nodes.id(ended.attempt.node));
        let bytes = told.map_or(0, |told| told.body.len());
        let size = pending.request.size_kb.unwrap_or_default();
        let (number, us) = (attempt.number, duration.0 / 1_000);
        log::debug!(target: TRACE, "{id} pull {number} at {node} {outcome:?} {why:?} in {us} us, {bytes} bytes for {size} KB");
        let client = pending.client;
        let made_ms = told.and_then(|told| told.copy).map(|(_, made_ms)| made_ms);
        self.latest_made_ms = self.latest_made_ms.max(made_ms);
        if self.keeps_copies && completes_request {
            self.offered.extend(told.and_then(|told| pending.offer(told)));
        }
        if let Some(told) = told.filter(|_| completes_request) {
            let short = self.is_short_for(client);
            self.answer(
                attempt.request_id,
                match told.not_modified {
                    true => Answer::NotModified,
                    // It may have run, so nothing is promised; others are served from what memory is left.
                    false if short => Answer::Failed,
                    false => Answer::Served(&told.body),
                },
            );
        }
        let first_byte_wait = told.and_then(|told| told.first_byte_wait);
        let remark = told.map_or(Remark::None, |told| told.remark);
        let report = told.map_or(LoadReport::default(), |told| told.report);
        self.ended.push_back((
            attempt,
            AttemptEnd { outcome, duration, completes_request, first_byte_wait, remark, report },
        ));
    }

    /// Gives up an attempt that is out. One that was not sent when its time was up never ran.
    pub(super) fn give_up(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(pending) = self.pending.get(attempt.request_id.0) else { return };
        let Some(out) = pending.attempts.get(attempt.number as usize).filter(|out| out.out) else { return };
        let id = pending.request.id;
        let connection = out.connection;
        let unsent = self.nodes.abort(connection, attempt, id, pending.owed, &mut self.effects);
        let outcome = if unsent && outcome == Outcome::TimedOut { Outcome::NotSent } else { outcome };
        self.end(attempt, outcome, None);
        if unsent {
            // What was behind it in the same bytes goes now.
            self.hand_over(connection);
        }
    }

    /// Hands over what waits for a connection: an attempt is put into words as it is written.
    pub(super) fn hand_over(&mut self, connection: u32) {
        let (pending, now) = (&self.pending, self.now);
        let late = |attempt: &AttemptId| {
            let of = pending.get(attempt.request_id.0);
            let out = of
                .and_then(|pending| pending.attempts.get(attempt.number as usize).map(|out| (pending, out)));
            out.is_some_and(|(pending, out)| {
                out.attempt.send_by.is_some_and(|by| by < now) || out.until(pending).since(now) < LEAST_LEFT
            })
        };
        let late = self.nodes.retract_waiting(connection, late);
        late.into_iter().for_each(|attempt| self.end(attempt, Outcome::NotSent, None));
        let pending = &self.pending;
        let fetch = |attempt: AttemptId| {
            let pending = pending.get(attempt.request_id.0)?;
            let out = pending.attempts.get(attempt.number as usize)?;
            let (request, order) = (&pending.request, &out.attempt);
            let fetch = Fetch {
                id: request.id,
                content_type: &request.content_type,
                object: request.object,
                part: request.part,
                timeout: out.until(pending).since(now),
                source: out.source.as_deref(),
                // The age means the same moment as when it was ordered.
                attempt: Attempt { max_age: order.max_age.map(|age| age.after(now.since(out.at))), ..*order },
                cached_tag: request.cached_tag,
                idempotency_key: request.idempotency_key.as_deref(),
                body: &request.body,
            };
            Some((fetch, pending.expires, pending.once))
        };
        self.nodes.write_waiting(connection, now, fetch, &mut self.effects);
    }

    /// What was to be written to a node has waited for long: what has not begun to leave is put into words anew as it does.
    pub fn renew(&mut self, connection: u32) {
        self.nodes.requeue_unsent(connection, &mut self.effects);
        self.hand_over(connection);
        self.nodes.close_if_spent(connection, &mut self.effects);
    }

    // Node connections.

    /// A connection to a node has come up.
    pub fn node_connected(&mut self, connection: u32) {
        self.nodes.connection_opened(connection, self.now, &mut self.effects);
        self.hand_over(connection);
    }

    /// Bytes for a node have left.
    pub fn node_written(&mut self, connection: u32, total: u64) {
        self.nodes.written(connection, total);
        self.hand_over(connection);
    }

    /// A node has sent bytes.
    pub fn node_received(&mut self, connection: u32, bytes: &[u8]) {
        self.nodes.received(connection, bytes, self.now);
        loop {
            match self.nodes.next_message(connection, self.now) {
                NextMessage::Incomplete => return self.nodes.close_if_spent(connection, &mut self.effects),
                NextMessage::Unmatched => {}
                NextMessage::ProbeAnswer(node, asked, takes_work) => {
                    self.alive.push((node, asked, takes_work))
                }
                NextMessage::Answer(attempt, answer) if self.is_sound(attempt, &answer) => {
                    self.end(attempt, answer.outcome, Some(&answer));
                }
                NextMessage::Answer(attempt, _) => {
                    self.end(attempt, Outcome::Broken, None);
                    return self.node_closed(connection);
                }
                NextMessage::Unreadable => return self.node_closed(connection),
            }
        }
    }

    /// Whether an answer can be one to this pull: a copy comes with its tag and time, and only who holds one
    /// hears that it still is the one. Where not, nothing on that connection can be trusted.
    pub(super) fn is_sound(&self, attempt: AttemptId, answer: &nodes::Answer) -> bool {
        let Some(pending) = self.pending.get(attempt.request_id.0) else { return true };
        let copy = answer.copy.is_some() || !pending.of_copies;
        let current = pending.request.cached_tag.is_some() && answer.body.is_empty();
        answer.outcome != Outcome::Served || (copy && (current || !answer.not_modified))
    }

    /// A connection to a node is over, or never came up: what had not left whole never ran.
    pub fn node_closed(&mut self, connection: u32) {
        if let Some(node) = self.nodes.node_of(connection) {
            let id = self.nodes.id(node);
            log::debug!(target: TRACE, "node {id}: connection {connection} ended");
        }
        for (attempt, outcome) in self.nodes.connection_ended(connection, self.now, &mut self.effects) {
            self.end(attempt, outcome, None);
        }
    }

    /// A connection to a node could not be made for want of something of this machine's own: the node is not to blame.
    pub fn node_unopened(&mut self, connection: u32) {
        for (attempt, _) in self.nodes.connection_ended(connection, self.now, &mut self.effects) {
            self.end(attempt, Outcome::NotSent, None);
        }
    }

    /// The time to connect is over.
    pub fn connect_overdue(&mut self, connection: u32) {
        if self.nodes.is_connecting(connection) {
            self.node_closed(connection);
        }
    }
}
