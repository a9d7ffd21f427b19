//! One connection to a node, and what is on it.

use super::*;

/// An attempt that was written, by the request's id.
#[derive(Debug, Clone, Copy)]
pub(super) struct Written {
    /// Whose it is; nobody's once it was given up.
    pub(super) attempt: Option<AttemptId>,
    /// When it was written.
    pub(super) at: Nanos,
    /// Its first place in the connection's bytes, and the place behind its last.
    pub(super) begin: u64,
    pub(super) end: u64,
    /// Its request may not simply run again.
    pub(super) once: bool,
    /// It was answered.
    pub(super) answered: bool,
    /// How many attempts of the request this connection has carried.
    pub(super) uses: u8,
    /// When its request expires: after that its id does not come again.
    pub(super) expires: Nanos,
}

/// One connection to a node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: NodeId,
    /// The connection has come up.
    pub(super) up: bool,
    /// It takes no further attempts.
    pub(super) retired: bool,
    pub(super) decoder: Decoder,
    /// Attempts not yet written.
    pub(super) waiting: VecDeque<AttemptId>,
    /// Attempts written and not yet answered, by the requests' ids.
    pub(super) out: HashMap<Hex, Written>,
    /// Words that give attempts up and may not have left yet: where they begin, and of which id.
    pub(super) aborts: VecDeque<(u64, Hex)>,
    /// How many of the attempts written and not yet answered still are somebody's.
    pub(super) live: usize,
    /// Bytes given to the connection, and those that have left.
    pub(super) queued: u64,
    pub(super) written: u64,
    /// When the node last finished an answer on it; before that, when it came up. Half an answer and then
    /// silence would hold up all that is asked for behind it.
    pub(super) answered: Nanos,
    /// It had rested when it was last written to, and nothing has come since.
    pub(super) after_rest: bool,
    /// Nothing has come on it yet.
    pub(super) unheard: bool,
    /// When it last carried anything, and when bytes last came.
    pub(super) used: Nanos,
    pub(super) heard: Nanos,
}

impl Connection {
    pub(super) fn new(node: NodeId, now: Nanos) -> Self {
        Connection {
            node,
            up: false,
            retired: false,
            decoder: Decoder::default(),
            waiting: VecDeque::new(),
            out: HashMap::new(),
            aborts: VecDeque::new(),
            live: 0,
            queued: 0,
            written: 0,
            answered: Nanos::ZERO,
            after_rest: false,
            unheard: true,
            used: now,
            heard: now,
        }
    }

    /// Retracts what has not begun to leave, from the first attempt that is meant on. Returns the attempts that were meant; those
    /// that were not wait again. Of bytes given to the connection only their number is known here, so what is to be
    /// said all the same is said anew.
    pub(super) fn retract(
        &mut self,
        number: u32,
        meant: &impl Fn(&AttemptId) -> bool,
        effects: &mut Vec<Effect>,
    ) -> Vec<AttemptId> {
        if self.queued <= self.written {
            return Vec::new();
        }
        let unbegun = |w: &Written| w.begin >= self.written && w.end > self.written;
        let is_meant = |w: &Written| unbegun(w) && w.attempt.is_some_and(|attempt| meant(&attempt));
        let Some(from) = self.out.values().filter(|w| is_meant(w)).map(|w| w.begin).min() else {
            return Vec::new();
        };
        let mut behind: Vec<_> = self
            .out
            .iter()
            .filter(|(_, w)| w.begin >= from)
            .map(|(id, w)| (w.begin, *id, w.attempt))
            .collect();
        behind.sort_by_key(|(begin, ..)| *begin);
        let mut back = Vec::new();
        for (_, id, attempt) in behind.into_iter().rev() {
            self.out.remove(&id);
            let Some(attempt) = attempt else { continue };
            self.live -= 1;
            match meant(&attempt) {
                true => back.push(attempt),
                false => self.waiting.push_front(attempt),
            }
        }
        self.queued = from;
        effects.push(Effect::TruncateOutput(Peer::Node(number), from));
        let (kept, retracted): (Vec<_>, Vec<_>) = self.aborts.drain(..).partition(|(begin, _)| *begin < from);
        self.aborts.extend(kept);
        for (_, id) in retracted.into_iter().filter(|(_, id)| self.out.contains_key(id)).collect::<Vec<_>>() {
            self.say_abort(number, id, effects);
        }
        back
    }

    /// Tells the node that what was asked under an id is given up.
    pub(super) fn say_abort(&mut self, number: u32, id: Hex, effects: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        encode_abort(id, &mut bytes);
        self.aborts.push_back((self.queued, id));
        self.queued += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Node(number), bytes));
    }

    /// Whether an attempt of this request may be written here. A node may answer twice, so that one attempt's answer is taken for
    /// the next one's: what may run once only is written once, and nothing a third time.
    pub(super) fn may_carry(&self, id: &Hex) -> bool {
        self.out.get(id).is_none_or(|written| written.answered && !written.once && written.uses < MOST_USES)
    }

    /// The attempts that it carries or will carry.
    pub(super) fn load(&self) -> usize {
        self.waiting.len() + self.live
    }

    /// It carries nothing, and has not for a while.
    pub(super) fn has_rested(&self, now: Nanos) -> bool {
        self.up && self.load() == 0 && now.since(self.used) > RESTED
    }
}
