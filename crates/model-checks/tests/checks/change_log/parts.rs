//! The models of a link and of a replica.

use copperroute_change_log_replica::heartbeat::Heartbeats;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// The clock's value at the start, in seconds.
pub(super) const START_S: u64 = 100;
/// The longest time that a line may take on its way: 0.5 s.
pub(super) const PROPAGATION_BOUND: Nanos = Nanos(500_000_000);

/// The clock's value at a second of the model.
pub(super) fn clock(second: u64) -> Nanos {
    Nanos((START_S + second) * 1_000_000_000)
}

/// A message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Message {
    /// An event, as its number.
    Event(u64),
    /// The number of the last event, sent once a second.
    Heartbeat(u64),
}

/// A connection that carries events and heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Link {
    pub is_up: bool,
    /// The link delivers nothing for now; messages wait in the queue.
    pub is_held: bool,
    /// The link was up and not held when the second began, and has not failed since.
    pub is_intact: bool,
    pub queue: VecDeque<Message>,
}

impl Link {
    /// A link that is up and has delivered every message so far.
    pub(super) fn up() -> Self {
        Link { is_up: true, is_held: false, is_intact: true, queue: VecDeque::new() }
    }

    /// Connects and sends the events after `since`, up to `last`.
    pub(super) fn reconnect(&mut self, since: u64, last: u64) {
        self.is_up = true;
        self.queue.extend((since + 1..=last).map(Message::Event));
    }

    /// Ends the connection; queued messages are lost.
    pub(super) fn end(&mut self) {
        *self = Link { is_up: false, is_held: false, is_intact: false, queue: VecDeque::new() };
    }

    pub(super) fn hold(&mut self) {
        (self.is_held, self.is_intact) = (true, false);
    }

    pub(super) fn send(&mut self, message: Message) {
        if self.is_up {
            self.queue.push_back(message);
        }
    }

    /// Whether a message will arrive within this second.
    pub(super) fn has_deliverable(&self) -> bool {
        !self.is_held && !self.queue.is_empty()
    }

    pub(super) fn deliver(&mut self) -> Option<Message> {
        if self.is_held { None } else { self.queue.pop_front() }
    }

    /// Loses the next message.
    pub(super) fn lose_next(&mut self) -> Option<Message> {
        self.is_intact = false;
        self.queue.pop_front()
    }

    pub(super) fn duplicate_next(&mut self) {
        let next = self.queue.front().copied();
        next.into_iter().for_each(|next| self.queue.push_front(next));
    }

    pub(super) fn begin_second(&mut self) {
        self.is_intact = self.is_up && !self.is_held;
    }
}

/// A replica, which follows the change log itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub source: Link,
    /// The number of the last event that the replica holds; it holds every earlier one too.
    pub last: u64,
    /// A heartbeat of the present stream had the number in `last`: the replica accepts dispatchers.
    pub is_current: bool,
    heartbeats: Heartbeats,
}

impl Replica {
    /// A current replica that has received one heartbeat.
    pub(super) fn new() -> Self {
        let mut heartbeats = Heartbeats::new(PROPAGATION_BOUND);
        heartbeats.request_sent(clock(0));
        assert!(heartbeats.is_fresh(clock(0)), "a heartbeat at the time of the request is fresh");
        heartbeats.confirm(clock(0));
        Replica { source: Link::up(), last: 0, is_current: true, heartbeats }
    }

    /// The process is killed and started again without any state.
    pub(super) fn restart(&mut self) {
        self.lose_source();
        self.last = 0;
        self.heartbeats = Heartbeats::new(PROPAGATION_BOUND);
    }

    pub(super) fn lose_source(&mut self) {
        self.source.end();
        self.is_current = false;
    }

    /// Reconnects to the log; `log` is the number of its last event.
    pub(super) fn reconnect(&mut self, second: u64, log: u64) {
        self.source.reconnect(self.last, log);
        self.heartbeats.request_sent(clock(second));
    }

    /// Receives the next message from the log; returns the message to pass on to the followers.
    pub(super) fn receive(&mut self, second: u64) -> Option<Message> {
        let message = self.source.deliver()?;
        match message {
            Message::Event(number) if number == self.last + 1 => self.last = number,
            Message::Event(number) if number <= self.last => return None,
            Message::Heartbeat(last) if last == self.last => return self.receive_heartbeat(second, last),
            Message::Heartbeat(last) if last < self.last => return None,
            // The number shows that an event before it was lost.
            _ => {
                self.lose_source();
                return None;
            }
        }
        Some(message)
    }

    fn receive_heartbeat(&mut self, second: u64, last: u64) -> Option<Message> {
        if !self.heartbeats.is_fresh(clock(second)) {
            return None;
        }
        self.heartbeats.confirm(clock(second));
        self.is_current = true;
        Some(Message::Heartbeat(last))
    }

    /// Whether the followers' streams have to end because heartbeats are missing. A current replica then also drops its
    /// source.
    pub(super) fn drop_stale_source(&mut self, second: u64) -> bool {
        let is_stale = !self.heartbeats.is_current(clock(second));
        if is_stale && self.is_current {
            self.lose_source();
        }
        is_stale
    }
}
