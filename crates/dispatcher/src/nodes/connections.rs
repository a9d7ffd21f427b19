//! Connections that come up, bring answers, and end.

use super::*;

impl Nodes {
    /// A connection has come up.
    pub fn connection_opened(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.up = true;
        connection.answered = now;
        if self.held_back {
            effects.push(Effect::SetReading(Peer::Node(number), false));
        }
    }

    /// The node that a connection goes to.
    pub fn node_of(&self, number: u32) -> Option<NodeId> {
        self.connections.get(&number).map(|connection| connection.node)
    }

    /// Whether a connection is still being made.
    pub fn is_connecting(&self, number: u32) -> bool {
        self.connections.get(&number).is_some_and(|connection| !connection.up)
    }

    /// Bytes for a node have left, so many in all.
    pub fn written(&mut self, number: u32, total: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.written = total;
            while connection.aborts.front().is_some_and(|(begin, _)| *begin < total) {
                connection.aborts.pop_front();
            }
        }
    }

    /// A node has sent bytes.
    pub fn received(&mut self, number: u32, bytes: &[u8], now: Nanos) {
        if let Some(connection) = self.connections.get_mut(&number) {
            (connection.used, connection.heard, connection.after_rest) = (now, now, false);
            connection.decoder.feed(bytes);
            if std::mem::take(&mut connection.unheard) {
                let pool = self.pools.get_mut(connection.node.0);
                pool.into_iter().for_each(|pool| pool.back_off.accepted());
            }
        }
    }

    /// The next whole answer of a node, and whose attempt it ends, if it still is somebody's. Where no more can
    /// be read, the connection is to be closed.
    pub fn next_message(&mut self, number: u32, now: Nanos) -> NextMessage {
        let Some(connection) = self.connections.get_mut(&number) else { return NextMessage::Incomplete };
        match connection.decoder.next_message() {
            Ok(None) => {
                connection.decoder.release_spare_memory();
                NextMessage::Incomplete
            }
            Ok(Some(Message::ProbeAnswer { tag, takes_work })) => {
                let node = connection.node;
                match tag.and_then(|tag| self.probes.answered(tag, node, takes_work)) {
                    Some(asked) => NextMessage::ProbeAnswer(node, asked, takes_work),
                    None => NextMessage::Unmatched,
                }
            }
            Ok(Some(Message::Answer(answer))) => {
                connection.answered = now;
                // A second answer may follow: before a later attempt of the same request has left whole, it can't be that
                // one's. The id stays until its request expires, see `may_carry`.
                let has_left = |w: &&mut Written| w.end <= connection.written;
                let asked = answer.id.and_then(|id| connection.out.get_mut(&id)).filter(has_left);
                let attempt = asked.and_then(|written| {
                    written.answered |= written.attempt.is_some();
                    written.attempt.take()
                });
                connection.live -= usize::from(attempt.is_some());
                attempt.map_or(NextMessage::Unmatched, |attempt| NextMessage::Answer(attempt, answer))
            }
            Err(fault) => {
                self.complaints.warn(now, format_args!("node {}: {fault}", self.ids.key(connection.node.0)));
                NextMessage::Unreadable
            }
        }
    }

    /// Whether an attempt has begun to leave on a connection and is not whole.
    pub fn is_partly_written(&self, number: u32, attempt: AttemptId) -> bool {
        let Some(connection) = self.connections.get(&number) else { return false };
        let mut out = connection.out.values();
        out.any(|w| w.attempt == Some(attempt) && w.begin < connection.written && connection.written < w.end)
    }

    /// A connection is over, or never came up; one that came up and brought nothing was turned away. Returns as
    /// `close`.
    pub fn connection_ended(
        &mut self,
        number: u32,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Vec<(AttemptId, Outcome)> {
        let turned_away = |c: &&Connection| c.up && c.unheard && c.load() > 0;
        let node = self.connections.get(&number).filter(turned_away).map(|connection| connection.node);
        let attempts = self.close(number, effects);
        if let Some(node) = node
            && let Some(pool) = self.pools.get_mut(node.0)
        {
            let until = self.openings.refused(now, &mut pool.back_off);
            self.full.extend(until.filter(|_| pool.connections.is_empty()).map(|until| (node, until)));
        }
        attempts
    }

    /// Lets go of a connection. Returns the attempts on it in their order, and how each ended: one
    /// whose last byte had not left never ran, and a connection that had come up says nothing of the node.
    pub(super) fn close(&mut self, number: u32, effects: &mut Vec<Effect>) -> Vec<(AttemptId, Outcome)> {
        let Some(connection) = self.connections.remove(&number) else { return Vec::new() };
        if connection.after_rest && connection.live > 0 {
            self.doubt = connection.used.after(DOUBT);
        }
        effects.push(Effect::Close(Peer::Node(number)));
        if let Some(pool) = self.pools.get_mut(connection.node.0) {
            pool.connections.retain(|other| *other != number);
        }
        let mut out: Vec<_> = connection.out.values().collect();
        out.sort_by_key(|written| written.end);
        let unsent = if connection.up { Outcome::NotSent } else { Outcome::Unreachable };
        let end = |w: &Written| if w.end <= connection.written { Outcome::Broken } else { unsent };
        let out = out.into_iter().filter_map(|w| w.attempt.map(|attempt| (attempt, end(w))));
        out.chain(connection.waiting.iter().map(|attempt| (*attempt, unsent))).collect()
    }

    /// Closes a connection that takes no further attempts once it carries none.
    pub fn close_if_spent(&mut self, number: u32, effects: &mut Vec<Effect>) {
        if self.connections.get(&number).is_some_and(|c| c.retired && c.load() == 0) {
            self.close(number, effects);
        }
    }

    /// The connections to a node that have finished no answer since then take no further attempts.
    pub(super) fn retire(&mut self, node: NodeId, since: Nanos, effects: &mut Vec<Effect>) {
        let numbers = self.pools.get(node.0).map(|pool| pool.connections.clone()).unwrap_or_default();
        for number in numbers {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.retired |= connection.answered <= since;
            }
            self.close_if_spent(number, effects);
        }
    }

    /// The connections on which an answer has begun and does not go on: they are of no further use.
    pub fn stalled(&mut self, now: Nanos) -> Vec<u32> {
        let stuck =
            |c: &Connection| !self.held_back && c.decoder.has_partial_message() && now.since(c.heard) > STUCK;
        let mut stuck: Vec<_> = self.connections.iter().filter(|(_, c)| stuck(c)).map(|(n, _)| *n).collect();
        stuck.sort();
        for connection in stuck.iter().filter_map(|number| self.connections.get(number)) {
            let id = self.ids.key(connection.node.0);
            self.complaints.warn(now, format_args!("node {id}: an answer does not go on"));
        }
        stuck
    }

    /// Closes connections that carry nothing before the node does, so that no attempt crosses its close, and
    /// forgets the ids of attempts that were given up once they can't come again.
    pub fn close_idle(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let idle = Nanos(self.limits.peer_idle_timeout.0 / 4 * 3);
        for connection in self.connections.values_mut() {
            connection.out.retain(|_, written| written.attempt.is_some() || written.expires > now);
        }
        let old = |c: &Connection| c.load() == 0 && idle > Nanos::ZERO && now.since(c.used) > idle;
        // While connections are spared, others need those that carry nothing beside another.
        let spared = self.openings.limits_to_one(now);
        let first = |c: &Connection| self.pools.get(c.node.0).and_then(|pool| pool.connections.first());
        let beside = |number: &u32, c: &Connection| spared && c.load() == 0 && first(c) != Some(number);
        let spent = self.connections.iter().filter(|(number, c)| old(c) || beside(number, c));
        let mut spent: Vec<_> = spent.map(|(number, _)| *number).collect();
        spent.sort();
        for number in spent {
            self.close(number, effects);
        }
    }

    /// Nodes are read from, or left alone for now.
    pub fn pause_reads(&mut self, held_back: bool, effects: &mut Vec<Effect>) {
        if self.held_back == held_back {
            return;
        }
        self.held_back = held_back;
        log::warn!("clients take too little: nodes are {}read from", if held_back { "not " } else { "" });
        let mut numbers: Vec<_> = self.connections.keys().copied().collect();
        numbers.sort();
        effects.extend(numbers.into_iter().map(|number| Effect::SetReading(Peer::Node(number), !held_back)));
    }

    /// Whether nodes are left alone for now.
    pub fn reads_paused(&self) -> bool {
        self.held_back
    }
}
