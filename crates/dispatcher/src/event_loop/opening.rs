//! New connections: accepting clients, and connecting to nodes and to the change log.

use super::*;
use copperroute_change_log_replica::event_loop::begin_connecting;
use copperroute_change_log_replica::socket_errors::{
    AcceptError, ConnectError, classify_accept_error, classify_connect_error,
};

impl Driver {
    /// Accepts clients if any wait (`waits`) and accepting is not paused; pauses and resumes accepting. A failure to
    /// pause or resume is retried.
    pub(super) fn accept_clients(&mut self, waits: bool) {
        let now = self.clock.now();
        let Some(listener) = self.listener.clone() else {
            self.accept_paused_until = None;
            return;
        };
        let is_paused = self.accept_paused_until.is_some();
        if self.accept_paused_until.take_if(|until| *until <= now).is_some()
            && let Err(fault) = self.handle.enable(&self.listener_token)
        {
            self.log_limiter.warn(now, format_args!("listener: cannot resume accepting: {fault}"));
            self.accept_paused_until = Some(now.after(ACCEPT_PAUSE));
        }
        if !waits && !is_paused {
            self.backlog.drained();
        }
        if waits && self.accept_paused_until.is_none() && !self.accept(&listener, MAX_ACCEPTS_PER_TURN) {
            match self.handle.disable(&self.listener_token) {
                Ok(()) => self.accept_paused_until = Some(now.after(ACCEPT_PAUSE)),
                Err(fault) => {
                    self.log_limiter.warn(now, format_args!("listener: cannot pause accepting: {fault}"));
                    self.needs_pause = true;
                }
            }
        }
    }

    /// Accepts up to `limit` clients; returns whether accepting may continue without a pause.
    pub(super) fn accept(&mut self, listener: &TcpListener, limit: usize) -> bool {
        let mut may_continue = true;
        self.backlog.turn_began(self.clock.now(), self.freshness.unread_since());
        for _ in 0..limit {
            let fault = match listener.accept() {
                Ok((stream, from)) => {
                    may_continue = true;
                    self.last_client += 1;
                    let peer = Peer::Client(self.last_client);
                    let came_at = self.backlog.accepted(self.clock.now());
                    if self.insert(peer, stream, false) {
                        self.set_unaccepted_since(peer, came_at);
                        self.reduce(Event::Accepted(self.last_client, from.ip()));
                    }
                    continue;
                }
                Err(fault) => fault,
            };
            match classify_accept_error(&fault) {
                AcceptError::NoneWaiting => {
                    self.backlog.drained();
                    return true;
                }
                // After nothing but errors accepting is paused, so that the loop does not spin on them.
                AcceptError::ConnectionFailed => {
                    self.log_limiter.warn(self.clock.now(), format_args!("accept: {fault}"));
                    may_continue = false;
                }
                AcceptError::NoDescriptors => {
                    self.log_limiter.warn(self.clock.now(), format_args!("accept: {fault}"));
                    self.read_idle_clients();
                    self.reduce(Event::NoDescriptors);
                    return false;
                }
                AcceptError::LocalError => {
                    self.log_limiter.warn(self.clock.now(), format_args!("accept: {fault}"));
                    return false;
                }
            }
        }
        may_continue
    }

    /// The first input of a client may have arrived while it waited to be accepted.
    fn set_unaccepted_since(&mut self, peer: Peer, came_at: Nanos) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.unaccepted_since = Some(came_at);
        }
    }

    /// Begins to connect. A failure is reported to the reducer, as a closed connection if the other side is
    /// unreachable.
    pub(super) fn connect(&mut self, peer: Peer, address: SocketAddr) {
        let start = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            begin_connecting(&socket, address)?;
            Ok(socket.into())
        };
        let started = start().or_else(|fault| {
            // A lack of descriptors says nothing about the other side: free some and try once more.
            if classify_connect_error(&fault) == ConnectError::NoDescriptors {
                self.free_descriptors();
                return start();
            }
            Err(fault)
        });
        match started {
            Err(fault) if classify_connect_error(&fault) == ConnectError::Unreachable => {
                self.reduce(Event::Closed(peer))
            }
            // Nothing was sent to the other side yet: the failure is local.
            Err(fault) => {
                self.log_limiter.warn(self.clock.now(), format_args!("connect to {address}: {fault}"));
                self.reduce(Event::ConnectFailedLocally(peer));
            }
            Ok(stream) => {
                if !self.insert(peer, stream, true) {
                    self.reduce(Event::ConnectFailedLocally(peer));
                }
            }
        }
    }

    /// Frees descriptors: the connections that the reducer gives up are closed before this returns.
    fn free_descriptors(&mut self) {
        self.read_idle_clients();
        for effect in self.reducer.reduce(self.clock.now(), Event::NoDescriptors) {
            match effect {
                Effect::Close(peer) => self.close(peer),
                other => self.effects.push_back(other),
            }
        }
    }
}
