//! Links and replicas.

use copperroute_change_log_replica::heartbeat::Heartbeats;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// Where the clock begins, in seconds.
pub(super) const BEGIN: u64 = 100;
/// On its way a line takes no longer.
pub(super) const PROPAGATION_BOUND: Nanos = Nanos(500_000_000);

/// A second of the clock.
pub(super) fn clock(second: u64) -> Nanos {
    Nanos((BEGIN + second) * 1_000_000_000)
}

/// What a stream tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Message {
    /// An event, by its number.
    Event(u64),
    /// The number of the last event, once a second.
    Heartbeat(u64),
}

/// A connection on which events and heartbeats are told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Link {
    pub is_up: bool,
    /// It carries nothing for now; what is sent waits.
    pub is_held: bool,
    /// It was up when the second began, and nothing has gone wrong on it since.
    pub is_whole: bool,
    pub queue: VecDeque<Message>,
}

impl Link {
    /// It stands, and has told all so far.
    pub(super) fn up() -> Self {
        Link { is_up: true, is_held: false, is_whole: true, queue: VecDeque::new() }
    }

    /// Asked for what follows an event, of which the last has this number.
    pub(super) fn call(&mut self, since: u64, last: u64) {
        self.is_up = true;
        self.queue.extend((since + 1..=last).map(Message::Event));
    }

    /// The connection ends, and what is on its way is gone.
    pub(super) fn end(&mut self) {
        *self = Link { is_up: false, is_held: false, is_whole: false, queue: VecDeque::new() };
    }

    pub(super) fn hold(&mut self) {
        (self.is_held, self.is_whole) = (true, false);
    }

    pub(super) fn send(&mut self, message: Message) {
        if self.is_up {
            self.queue.push_back(message);
        }
    }

    /// Whether something is due to arrive within the second.
    pub(super) fn has_due(&self) -> bool {
        !self.is_held && !self.queue.is_empty()
    }

    pub(super) fn deliver(&mut self) -> Option<Message> {
        if self.is_held { None } else { self.queue.pop_front() }
    }

    /// The next message is lost on its way.
    pub(super) fn lose_next(&mut self) -> Option<Message> {
        self.is_whole = false;
        self.queue.pop_front()
    }

    pub(super) fn double_next(&mut self) {
        let next = self.queue.front().copied();
        next.into_iter().for_each(|next| self.queue.push_front(next));
    }

    pub(super) fn second_begins(&mut self) {
        self.is_whole = self.is_up && !self.is_held;
    }
}

/// A replica of the change log, which follows the log itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub source: Link,
    /// The last event that it holds; it holds all before it.
    pub last: u64,
    /// A heartbeat of the present stream told the number of the last event that it holds: it serves who calls.
    pub is_current: bool,
    heartbeats: Heartbeats,
}

impl Replica {
    /// Current, with one heartbeat heard.
    pub(super) fn new() -> Self {
        let mut heartbeats = Heartbeats::new(PROPAGATION_BOUND);
        heartbeats.request_sent(clock(0));
        assert!(heartbeats.is_fresh(clock(0)), "it comes with the call");
        heartbeats.confirm(clock(0));
        Replica { source: Link::up(), last: 0, is_current: true, heartbeats }
    }

    /// It is killed and started again with nothing.
    pub(super) fn restart(&mut self) {
        self.lose_source();
        self.last = 0;
        self.heartbeats = Heartbeats::new(PROPAGATION_BOUND);
    }

    pub(super) fn lose_source(&mut self) {
        self.source.end();
        self.is_current = false;
    }

    /// Calls the log, whose last event has this number.
    pub(super) fn call(&mut self, second: u64, log: u64) {
        self.source.call(self.last, log);
        self.heartbeats.request_sent(clock(second));
    }

    /// Takes what its source has told next; gives what is passed on to followers.
    pub(super) fn hear(&mut self, second: u64) -> Option<Message> {
        let message = self.source.deliver()?;
        match message {
            Message::Event(number) if number == self.last + 1 => self.last = number,
            Message::Event(number) if number <= self.last => return None,
            Message::Heartbeat(last) if last == self.last => return self.heartbeat(second, last),
            Message::Heartbeat(last) if last < self.last => return None,
            // The source knows of what was not told.
            _ => {
                self.lose_source();
                return None;
            }
        }
        Some(message)
    }

    fn heartbeat(&mut self, second: u64, last: u64) -> Option<Message> {
        if !self.heartbeats.is_fresh(clock(second)) {
            return None;
        }
        self.heartbeats.confirm(clock(second));
        self.is_current = true;
        Some(Message::Heartbeat(last))
    }

    /// Whether its followers' streams have to end; it leaves a source that brings no heartbeat.
    pub(super) fn lapses(&mut self, second: u64) -> bool {
        let lapses = !self.heartbeats.is_current(clock(second));
        if lapses && self.is_current {
            self.lose_source();
        }
        lapses
    }
}
