//! One connection to a node and the attempts on it: those that wait to be written, and those in flight. Positions count
//! the bytes ever given to the connection, from 0.

use super::*;

/// An attempt that was written to the connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct WrittenAttempt {
    /// The attempt; `None` once it was answered or given up.
    pub(super) attempt: Option<AttemptId>,
    /// When it was handed to the connection.
    pub(super) written_at: Nanos,
    /// The position of its first byte, and the position after its last byte (`end`).
    pub(super) start: u64,
    pub(super) end: u64,
    /// The request must not run twice.
    pub(super) run_once: bool,
    /// The attempt was answered.
    pub(super) answered: bool,
    /// The number of attempts of the request that were written to this connection.
    pub(super) attempt_count: u8,
    /// When the request expires; after that its id is not used again.
    pub(super) expires_at: Nanos,
}

/// One connection to a node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: NodeId,
    /// The connection is established.
    pub(super) is_up: bool,
    /// The connection takes no further attempts.
    pub(super) retired: bool,
    pub(super) decoder: Decoder,
    /// Attempts that are not written yet.
    pub(super) waiting: VecDeque<AttemptId>,
    /// Attempts that were written, by the ids of their requests. An answered attempt stays until its request expires.
    pub(super) in_flight: HashMap<Hex, WrittenAttempt>,
    /// Abort messages that may not have been sent yet: the position of each, and the request's id.
    pub(super) aborts: VecDeque<(u64, Hex)>,
    /// The number of written attempts whose answer is still awaited.
    pub(super) awaited: usize,
    /// Bytes given to the connection, and bytes that the socket has taken (`bytes_written`).
    pub(super) bytes_queued: u64,
    pub(super) bytes_written: u64,
    /// When the node last completed an answer on this connection; before that, when it was established. An incomplete
    /// answer does not count, as it delays all attempts behind it.
    pub(super) last_answer_at: Nanos,
    /// The memory that an incomplete answer takes, in bytes, and when that answer began.
    pub(super) input_bytes: u64,
    pub(super) answer_began_at: Option<Nanos>,
    /// The connection was idle when it was last written to, and nothing has arrived since.
    pub(super) reused_after_idle: bool,
    /// Nothing has ever arrived on this connection.
    pub(super) nothing_received: bool,
    /// When bytes were last written or received, and when bytes were last received (`last_received`).
    pub(super) last_used: Nanos,
    pub(super) last_received: Nanos,
}

impl Connection {
    pub(super) fn new(node: NodeId, now: Nanos) -> Self {
        Connection {
            node,
            is_up: false,
            retired: false,
            decoder: Decoder::default(),
            waiting: VecDeque::new(),
            in_flight: HashMap::new(),
            aborts: VecDeque::new(),
            awaited: 0,
            bytes_queued: 0,
            bytes_written: 0,
            last_answer_at: Nanos::ZERO,
            input_bytes: 0,
            answer_began_at: None,
            reused_after_idle: false,
            nothing_received: true,
            last_used: now,
            last_received: now,
        }
    }

    /// Takes back the output from the first selected attempt on of which the socket has taken nothing. Returns the
    /// selected attempts, the last first; the others wait to be written again. Only positions are known here, not
    /// the bytes, so aborts that are still needed are encoded again.
    pub(super) fn truncate_unsent(
        &mut self,
        number: u32,
        selected: &impl Fn(&AttemptId) -> bool,
        effects: &mut Vec<Effect>,
    ) -> Vec<AttemptId> {
        if self.bytes_queued <= self.bytes_written {
            return Vec::new();
        }
        let is_unsent = |w: &WrittenAttempt| w.start >= self.bytes_written && w.end > self.bytes_written;
        let is_selected =
            |w: &WrittenAttempt| is_unsent(w) && w.attempt.is_some_and(|attempt| selected(&attempt));
        let Some(from) = self.in_flight.values().filter(|w| is_selected(w)).map(|w| w.start).min() else {
            return Vec::new();
        };
        let mut truncated: Vec<_> = self
            .in_flight
            .iter()
            .filter(|(_, w)| w.start >= from)
            .map(|(id, w)| (w.start, *id, w.attempt))
            .collect();
        truncated.sort_by_key(|(start, ..)| *start);
        let mut taken_back = Vec::new();
        for (_, id, attempt) in truncated.into_iter().rev() {
            self.in_flight.remove(&id);
            let Some(attempt) = attempt else { continue };
            self.awaited -= 1;
            match selected(&attempt) {
                true => taken_back.push(attempt),
                false => self.waiting.push_front(attempt),
            }
        }
        self.bytes_queued = from;
        effects.push(Effect::TruncateOutput(Peer::Node(number), from));
        let (kept, truncated): (Vec<_>, Vec<_>) = self.aborts.drain(..).partition(|(start, _)| *start < from);
        self.aborts.extend(kept);
        for (_, id) in
            truncated.into_iter().filter(|(_, id)| self.in_flight.contains_key(id)).collect::<Vec<_>>()
        {
            self.write_abort(number, id, effects);
        }
        taken_back
    }

    /// Sends the node an abort for the attempt under a request's id.
    pub(super) fn write_abort(&mut self, number: u32, id: Hex, effects: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        encode_abort(id, &mut bytes);
        self.aborts.push_back((self.bytes_queued, id));
        self.bytes_queued += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Node(number), bytes));
    }

    /// Whether an attempt of this request may be written to this connection. A node may answer twice, so that a second
    /// answer to one attempt is taken for the answer to the next. Therefore a request that must not run twice is
    /// written once, and no request is written a third time.
    pub(super) fn may_carry(&self, id: &Hex) -> bool {
        self.in_flight.get(id).is_none_or(|written| {
            written.answered && !written.run_once && written.attempt_count < MAX_ATTEMPTS_PER_ID
        })
    }

    /// The number of attempts that wait or are in flight.
    pub(super) fn load(&self) -> usize {
        self.waiting.len() + self.awaited
    }

    /// Whether the connection has carried nothing for [`IDLE_AFTER`].
    pub(super) fn is_idle(&self, now: Nanos) -> bool {
        self.is_up && self.load() == 0 && now.since(self.last_used) > IDLE_AFTER
    }
}
