//! One source of streams, the log or a replica: what it bears, when it falls over, and who follows it.

use super::assumptions::{FALLS_AT, RISES_AT, SECOND};
use super::topology::Place;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// One connection of one stream of one follower, through all its restarts.
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
    /// A lost machine refuses nothing: it says nothing at all.
    pub machine_up: bool,
    pub process_up: bool,
    /// All that it tells is current; a replica that lost its own source is not.
    pub current: bool,
    pub followers: Vec<Connection>,
    bears: f64,
    recent: VecDeque<Nanos>,
    fallen: bool,
    pub falls: u32,
    /// The most calls in a second.
    pub most_calls: usize,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Accepted,
    Refused,
    /// The source falls over with this call: all its streams end.
    Falls,
}

impl Source {
    pub(super) fn new(place: Place, bears: f64) -> Self {
        Source {
            place,
            machine_up: true,
            process_up: true,
            current: false,
            followers: Vec::new(),
            bears,
            recent: VecDeque::new(),
            fallen: false,
            falls: 0,
            most_calls: 0,
        }
    }

    /// A call comes to its machine.
    pub(super) fn called(&mut self, now: Nanos) -> Answer {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|first| now.since(*first) >= SECOND) {
            self.recent.pop_front();
        }
        let rate = self.recent.len();
        self.most_calls = self.most_calls.max(rate);
        // A handful of calls never fells it.
        if rate as f64 > (self.bears * FALLS_AT).max(4.0) && !self.fallen {
            self.fallen = true;
            self.falls += 1;
            return Answer::Falls;
        }
        if self.fallen && (rate as f64) < self.bears * RISES_AT {
            self.fallen = false;
        }
        match self.process_up && self.current && !self.fallen {
            true => Answer::Accepted,
            false => Answer::Refused,
        }
    }

    /// The process, or the machine, ends.
    pub(super) fn stop(&mut self, machine: bool) -> Vec<Connection> {
        (self.process_up, self.current, self.machine_up) = (false, false, !machine);
        self.recent.clear();
        std::mem::take(&mut self.followers)
    }

    /// It is back; a replica has yet to become current.
    pub(super) fn start(&mut self, is_log: bool) {
        (self.process_up, self.current, self.machine_up) = (true, is_log, true);
    }
}
