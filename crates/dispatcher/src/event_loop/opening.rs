//! Connections as they begin: clients are accepted, nodes and the change log are connected to.

use super::*;
use copperroute_change_log_replica::event_loop::begin_connecting;
use copperroute_change_log_replica::socket_errors::{
    AcceptError, ConnectError, classify_accept_error, classify_connect_error,
};

impl Carrier {
    /// Accepts those who wait, or lets the listener rest for a while, or ends its rest. What can't be done now is tried again.
    pub(super) fn listen_on(&mut self, waits: bool) {
        let now = self.clock.now();
        let Some(listener) = self.listener.clone() else {
            self.rests_until = None;
            return;
        };
        if self.rests_until.take_if(|until| *until <= now).is_some()
            && let Err(fault) = self.handle.enable(&self.listening)
        {
            self.complaints.warn(now, format_args!("listener: {fault}"));
            self.rests_until = Some(now.after(REST));
        }
        if waits && self.rests_until.is_none() && !self.accept(&listener, ACCEPTED_AT_ONCE) {
            match self.handle.disable(&self.listening) {
                Ok(()) => self.rests_until = Some(now.after(REST)),
                Err(fault) => {
                    self.complaints.warn(now, format_args!("listener: {fault}"));
                    self.pauses = true;
                }
            }
        }
    }

    /// Accepts what waits; tells whether the listener may go on at once.
    pub(super) fn accept(&mut self, listener: &TcpListener, most: usize) -> bool {
        let mut goes_on = true;
        for _ in 0..most {
            let fault = match listener.accept() {
                Ok((stream, from)) => {
                    goes_on = true;
                    self.last_client += 1;
                    let peer = Peer::Client(self.last_client);
                    if self.insert(peer, stream, false) {
                        self.reduce(Event::Accepted(self.last_client, from.ip()));
                    }
                    continue;
                }
                Err(fault) => fault,
            };
            match classify_accept_error(&fault) {
                AcceptError::NoneWaiting => return true,
                // Where nothing but errors comes, it isn't asked on and on.
                AcceptError::ConnectionFailed => {
                    self.complaints.warn(self.clock.now(), format_args!("accept: {fault}"));
                    goes_on = false;
                }
                AcceptError::NoDescriptors => {
                    self.complaints.warn(self.clock.now(), format_args!("accept: {fault}"));
                    self.look_at_resting();
                    self.reduce(Event::NoDescriptors);
                    return false;
                }
                AcceptError::LocalError => {
                    self.complaints.warn(self.clock.now(), format_args!("accept: {fault}"));
                    return false;
                }
            }
        }
        goes_on
    }

    pub(super) fn connect(&mut self, peer: Peer, address: SocketAddr) {
        let begin = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            begin_connecting(&socket, address)?;
            Ok(socket.into())
        };
        let begun = begin().or_else(|fault| {
            // Being out of descriptors says nothing of the other side.
            if classify_connect_error(&fault) == ConnectError::NoDescriptors {
                self.make_room();
                return begin();
            }
            Err(fault)
        });
        match begun {
            Err(fault) if classify_connect_error(&fault) == ConnectError::Unreachable => {
                self.reduce(Event::Closed(peer))
            }
            // Nothing was asked of the other side yet: what lacks is this machine's own.
            Err(fault) => {
                self.complaints.warn(self.clock.now(), format_args!("connect: {fault}"));
                self.reduce(Event::ConnectFailedLocally(peer));
            }
            Ok(stream) => {
                if !self.insert(peer, stream, true) {
                    self.reduce(Event::ConnectFailedLocally(peer));
                }
            }
        }
    }

    /// Frees descriptors at once: what is closed for that is closed before the caller goes on.
    fn make_room(&mut self) {
        self.look_at_resting();
        for effect in self.reducer.reduce(self.clock.now(), Event::NoDescriptors) {
            match effect {
                Effect::Close(peer) => self.close(peer),
                other => self.effects.push_back(other),
            }
        }
    }

    /// Reads those clients that would be closed for want of descriptors: what one has asked meanwhile is heard, and it stays.
    fn look_at_resting(&mut self) {
        for number in self.reducer.idle_clients(self.clock.now()) {
            self.read(Peer::Client(number));
        }
    }
}
