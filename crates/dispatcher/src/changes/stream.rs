//! One stream of the change log: the calls that may bring it, of which the first to answer in time is followed. When the next
//! call begins, `copperroute_routing::reconnect_schedule` decides.
//!
//! A call that brings nothing is not given up when the next one begins: a service that answers late would never be heard. So
//! several may be open, [`MOST_LINKS`] at the most; once one of them tells lines in time, the others end.

use super::link::Link;
use crate::effects::{Effect, Peer, TimerKind};
use crate::logs::LogRateLimiter;
use copperroute_protocol::changes::{Line, encode_since};
use copperroute_protocol::incoming::DecodeError;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::{ConnectionState, ReconnectSchedule, ReconnectSettings};
use std::fmt;
use std::net::SocketAddr;

/// Calls that are open at once.
pub(crate) const MOST_LINKS: usize = 3;
/// The oldest open call is kept for so long though it brings nothing, beside newer ones that take turns.
const OLDEST_KEPT: Nanos = Nanos(30_000_000_000);
/// A call whose bytes came no longer ago than this makes progress: it is not ended for a newer one.
const PROGRESS_WITHIN: Nanos = Nanos(10_000_000_000);

/// A line of a stream, and what is known of the call that brought it.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) line: Line,
    /// How late it was.
    pub(super) late_by: Nanos,
    /// It came on the call by which the stream is judged; lines of others bring events, and vouch for nothing.
    pub(super) is_leading: bool,
    /// That call has become so with this line.
    pub(super) leads_anew: bool,
}

/// A stream that may have ended, be called, or be followed.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) address: SocketAddr,
    /// Open calls, the oldest first.
    links: Vec<Link>,
    /// The connection whose heartbeats count: the newest that came up, until another one is in time.
    leading: Option<u32>,
    calls: ReconnectSchedule,
    /// It is one of several: lines name it.
    pub(super) named: bool,
    ends: LogRateLimiter,
}

impl fmt::Display for Stream {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.named {
            true => write!(to, "change log {}", self.address),
            false => write!(to, "change log"),
        }
    }
}

impl Stream {
    /// Not called yet.
    pub(super) fn new(address: SocketAddr, calls: ReconnectSchedule, named: bool) -> Self {
        Stream { address, links: Vec::new(), leading: None, calls, named, ends: LogRateLimiter::default() }
    }

    /// Whether it has this connection.
    pub(super) fn has(&self, connection: u32) -> bool {
        self.links.iter().any(|link| link.connection == connection)
    }

    /// Whether no call is open.
    pub(super) fn is_closed(&self) -> bool {
        self.links.is_empty()
    }

    /// Whether an open call has told anything.
    pub(super) fn is_heard(&self) -> bool {
        self.links.iter().any(Link::has_told)
    }

    /// Whether the bytes of an open call end within a line.
    pub(super) fn is_midway(&self) -> bool {
        self.links.iter().any(Link::is_midway)
    }

    /// The dispatcher starts, with a list that will do or without: returns when it is called.
    pub(super) fn started(&mut self, now: Nanos, has_list: bool) -> Nanos {
        self.calls.started(now, has_list)
    }

    /// Connects under a new number, if it is to be called now; tells whether it does.
    pub(super) fn connect(&mut self, connection: u32, now: Nanos, effects: &mut Vec<Effect>) -> bool {
        if let Some(at) = self.calls.skip_missed_turn(now) {
            effects.push(Effect::Arm(at, TimerKind::ConnectChangeLog));
            return false;
        }
        if !self.calls.is_due(now) {
            return false;
        }
        self.make_room(now, effects);
        self.calls.connect_started(now);
        self.links.push(Link::new(connection, now));
        log::debug!(target: "copperroute::trace", "{self}: call begins, connection {connection}");
        effects.push(Effect::Connect(Peer::ChangeLog(connection), self.address));
        true
    }

    /// Ends a call, where as many as may be are open. What makes progress stays, and so does the oldest, for long: a
    /// service may be that slow.
    fn make_room(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if self.links.len() < MOST_LINKS {
            return;
        }
        let oldest_stays = now.since(self.links[0].called) <= OLDEST_KEPT;
        let candidates = &self.links[usize::from(oldest_stays)..];
        let stuck = candidates
            .iter()
            .filter(|link| !link.has_told() || now.since(link.progressed()) > PROGRESS_WITHIN);
        let victim = stuck.min_by_key(|link| link.progressed()).or(candidates.first());
        if let Some(connection) = victim.map(|link| link.connection) {
            self.end(connection, now, "a newer call takes its place", effects);
        }
    }

    /// A connection has come up: asks for what follows an event.
    pub(super) fn ask(&mut self, connection: u32, since: u64, now: Nanos, effects: &mut Vec<Effect>) {
        if let Some(link) = self.links.iter_mut().find(|link| link.connection == connection) {
            link.asked(now);
            self.leading = Some(connection);
            effects.push(Effect::Write(Peer::ChangeLog(connection), encode_since(since)));
        }
    }

    /// Is at another address from now on; returns when it is called. The old one may tell no more and stay open, so
    /// that is not waited for.
    pub(super) fn move_to(&mut self, address: SocketAddr, now: Nanos, effects: &mut Vec<Effect>) -> Nanos {
        self.close(now, "it has moved", effects);
        self.address = address;
        log::info!("change log: now at {address}");
        self.moved(now)
    }

    /// It is to be called at an address that is new to it; returns when.
    pub(super) fn moved(&mut self, now: Nanos) -> Nanos {
        self.calls.address_changed(now)
    }

    /// Closes all connections.
    pub(super) fn close(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        while let Some(connection) = self.links.first().map(|link| link.connection) {
            self.end(connection, now, why, effects);
        }
    }

    /// Ends one call.
    fn end(&mut self, connection: u32, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        let Some(at) = self.links.iter().position(|link| link.connection == connection) else { return };
        let link = self.links.remove(at);
        if self.ends.allows(now) {
            link.log_end(now, self.address, why);
        }
        self.leading = self.leading.filter(|leading| *leading != connection);
        effects.push(Effect::Close(Peer::ChangeLog(connection)));
    }

    /// What the operators tell of calls has changed.
    pub(super) fn told(&mut self, calls: ReconnectSettings) {
        self.calls.settings_changed(calls);
    }

    /// A connection is over, or could not be made.
    pub(super) fn closed(&mut self, connection: u32, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        let newest = self.links.last().is_some_and(|link| link.connection == connection);
        self.end(connection, now, why, effects);
        // The end of a call that was not waited for any more changes nothing.
        if newest || self.links.is_empty() {
            self.call_again(now, why, effects);
        }
    }

    /// What it tells can't be used: all its calls end.
    pub(super) fn give_up(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        if !self.is_closed() {
            self.close(now, why, effects);
            self.call_again(now, why, effects);
        }
    }

    /// The present call brings nothing, and is not waited for: another one begins, in its time. The service may be away for
    /// long, and is called often: one line tells of it.
    fn call_again(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        if matches!(self.calls.state(), ConnectionState::Waiting(_)) {
            return;
        }
        let (at, news) = self.calls.ended(now);
        if news {
            log::warn!("{self}: lost, {why}; called again in {:.1} s", at.since(now).secs());
        }
        effects.push(Effect::Arm(at, TimerKind::ConnectChangeLog));
    }

    /// The connection could not be made for want of this machine's own: it is tried again.
    pub(super) fn unopened(&mut self, connection: u32, now: Nanos, effects: &mut Vec<Effect>) {
        self.links.retain(|link| link.connection != connection);
        effects.push(Effect::Arm(self.calls.local_failure(now), TimerKind::ConnectChangeLog));
    }

    /// Where it has been silent for too long the next call is made beside those that are open.
    pub(super) fn watch(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if !self.is_closed() && self.calls.is_silent(now) {
            self.call_again(now, "silent", effects);
        }
    }

    /// Bytes have come.
    pub(super) fn received(&mut self, connection: u32, now: Nanos, bytes: &[u8]) {
        if let Some(link) = self.links.iter_mut().find(|link| link.connection == connection) {
            link.received(now, bytes);
        }
    }

    /// The next whole line of any call, if there is one; a call that can't be read is told by its connection.
    pub(super) fn next_line(
        &mut self,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Result<Option<Heard>, (u32, DecodeError)> {
        for at in 0..self.links.len() {
            let link = &mut self.links[at];
            let line = link.next_line(now).map_err(|fault| (link.connection, fault))?;
            if let Some(line) = line {
                return Ok(Some(self.heard(at, line, now, effects)));
            }
        }
        Ok(None)
    }

    /// A call has told a line. One that is in time is followed, and the others end.
    fn heard(&mut self, at: usize, line: Line, now: Nanos, effects: &mut Vec<Effect>) -> Heard {
        let (connection, called) = (self.links[at].connection, self.links[at].called);
        let late_by = self.links[at].late_by().unwrap_or_default();
        let was_leading = self.leading == Some(connection);
        let leader = self.links.iter().find(|link| Some(link.connection) == self.leading);
        let leader_is_prompt = leader.is_some_and(Link::is_prompt);
        let mut is_leading = was_leading;
        if self.links[at].is_prompt() && (was_leading || !leader_is_prompt) {
            (self.leading, is_leading) = (Some(connection), true);
            self.calls.answered_after_timeout(called);
            if let Some(away) = self.calls.line_received(now) {
                log::info!("{self}: heard again after {:.1} s", away.secs());
            }
            let others: Vec<_> =
                self.links.iter().map(|link| link.connection).filter(|of| *of != connection).collect();
            others.into_iter().for_each(|other| self.end(other, now, "another one is in time", effects));
        }
        Heard { line, late_by, is_leading, leads_anew: is_leading && !was_leading }
    }
}
