//! Attempts and connections: assigning an attempt to a connection, writing it, and taking it back.

use super::*;

impl Nodes {
    /// Takes back the selected attempts, to any node, of which nothing was sent. Also returns the connections that they
    /// were on: other attempts may have to be written there again, and a retired one may have to be closed.
    pub fn retract_unsent(
        &mut self,
        selected: impl Fn(&AttemptId) -> bool,
        effects: &mut Vec<Effect>,
    ) -> (Vec<AttemptId>, Vec<u32>) {
        let (mut taken_back, mut freed): (Vec<AttemptId>, Vec<u32>) = Default::default();
        for (number, connection) in &mut self.connections {
            let before = taken_back.len();
            taken_back.extend(connection.waiting.iter().filter(|attempt| selected(attempt)));
            connection.waiting.retain(|attempt| !selected(attempt));
            taken_back.extend(connection.truncate_unsent(*number, &selected, effects));
            freed.extend((taken_back.len() > before).then_some(*number));
        }
        taken_back.sort_by_key(|attempt| (attempt.request_id.0, attempt.number));
        freed.sort();
        (taken_back, freed)
    }

    /// Takes back the selected attempts that wait for one connection.
    pub fn retract_waiting(&mut self, number: u32, selected: impl Fn(&AttemptId) -> bool) -> Vec<AttemptId> {
        let Some(connection) = self.connections.get_mut(&number) else { return Vec::new() };
        let taken_back = connection.waiting.iter().copied().filter(|attempt| selected(attempt)).collect();
        connection.waiting.retain(|attempt| !selected(attempt));
        taken_back
    }

    /// The attempts given to a connection of which nothing was sent wait to be written again.
    pub fn requeue_unsent(&mut self, number: u32, effects: &mut Vec<Effect>) {
        if let Some(connection) = self.connections.get_mut(&number) {
            // The last one is returned first.
            for attempt in connection.truncate_unsent(number, &|_| true, effects) {
                connection.waiting.push_front(attempt);
            }
        }
    }

    /// Assigns an attempt to a connection to its node, which is opened if needed; returns `None` if no connection can
    /// be had. For a request that must not run twice (`once`), idle connections are closed and a new one is opened.
    /// The same holds for all requests after a node has closed an idle connection under an attempt. Prevents attempts
    /// of unknown outcome. Costs a connect.
    pub fn assign(
        &mut self,
        node: NodeId,
        attempt: AttemptId,
        id: Hex,
        once: bool,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Option<u32> {
        let limited = self.back_off.limits_to_one(now);
        if once || (now < self.avoid_idle_until && !limited) {
            let is_idle = |number: &u32| self.connections.get(number).is_some_and(|c| c.is_idle(now));
            let pool = self.pools.get(node.0)?;
            let mut idle: Vec<_> = pool.connections.iter().copied().filter(is_idle).collect();
            // If no connection may be opened in its place, an idle one is better than none.
            if !self.back_off.may_open(now, &pool.back_off, pool.connections.len() - idle.len()) {
                idle.clear();
            }
            for number in idle {
                self.close(number, effects);
            }
        }
        let pool = self.pools.get(node.0)?;
        let address = pool.address?;
        let usable = |number: &&u32| self.connections.get(number).is_some_and(|c| !c.retired);
        let fits = |number: &&u32| {
            let connection = self.connections.get(number);
            connection.is_some_and(|c| c.load() < self.limits.max_in_flight && c.may_carry(&id))
        };
        let load = |number: &&u32| self.connections.get(number).map_or(0, Connection::load);
        let best = pool.connections.iter().filter(usable).filter(fits).min_by_key(load).copied();
        // All attempts on a connection fail with it: so one without attempts is preferred, then a new one, then the
        // least loaded.
        let usable_count = pool.connections.iter().filter(usable).count();
        let may_open = (usable_count == 0 || self.connections.len() < self.max_connections)
            && self.back_off.may_open(now, &pool.back_off, usable_count);
        let number = match best.filter(|number| !may_open || load(&number) == 0) {
            Some(number) => number,
            None if !may_open => return None,
            None => self.open_connection(node, address, now, effects),
        };
        self.connections.get_mut(&number)?.waiting.push_back(attempt);
        Some(number)
    }

    /// Opens a connection to a node.
    pub(super) fn open_connection(
        &mut self,
        node: NodeId,
        address: SocketAddr,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> u32 {
        self.last_number += 1;
        if let Some(pool) = self.pools.get_mut(node.0) {
            pool.connections.push(self.last_number);
        }
        self.connections.insert(self.last_number, Connection::new(node, now));
        effects.push(Effect::Connect(Peer::Node(self.last_number), address));
        effects.push(Effect::Arm(
            now.after(self.limits.connect_timeout),
            TimerKind::ConnectTimeout(self.last_number),
        ));
        self.last_number
    }

    /// Writes waiting attempts, up to [`MAX_BATCH_BYTES`], to a connection that has no unsent output. `fetch` returns
    /// the content of an attempt, the expiry of its request, and whether the request must not run twice. It returns
    /// `None` for an attempt that is no longer awaited.
    pub fn write_waiting<'a>(
        &mut self,
        number: u32,
        now: Nanos,
        fetch: impl Fn(AttemptId) -> Option<(Fetch<'a>, Nanos, bool)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if !connection.is_up || connection.bytes_queued > connection.bytes_written {
            return;
        }
        let was_idle = connection.awaited == 0 && now.since(connection.last_used) > IDLE_AFTER;
        let mut bytes = Vec::new();
        while bytes.len() < MAX_BATCH_BYTES {
            let Some(attempt) = connection.waiting.pop_front() else { break };
            let Some((fetch, expires, once)) = fetch(attempt) else { continue };
            let start = connection.bytes_queued + bytes.len() as u64;
            encode_fetch(&fetch, &mut bytes);
            let end = connection.bytes_queued + bytes.len() as u64;
            let attempt_count = connection
                .in_flight
                .get(&fetch.id)
                .map_or(1, |before| before.attempt_count.saturating_add(1));
            let attempt = Some(attempt);
            let written = WrittenAttempt {
                attempt,
                written_at: now,
                start,
                end,
                run_once: once,
                answered: false,
                attempt_count,
                expires_at: expires,
            };
            connection.in_flight.insert(fetch.id, written);
            connection.awaited += 1;
        }
        if !bytes.is_empty() {
            connection.bytes_queued += bytes.len() as u64;
            (connection.last_used, connection.reused_after_idle) = (now, was_idle);
            effects.push(Effect::Write(Peer::Node(number), bytes));
        }
    }

    /// Gives up an attempt. One of which nothing was sent is dropped, and the result is true; else the node is sent an
    /// abort. If the answer was awaited (`waited_for`) and the connection has completed no answer since the attempt was
    /// written, the node's connections without a later answer are retired: other attempts there might wait as long.
    pub fn abort(
        &mut self,
        number: u32,
        attempt: AttemptId,
        id: Hex,
        waited_for: bool,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        if let Some(at) = connection.waiting.iter().position(|waiting| *waiting == attempt) {
            connection.waiting.remove(at);
            self.close_if_spent(number, effects);
            return true;
        }
        if !connection.truncate_unsent(number, &|other| *other == attempt, effects).is_empty() {
            self.close_if_spent(number, effects);
            return true;
        }
        let Some(written) = connection.in_flight.get_mut(&id).filter(|w| w.attempt == Some(attempt)) else {
            return false;
        };
        written.attempt = None;
        connection.awaited -= 1;
        let (node, since) = (connection.node, written.written_at);
        connection.write_abort(number, id, effects);
        if waited_for && connection.last_answer_at <= since {
            self.retire(node, since, effects);
        }
        self.close_if_spent(number, effects);
        false
    }
}
