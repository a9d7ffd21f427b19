//! One source of streams, the change log or a replica: its connection capacity, its overload state and its followers.

use super::assumptions::{OVERLOAD_ENTER_RATIO, OVERLOAD_EXIT_RATIO, SECOND};
use super::topology::Place;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// Identifies one connection of one stream of a follower; `incarnation` counts the follower's starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Connection {
    pub member: u32,
    pub stream: usize,
    pub incarnation: u32,
    pub number: u32,
}

#[derive(Debug)]
pub(super) struct Source {
    pub place: Place,
    /// A lost machine does not answer at all, so connections to it are not even refused.
    pub machine_up: bool,
    pub process_up: bool,
    /// Whether its events are current; those of a replica that lost its own source are not.
    pub current: bool,
    pub followers: Vec<Connection>,
    capacity_per_s: f64,
    recent: VecDeque<Nanos>,
    overloaded: bool,
    pub overloads: u32,
    /// The most connections received in one second.
    pub max_connects_per_s: usize,
}

/// The answer to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectAnswer {
    Accepted,
    Refused,
    /// The source becomes overloaded with this connection: all its streams end.
    Overloaded,
}

impl Source {
    pub(super) fn new(place: Place, capacity_per_s: f64) -> Self {
        Source {
            place,
            machine_up: true,
            process_up: true,
            current: false,
            followers: Vec::new(),
            capacity_per_s,
            recent: VecDeque::new(),
            overloaded: false,
            overloads: 0,
            max_connects_per_s: 0,
        }
    }

    /// A connection arrives at the source's machine.
    pub(super) fn connect_received(&mut self, now: Nanos) -> ConnectAnswer {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|first| now.since(*first) >= SECOND) {
            self.recent.pop_front();
        }
        let rate = self.recent.len();
        self.max_connects_per_s = self.max_connects_per_s.max(rate);
        // Up to four connections per second never overload a source.
        if rate as f64 > (self.capacity_per_s * OVERLOAD_ENTER_RATIO).max(4.0) && !self.overloaded {
            self.overloaded = true;
            self.overloads += 1;
            return ConnectAnswer::Overloaded;
        }
        if self.overloaded && (rate as f64) < self.capacity_per_s * OVERLOAD_EXIT_RATIO {
            self.overloaded = false;
        }
        match self.process_up && self.current && !self.overloaded {
            true => ConnectAnswer::Accepted,
            false => ConnectAnswer::Refused,
        }
    }

    /// Stops the process, or the whole machine; returns the connections of its followers.
    pub(super) fn stop(&mut self, machine: bool) -> Vec<Connection> {
        (self.process_up, self.current, self.machine_up) = (false, false, !machine);
        self.recent.clear();
        std::mem::take(&mut self.followers)
    }

    /// Starts the source again; a replica is not current until its own stream is.
    pub(super) fn start(&mut self, is_log: bool) {
        (self.process_up, self.current, self.machine_up) = (true, is_log, true);
    }
}
