//! Events of connections to nodes: established, written, received, ended; and the periodic checks of them.

use super::*;

impl Nodes {
    /// A connection is established.
    pub fn connection_opened(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.is_up = true;
        connection.last_answer_at = now;
        if self.reads_paused {
            effects.push(Effect::SetReading(Peer::Node(number), false));
        }
    }

    /// The node of a connection.
    pub fn node_of(&self, number: u32) -> Option<NodeId> {
        self.connections.get(&number).map(|connection| connection.node)
    }

    /// Whether a connection is not established yet.
    pub fn is_connecting(&self, number: u32) -> bool {
        self.connections.get(&number).is_some_and(|connection| !connection.is_up)
    }

    /// The socket has taken this many bytes in total.
    pub fn written(&mut self, number: u32, total: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.bytes_written = total;
            while connection.aborts.front().is_some_and(|(start, _)| *start < total) {
                connection.aborts.pop_front();
            }
        }
    }

    /// Bytes have arrived from a node.
    pub fn received(&mut self, number: u32, bytes: &[u8], now: Nanos) {
        if let Some(connection) = self.connections.get_mut(&number) {
            (connection.last_used, connection.last_received, connection.reused_after_idle) =
                (now, now, false);
            connection.decoder.feed(bytes);
            if std::mem::take(&mut connection.nothing_received) {
                let pool = self.pools.get_mut(connection.node.0);
                pool.into_iter().for_each(|pool| pool.back_off.accepted());
            }
        }
    }

    /// Decodes the next message from a node. An answer comes with the attempt that it ends, if that attempt is still
    /// awaited.
    pub fn next_message(&mut self, number: u32, now: Nanos) -> NextMessage {
        let Some(connection) = self.connections.get_mut(&number) else { return NextMessage::Incomplete };
        match connection.decoder.next_message() {
            Ok(None) => {
                connection.decoder.release_spare_memory();
                self.count_input(number, now);
                NextMessage::Incomplete
            }
            Ok(Some(Message::ProbeAnswer { tag, takes_work })) => {
                let node = connection.node;
                match tag.and_then(|tag| self.probes.answered(tag, node, takes_work)) {
                    Some(sent_at) => NextMessage::ProbeAnswer(node, sent_at, takes_work),
                    None => NextMessage::Unmatched,
                }
            }
            Ok(Some(Message::Answer(answer))) => {
                (connection.last_answer_at, connection.answer_began_at) = (now, None);
                // An answer that arrives before a later attempt of the same request was written in full can't belong to
                // that attempt: it is a second answer to the earlier one. The id stays until its request expires, see
                // `may_carry`.
                let is_sent = |w: &&mut WrittenAttempt| w.end <= connection.bytes_written;
                let in_flight = answer.id.and_then(|id| connection.in_flight.get_mut(&id)).filter(is_sent);
                let attempt = in_flight.and_then(|written| {
                    written.answered |= written.attempt.is_some();
                    written.attempt.take()
                });
                connection.awaited -= usize::from(attempt.is_some());
                attempt.map_or(NextMessage::Unmatched, |attempt| NextMessage::Answer(attempt, answer))
            }
            Err(fault) => {
                self.log_limiter.warn(now, format_args!("node {}: {fault}", self.ids.key(connection.node.0)));
                NextMessage::Unreadable
            }
        }
    }

    /// Whether the socket has taken part of an attempt, but not all of it.
    pub fn is_partly_written(&self, number: u32, attempt: AttemptId) -> bool {
        let Some(connection) = self.connections.get(&number) else { return false };
        let mut in_flight = connection.in_flight.values();
        in_flight.any(|w| {
            w.attempt == Some(attempt)
                && w.start < connection.bytes_written
                && connection.bytes_written < w.end
        })
    }

    /// A connection has ended or could not be established. If it was established and brought nothing although it
    /// carried attempts, the node has refused it. Returns the same as `close`.
    pub fn connection_ended(
        &mut self,
        number: u32,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Vec<(AttemptId, Outcome)> {
        let is_refused = |c: &&Connection| c.is_up && c.nothing_received && c.load() > 0;
        let node = self.connections.get(&number).filter(is_refused).map(|connection| connection.node);
        let attempts = self.close(number, effects);
        if let Some(node) = node
            && let Some(pool) = self.pools.get_mut(node.0)
        {
            let until = self.back_off.refused(now, &mut pool.back_off);
            self.refusing.extend(until.filter(|_| pool.connections.is_empty()).map(|until| (node, until)));
        }
        attempts
    }

    /// Closes a connection. Returns the attempts on it in order, with their outcomes. An attempt whose last byte was
    /// not written has not run: it counts as not sent if the connection was established, which says nothing about the
    /// node, and else as unreachable.
    pub(super) fn close(&mut self, number: u32, effects: &mut Vec<Effect>) -> Vec<(AttemptId, Outcome)> {
        let Some(connection) = self.connections.remove(&number) else { return Vec::new() };
        if connection.reused_after_idle && connection.awaited > 0 {
            self.avoid_idle_until = connection.last_used.after(IDLE_REUSE_PAUSE);
        }
        self.input_bytes -= connection.input_bytes;
        effects.push(Effect::Close(Peer::Node(number)));
        if let Some(pool) = self.pools.get_mut(connection.node.0) {
            pool.connections.retain(|other| *other != number);
        }
        let mut written: Vec<_> = connection.in_flight.values().collect();
        written.sort_by_key(|attempt| attempt.end);
        let unsent = if connection.is_up { Outcome::NotSent } else { Outcome::Unreachable };
        let outcome =
            |w: &WrittenAttempt| if w.end <= connection.bytes_written { Outcome::Broken } else { unsent };
        let ended = written.into_iter().filter_map(|w| w.attempt.map(|attempt| (attempt, outcome(w))));
        ended.chain(connection.waiting.iter().map(|attempt| (*attempt, unsent))).collect()
    }

    /// Closes a retired connection that carries no attempts.
    pub fn close_if_spent(&mut self, number: u32, effects: &mut Vec<Effect>) {
        if self.connections.get(&number).is_some_and(|c| c.retired && c.load() == 0) {
            self.close(number, effects);
        }
    }

    /// Retires the connections to a node that have completed no answer after `since`: they take no further attempts.
    pub(super) fn retire(&mut self, node: NodeId, since: Nanos, effects: &mut Vec<Effect>) {
        let numbers = self.pools.get(node.0).map(|pool| pool.connections.clone()).unwrap_or_default();
        for number in numbers {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.retired |= connection.last_answer_at <= since;
            }
            self.close_if_spent(number, effects);
        }
    }

    /// The connections on which an answer has begun and has not continued for [`STALL_TIMEOUT`]; the caller closes
    /// them.
    pub fn stalled(&mut self, now: Nanos) -> Vec<u32> {
        let stalled = |c: &Connection| {
            !self.reads_paused
                && c.decoder.has_partial_message()
                && now.since(c.last_received) > STALL_TIMEOUT
        };
        let mut stalled: Vec<_> =
            self.connections.iter().filter(|(_, c)| stalled(c)).map(|(n, _)| *n).collect();
        stalled.sort();
        for connection in stalled.iter().filter_map(|number| self.connections.get(number)) {
            let id = self.ids.key(connection.node.0);
            self.log_limiter.warn(
                now,
                format_args!(
                    "node {id}: incomplete answer, nothing received for {} ms",
                    STALL_TIMEOUT.0 / 1_000_000
                ),
            );
        }
        stalled
    }

    /// Closes idle connections before the node's idle timeout does, so that no attempt is written while the node
    /// closes. Also forgets the ids of attempts that are no longer awaited once their requests have expired.
    pub fn close_idle(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        // Three quarters of the node's timeout.
        let max_idle = Nanos(self.limits.peer_idle_timeout.0 / 4 * 3);
        for connection in self.connections.values_mut() {
            connection.in_flight.retain(|_, written| written.attempt.is_some() || written.expires_at > now);
        }
        let is_idle =
            |c: &Connection| c.load() == 0 && max_idle > Nanos::ZERO && now.since(c.last_used) > max_idle;
        // While connections are limited, a second connection to a node is closed as soon as it carries nothing.
        let limited = self.back_off.limits_to_one(now);
        let first = |c: &Connection| self.pools.get(c.node.0).and_then(|pool| pool.connections.first());
        let is_surplus = |number: &u32, c: &Connection| limited && c.load() == 0 && first(c) != Some(number);
        let closable = self.connections.iter().filter(|(number, c)| is_idle(c) || is_surplus(number, c));
        let mut closable: Vec<_> = closable.map(|(number, _)| *number).collect();
        closable.sort();
        for number in closable {
            self.close(number, effects);
        }
    }

    /// Counts the memory that an incomplete answer on a connection takes.
    fn count_input(&mut self, number: u32, now: Nanos) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let held = connection.decoder.held_bytes() as u64;
        self.input_bytes = self.input_bytes - connection.input_bytes + held;
        connection.input_bytes = held;
        let is_partial = connection.decoder.has_partial_message();
        connection.answer_began_at = is_partial.then(|| connection.answer_began_at.unwrap_or(now));
    }

    /// While incomplete answers take more than `max_bytes`: the connection on which one has lasted longest, which the
    /// caller closes. Prevents many slow nodes from taking all memory. Costs the attempts on that connection.
    pub fn slowest_over_limit(&mut self, max_bytes: u64, now: Nanos) -> Option<u32> {
        if self.input_bytes <= max_bytes {
            return None;
        }
        let began = |(number, c): (&u32, &Connection)| Some((c.answer_began_at?, *number));
        let (_, number) = self.connections.iter().filter_map(began).min()?;
        let id = self.connections.get(&number).map(|connection| self.ids.key(connection.node.0).clone());
        let line = format_args!("node {}: incomplete answers take too much memory", id.unwrap_or_default());
        self.log_limiter.warn(now, line);
        Some(number)
    }

    /// Pauses or resumes reading from all nodes.
    pub fn pause_reads(&mut self, paused: bool, effects: &mut Vec<Effect>) {
        if self.reads_paused == paused {
            return;
        }
        self.reads_paused = paused;
        log::warn!(
            "clients read too slowly: reading from nodes {}",
            if paused { "paused" } else { "resumed" }
        );
        let mut numbers: Vec<_> = self.connections.keys().copied().collect();
        numbers.sort();
        effects.extend(numbers.into_iter().map(|number| Effect::SetReading(Peer::Node(number), !paused)));
    }

    /// The bytes that wait to be written to nodes.
    pub fn unsent_bytes(&self) -> u64 {
        self.connections.values().map(|c| c.bytes_queued.saturating_sub(c.bytes_written)).sum()
    }

    /// Whether reading from nodes is paused.
    pub fn reads_paused(&self) -> bool {
        self.reads_paused
    }
}
