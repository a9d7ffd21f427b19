//! Attempts on their way to a connection, and off it.

use super::*;

impl Nodes {
    /// Takes back the attempts, to any node, that are meant and of which nothing has left. Tells also from which connections:
    /// others may have to be handed over anew there, and one that takes no further attempts may be spent.
    pub fn retract_unsent(
        &mut self,
        meant: impl Fn(&AttemptId) -> bool,
        effects: &mut Vec<Effect>,
    ) -> (Vec<AttemptId>, Vec<u32>) {
        let (mut back, mut freed): (Vec<AttemptId>, Vec<u32>) = Default::default();
        for (number, connection) in &mut self.connections {
            let before = back.len();
            back.extend(connection.waiting.iter().filter(|attempt| meant(attempt)));
            connection.waiting.retain(|attempt| !meant(attempt));
            back.extend(connection.retract(*number, &meant, effects));
            freed.extend((back.len() > before).then_some(*number));
        }
        back.sort_by_key(|attempt| (attempt.request_id.0, attempt.number));
        freed.sort();
        (back, freed)
    }

    /// Takes back those that are meant and wait for one connection.
    pub fn retract_waiting(&mut self, number: u32, meant: impl Fn(&AttemptId) -> bool) -> Vec<AttemptId> {
        let Some(connection) = self.connections.get_mut(&number) else { return Vec::new() };
        let back = connection.waiting.iter().copied().filter(|attempt| meant(attempt)).collect();
        connection.waiting.retain(|attempt| !meant(attempt));
        back
    }

    /// Of what was given to a connection, what has not begun to leave waits again.
    pub fn requeue_unsent(&mut self, number: u32, effects: &mut Vec<Effect>) {
        if let Some(connection) = self.connections.get_mut(&number) {
            // The last of them comes first.
            for attempt in connection.retract(number, &|_| true, effects) {
                connection.waiting.push_front(attempt);
            }
        }
    }

    /// Puts an attempt of a request on a connection to a node, made if need be; nothing if there is none to be
    /// had. Where it may run `once` only, none that rested is used; nor are those while nodes close them under
    /// the next attempt. Costs a connect.
    pub fn assign(
        &mut self,
        node: NodeId,
        attempt: AttemptId,
        id: Hex,
        once: bool,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Option<u32> {
        let spared = self.openings.limits_to_one(now);
        if once || (now < self.doubt && !spared) {
            let rested = |number: &u32| self.connections.get(number).is_some_and(|c| c.has_rested(now));
            let pool = self.pools.get(node.0)?;
            let mut rested: Vec<_> = pool.connections.iter().copied().filter(rested).collect();
            // Where none may be opened in its place, one that rested is better than none.
            if !self.openings.may_open(now, &pool.back_off, pool.connections.len() - rested.len()) {
                rested.clear();
            }
            for number in rested {
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
        // What is on one connection ends with it: so one that carries nothing, else a further one.
        let used = pool.connections.iter().filter(usable).count();
        let room = (used == 0 || self.connections.len() < self.most)
            && self.openings.may_open(now, &pool.back_off, used);
        let number = match best.filter(|number| !room || load(&number) == 0) {
            Some(number) => number,
            None if !room => return None,
            None => self.open_connection(node, address, now, effects),
        };
        self.connections.get_mut(&number)?.waiting.push_back(attempt);
        Some(number)
    }

    /// Makes a connection to a node.
    pub(super) fn open_connection(
        &mut self,
        node: NodeId,
        address: SocketAddr,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> u32 {
        self.last += 1;
        if let Some(pool) = self.pools.get_mut(node.0) {
            pool.connections.push(self.last);
        }
        self.connections.insert(self.last, Connection::new(node, now));
        effects.push(Effect::Connect(Peer::Node(self.last), address));
        effects
            .push(Effect::Arm(now.after(self.limits.connect_timeout), TimerKind::ConnectTimeout(self.last)));
        self.last
    }

    /// Hands waiting attempts to a connection that has nothing unsent, as many as go at once. What an attempt says
    /// is asked for only then; one that is nobody's any more has nothing to say.
    pub fn write_waiting<'a>(
        &mut self,
        number: u32,
        now: Nanos,
        fetch: impl Fn(AttemptId) -> Option<(Fetch<'a>, Nanos, bool)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if !connection.up || connection.queued > connection.written {
            return;
        }
        let rested = connection.live == 0 && now.since(connection.used) > RESTED;
        let mut bytes = Vec::new();
        while bytes.len() < GATHERED {
            let Some(attempt) = connection.waiting.pop_front() else { break };
            let Some((fetch, expires, once)) = fetch(attempt) else { continue };
            let begin = connection.queued + bytes.len() as u64;
            encode_fetch(&fetch, &mut bytes);
            let end = connection.queued + bytes.len() as u64;
            let uses = connection.out.get(&fetch.id).map_or(1, |before| before.uses.saturating_add(1));
            let attempt = Some(attempt);
            let written = Written { attempt, at: now, begin, end, once, answered: false, uses, expires };
            connection.out.insert(fetch.id, written);
            connection.live += 1;
        }
        if !bytes.is_empty() {
            connection.queued += bytes.len() as u64;
            (connection.used, connection.after_rest) = (now, rested);
            effects.push(Effect::Write(Peer::Node(number), bytes));
        }
    }

    /// Gives up a pull: unsent it is dropped, which is told, else the node hears of it. If it was `waited_for`
    /// and the node has finished no answer since it was sent, what else goes there might wait as long.
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
        if !connection.retract(number, &|other| *other == attempt, effects).is_empty() {
            self.close_if_spent(number, effects);
            return true;
        }
        let Some(written) = connection.out.get_mut(&id).filter(|w| w.attempt == Some(attempt)) else {
            return false;
        };
        written.attempt = None;
        connection.live -= 1;
        let (node, since) = (connection.node, written.at);
        connection.say_abort(number, id, effects);
        if waited_for && connection.answered <= since {
            self.retire(node, since, effects);
        }
        self.close_if_spent(number, effects);
        false
    }
}
