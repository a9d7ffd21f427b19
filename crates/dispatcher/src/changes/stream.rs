//! One stream of the change log: its connection and decoder. When it is called, `copperroute_routing::calls` decides.

use crate::effects::{Due, Effect, Peer};
use copperroute_protocol::changes::{Decoder, Line, encode_since};
use copperroute_protocol::incoming::Unreadable;
use copperroute_routing::calls::{CallSettings, Calls};
use copperroute_routing::interface::Nanos;
use std::fmt;
use std::net::SocketAddr;

/// A stream that may have ended, be called, or be followed.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) address: SocketAddr,
    /// The number of the connection in use, made or being made.
    connection: Option<u32>,
    decoder: Decoder,
    calls: Calls,
    /// It is one of several: lines name it.
    pub(super) named: bool,
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
    pub(super) fn new(address: SocketAddr, calls: Calls, named: bool) -> Self {
        Stream { address, connection: None, decoder: Decoder::default(), calls, named }
    }

    /// Whether it has this connection.
    pub(super) fn has(&self, connection: u32) -> bool {
        self.connection == Some(connection)
    }

    /// The dispatcher starts, with a list that will do or without: returns when it is called.
    pub(super) fn started(&mut self, now: Nanos, has_list: bool) -> Nanos {
        self.calls.started(now, has_list)
    }

    /// Connects under a new number, if it is to be called now; tells whether it does.
    pub(super) fn connect(&mut self, connection: u32, now: Nanos, effects: &mut Vec<Effect>) -> bool {
        if self.connection.is_some() {
            return false;
        }
        if let Some(at) = self.calls.overslept(now) {
            effects.push(Effect::Arm(at, Due::ChangeLog));
            return false;
        }
        if !self.calls.is_due(now) {
            return false;
        }
        self.calls.called(now);
        (self.connection, self.decoder) = (Some(connection), Decoder::default());
        effects.push(Effect::Connect(Peer::ChangeLog(connection), self.address));
        true
    }

    /// The connection has come up: asks for what follows an event.
    pub(super) fn ask(&self, since: u64, effects: &mut Vec<Effect>) {
        if let Some(connection) = self.connection {
            effects.push(Effect::Write(Peer::ChangeLog(connection), encode_since(since)));
        }
    }

    /// Is at another address from now on; returns when it is called. The old one may tell no more and stay open, so
    /// that is not waited for.
    pub(super) fn move_to(&mut self, address: SocketAddr, now: Nanos, effects: &mut Vec<Effect>) -> Nanos {
        self.address = address;
        log::info!("change log: now at {address}");
        self.close(effects);
        self.moved(now)
    }

    /// It is to be called at an address that is new to it; returns when.
    pub(super) fn moved(&mut self, now: Nanos) -> Nanos {
        self.calls.moved(now)
    }

    /// Closes the connection, if there is one.
    pub(super) fn close(&mut self, effects: &mut Vec<Effect>) {
        if let Some(connection) = self.connection.take() {
            effects.push(Effect::Close(Peer::ChangeLog(connection)));
        }
    }

    /// What the operators tell of calls has changed.
    pub(super) fn told(&mut self, calls: CallSettings) {
        self.calls.told(calls);
    }

    /// The connection is over, or given up. It may be away for long, and is called often: one line tells of it.
    pub(super) fn give_up(&mut self, now: Nanos, why: &str, effects: &mut Vec<Effect>) {
        if self.connection.is_none() {
            return;
        }
        let (at, news) = self.calls.ended(now);
        if news {
            log::warn!("{self}: lost, {why}; called again in {:.1} s", at.since(now).secs());
        }
        self.close(effects);
        effects.push(Effect::Arm(at, Due::ChangeLog));
    }

    /// The connection could not be made for want of this machine's own: it is tried again.
    pub(super) fn unopened(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.connection = None;
        effects.push(Effect::Arm(self.calls.unopened(now), Due::ChangeLog));
    }

    /// Whether it is open and has been silent for too long.
    pub(super) fn is_silent(&self, now: Nanos) -> bool {
        self.connection.is_some() && self.calls.is_silent(now)
    }

    /// Bytes have come.
    pub(super) fn received(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// The next whole line, if there is one.
    pub(super) fn next_line(&mut self, now: Nanos) -> Result<Option<Line>, Unreadable> {
        if self.connection.is_none() {
            return Ok(None);
        }
        let line = self.decoder.next_line();
        if matches!(line, Ok(Some(_)))
            && let Some(away) = self.calls.heard(now)
        {
            log::info!("{self}: heard again after {:.1} s", away.secs());
        }
        line
    }
}
