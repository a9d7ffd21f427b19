//! One stream of the change log. It opens connections and follows the first one that answers in time;
//! `copperroute_routing::reconnect_schedule` decides when the next one is opened.
//!
//! A connection that delivers nothing is not closed as soon as the next one is opened, or a service that
//! answers late would never be followed. So up to [`MAX_LINKS`] may be open; once one of them delivers lines
//! in time, the others are closed.

use super::link::Link;
use crate::effects::{Effect, Peer, TimerKind};
use crate::logs::LogRateLimiter;
use copperroute_protocol::changes::{Line, encode_since};
use copperroute_protocol::incoming::DecodeError;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::{ConnectionState, ReconnectSchedule, ReconnectSettings};
use std::fmt;
use std::net::SocketAddr;

/// The most connections of a stream that may be open at once.
pub(crate) const MAX_LINKS: usize = 3;
/// The oldest connection is kept for this long though it delivers nothing, while newer ones replace each
/// other.
const OLDEST_LINK_GRACE: Nanos = Nanos(30_000_000_000);
/// A connection that received bytes less than this ago makes progress and is not closed for a newer one.
const PROGRESS_WINDOW: Nanos = Nanos(10_000_000_000);

/// A line, and what is known of the connection that delivered it.
#[derive(Debug)]
pub(super) struct ReceivedLine {
    pub(super) line: Line,
    /// How late the line was.
    pub(super) late_by: Nanos,
    /// The line came on the leading connection. Lines of other connections deliver events, but their
    /// heartbeats confirm nothing.
    pub(super) is_leading: bool,
    /// The connection has become the leading one with this line.
    pub(super) became_leader: bool,
}

/// A stream that is disconnected, connecting or followed.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) address: SocketAddr,
    /// Open connections, the oldest first.
    links: Vec<Link>,
    /// The leading connection, whose heartbeats count: the one established last, until another one is in
    /// time.
    leader: Option<u32>,
    schedule: ReconnectSchedule,
    /// There are several streams, so log lines name this one.
    pub(super) is_named: bool,
    end_log: LogRateLimiter,
}

impl fmt::Display for Stream {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.is_named {
            true => write!(to, "change log {}", self.address),
            false => write!(to, "change log"),
        }
    }
}

impl Stream {
    /// A stream that is not connected yet.
    pub(super) fn new(address: SocketAddr, schedule: ReconnectSchedule, is_named: bool) -> Self {
        Stream {
            address,
            links: Vec::new(),
            leader: None,
            schedule,
            is_named,
            end_log: LogRateLimiter::default(),
        }
    }

    /// Whether this connection is one of the stream's.
    pub(super) fn has_connection(&self, connection: u32) -> bool {
        self.links.iter().any(|link| link.connection == connection)
    }

    /// Whether no connection is open.
    pub(super) fn is_closed(&self) -> bool {
        self.links.is_empty()
    }

    /// Whether an open connection has delivered a line.
    pub(super) fn has_received(&self) -> bool {
        self.links.iter().any(Link::has_received_line)
    }

    /// Whether the bytes of an open connection end within a line.
    pub(super) fn has_partial_line(&self) -> bool {
        self.links.iter().any(Link::has_partial_line)
    }

    /// The dispatcher starts; `has_list` is true if it is to let others connect first. Returns when to
    /// connect.
    pub(super) fn started(&mut self, now: Nanos, has_list: bool) -> Nanos {
        self.schedule.started(now, has_list)
    }

    /// Connects under a new number if that is due; returns whether it does.
    pub(super) fn connect(&mut self, connection: u32, now: Nanos, effects: &mut Vec<Effect>) -> bool {
        if let Some(at) = self.schedule.skip_missed_turn(now) {
            effects.push(Effect::Arm(at, TimerKind::ConnectChangeLog));
            return false;
        }
        if !self.schedule.is_due(now) {
            return false;
        }
        self.make_room(now, effects);
        self.schedule.connect_started(now);
        self.links.push(Link::new(connection, now));
        log::debug!(target: "copperroute::trace", "{self}: connecting, connection {connection}");
        effects.push(Effect::Connect(Peer::ChangeLog(connection), self.address));
        true
    }

    /// Closes a connection if as many are open as may be. One that makes progress stays, and so does the
    /// oldest for a long time, as a service may be that slow.
    fn make_room(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if self.links.len() < MAX_LINKS {
            return;
        }
        let oldest_stays = now.since(self.links[0].connect_started) <= OLDEST_LINK_GRACE;
        let candidates = &self.links[usize::from(oldest_stays)..];
        let stalled = candidates
            .iter()
            .filter(|link| !link.has_received_line() || now.since(link.last_progress()) > PROGRESS_WINDOW);
        let replaced = stalled.min_by_key(|link| link.last_progress()).or(candidates.first());
        if let Some(connection) = replaced.map(|link| link.connection) {
            self.end(connection, now, "replaced by a newer connection", effects);
        }
    }

    /// A connection is established: requests the events after number `since`.
    pub(super) fn send_request(
        &mut self,
        connection: u32,
        since: u64,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(link) = self.links.iter_mut().find(|link| link.connection == connection) {
            link.request_sent(now);
            self.leader = Some(connection);
            effects.push(Effect::Write(Peer::ChangeLog(connection), encode_since(since)));
        }
    }

    /// The stream moves to another address; returns when to connect. The old connections are closed at once,
    /// as they might deliver nothing more and yet stay open.
    pub(super) fn change_address(
        &mut self,
        address: SocketAddr,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Nanos {
        self.close(now, "the address has changed", effects);
        self.address = address;
        log::info!("change log: now followed at {address}");
        self.address_changed(now)
    }

    /// The address has changed; returns when to connect to it.
    pub(super) fn address_changed(&mut self, now: Nanos) -> Nanos {
        self.schedule.address_changed(now)
    }

    /// Closes all connections.
    pub(super) fn close(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        while let Some(connection) = self.links.first().map(|link| link.connection) {
            self.end(connection, now, why, effects);
        }
    }

    /// Closes one connection.
    fn end(&mut self, connection: u32, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        let Some(index) = self.links.iter().position(|link| link.connection == connection) else { return };
        let link = self.links.remove(index);
        if self.end_log.allows(now) {
            link.log_end(now, self.address, why);
        }
        self.leader = self.leader.filter(|leader| *leader != connection);
        effects.push(Effect::Close(Peer::ChangeLog(connection)));
    }

    /// The operators have changed the settings of reconnecting.
    pub(super) fn settings_changed(&mut self, settings: ReconnectSettings) {
        self.schedule.settings_changed(settings);
    }

    /// A connection has ended or could not be established.
    pub(super) fn closed(&mut self, connection: u32, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        let was_newest = self.links.last().is_some_and(|link| link.connection == connection);
        self.end(connection, now, why, effects);
        // The end of an older connection, which newer ones have replaced, changes nothing.
        if was_newest || self.links.is_empty() {
            self.schedule_reconnect(now, why, effects);
        }
    }

    /// The stream has delivered something unusable: closes all its connections.
    pub(super) fn give_up(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        if !self.is_closed() {
            self.close(now, why, effects);
            self.schedule_reconnect(now, why, effects);
        }
    }

    /// The newest connection is no longer waited for: the next one is opened when it is due. A service may be
    /// unavailable for long and is tried often, so only one line is logged for it.
    fn schedule_reconnect(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        if matches!(self.schedule.state(), ConnectionState::Waiting(_)) {
            return;
        }
        let (at, should_log) = self.schedule.ended(now);
        if should_log {
            log::warn!("{self}: lost, {why}; reconnecting in {:.1} s", at.since(now).secs());
        }
        effects.push(Effect::Arm(at, TimerKind::ConnectChangeLog));
    }

    /// A connection could not be made because this machine lacked a resource: tries again.
    pub(super) fn connect_failed_locally(&mut self, connection: u32, now: Nanos, effects: &mut Vec<Effect>) {
        self.links.retain(|link| link.connection != connection);
        effects.push(Effect::Arm(self.schedule.local_failure(now), TimerKind::ConnectChangeLog));
    }

    /// If the stream has been silent for too long, opens the next connection besides the open ones.
    pub(super) fn check_silence(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if !self.is_closed() && self.schedule.is_silent(now) {
            self.schedule_reconnect(now, "silent", effects);
        }
    }

    /// Bytes were received.
    pub(super) fn received(&mut self, connection: u32, now: Nanos, bytes: &[u8]) {
        if let Some(link) = self.links.iter_mut().find(|link| link.connection == connection) {
            link.received(now, bytes);
        }
    }

    /// The next whole line of any connection, if there is one; an undecodable connection is returned as an
    /// error, by its number.
    pub(super) fn next_line(
        &mut self,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Result<Option<ReceivedLine>, (u32, DecodeError)> {
        for index in 0..self.links.len() {
            let link = &mut self.links[index];
            let line = link.next_line(now).map_err(|fault| (link.connection, fault))?;
            if let Some(line) = line {
                return Ok(Some(self.line_received(index, line, now, effects)));
            }
        }
        Ok(None)
    }

    /// A connection has delivered a line. If it is in time, the stream follows it and closes the others.
    fn line_received(
        &mut self,
        index: usize,
        line: Line,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> ReceivedLine {
        let (connection, connect_started) = (self.links[index].connection, self.links[index].connect_started);
        let late_by = self.links[index].late_by().unwrap_or_default();
        let was_leading = self.leader == Some(connection);
        let leader = self.links.iter().find(|link| Some(link.connection) == self.leader);
        let leader_is_prompt = leader.is_some_and(Link::is_prompt);
        let mut is_leading = was_leading;
        if self.links[index].is_prompt() && (was_leading || !leader_is_prompt) {
            (self.leader, is_leading) = (Some(connection), true);
            self.schedule.answered_after_timeout(connect_started);
            if let Some(outage) = self.schedule.line_received(now) {
                log::info!("{self}: received again after {:.1} s", outage.secs());
            }
            let others: Vec<_> =
                self.links.iter().map(|link| link.connection).filter(|other| *other != connection).collect();
            others
                .into_iter()
                .for_each(|other| self.end(other, now, "another connection is in time", effects));
        }
        ReceivedLine { line, late_by, is_leading, became_leader: is_leading && !was_leading }
    }
}
