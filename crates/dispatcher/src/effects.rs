//! The interface between the event loop and the reducer: events in, effects out, and the identities of
//! connections and timers that both use.

use crate::attempt::AttemptId;
use crate::config::Config;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_routing::interface::{Nanos, RequestId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The remote end of a connection, with the number of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// A client.
    Client(u32),
    /// A node.
    Node(u32),
    /// The change log.
    ChangeLog(u32),
}

/// What is at the remote end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerKind {
    /// The change log.
    ChangeLog,
    /// A client.
    Client,
    /// A node.
    Node,
}

impl Peer {
    /// What is at the remote end.
    pub fn kind(self) -> PeerKind {
        match self {
            Peer::ChangeLog(_) => PeerKind::ChangeLog,
            Peer::Client(_) => PeerKind::Client,
            Peer::Node(_) => PeerKind::Node,
        }
    }
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerKind {
    /// A timer of the routing policy, with its token.
    Routing(u64),
    /// A request times out; with its generation.
    Expiry(RequestId, u64),
    /// An attempt must not be sent after this time; with the generation of its request.
    SendBy(AttemptId, u64),
    /// Time limit for connecting to a node; with the number of the connection.
    ConnectTimeout(u32),
    /// Time limit for reading a copy from disk for a request; with its generation.
    DiskReadTimeout(RequestId, u64),
    /// A connection to the change log is due.
    ConnectChangeLog,
    /// Periodic check of connections and phases.
    Sweep,
    /// Shutdown: no new requests can arrive any more.
    IntakeEnd,
    /// Shutdown: every request that is still open must be answered now.
    DrainDeadline,
    /// Shutdown: lingering connections are closed and the process exits.
    LingerDeadline,
}

impl TimerKind {
    /// Whether input that arrived before this timer was due may change what it does. Those of the shutdown keep to the
    /// time after which the process may be killed, whatever is unread.
    pub fn waits_for_input(&self) -> bool {
        !matches!(self, TimerKind::IntakeEnd | TimerKind::DrainDeadline | TimerKind::LingerDeadline)
    }
}

/// What has happened.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The process has started.
    Started,
    /// A client has connected from this address; with the number of its connection.
    Accepted(u32, IpAddr),
    /// A requested connection is established.
    Connected(Peer),
    /// Bytes were received.
    Received(Peer, &'a [u8]),
    /// A turn of the event loop has read: input of these clients may still lie unread, of all others it does not.
    InputUnread(&'a [u32]),
    /// Bytes have left; with their total since the connection began.
    Written(Peer, u64),
    /// Output queued for a node has waited so long that the times written in it are out of date.
    OutputStale(Peer),
    /// From now on, bytes received from clients may have lain unread in the socket for this long.
    InputDelay(Nanos),
    /// A connection has ended or could not be established.
    Closed(Peer),
    /// The remote end has closed its sending side; it may still read.
    EndOfStream(Peer),
    /// The same while input that arrived before is still unread; `EndOfStream` or `Closed` follows.
    FinishedSending(Peer),
    /// A connection could not be made because this machine lacked a resource, which says nothing about the
    /// remote end.
    ConnectFailedLocally(Peer),
    /// All input that had arrived when `Effect::FinalRead` was requested has been reported.
    FinalReadDone,
    /// A timer has fired.
    TimerFired(TimerKind),
    /// The process is asked to terminate.
    Terminate,
    /// The configuration has been read again.
    Reload(&'a Config),
    /// The disk tier is ready: fingerprints of its copies, and the number of the last event whose purge it
    /// has marked.
    DiskReady(&'a [u64], u64),
    /// The disk has read a copy for a ticket, or found none.
    CopyRead(u64, Option<(Facts, &'a [u8])>),
    /// The disk is off from now on.
    DiskOff,
    /// No descriptor is left to accept a waiting client.
    NoDescriptors,
}

/// What to do with input that arrives after a lingering close has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingInput {
    /// It is read and reported, so that it can be counted and dropped.
    Discard,
    /// It stays unread.
    LeaveUnread,
}

/// What the event loop is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Connect to this address.
    Connect(Peer, SocketAddr),
    /// Write these bytes after those queued before.
    Write(Peer, Vec<u8>),
    /// Start (`true`) or pause (`false`) reading from a connection.
    SetReading(Peer, bool),
    /// Drop queued output from this offset on, counted from the first byte ever queued; none of it has left.
    TruncateOutput(Peer, u64),
    /// Write what is queued, then end the sending side. This lingering close is needed because closing over
    /// unread input resets the connection, which can discard output already written. Further input is either
    /// read and reported until `Close`, or not read at all, as every request that is read must be answered.
    CloseLingering(Peer, TrailingInput),
    /// Close at once; queued output is dropped.
    Close(Peer),
    /// Accept waiting clients, stop listening, and report all input that has arrived from clients.
    FinalRead,
    /// Report `Event::TimerFired` at this time.
    Arm(Nanos, TimerKind),
    /// Read a copy from disk; the ticket comes back with the result.
    ReadCopy(Key, u64),
    /// Write a copy to disk, under a rank.
    KeepCopy(Key, Facts, u8, Arc<[u8]>),
    /// Mark on disk that an object was purged: at this Unix millisecond, by the event with this number.
    MarkObjectPurged([u8; 16], u64, u64),
    /// Mark on disk that a group was purged: at this Unix millisecond, by the event with this number.
    MarkGroupPurged(u8, u64, u64),
    /// Save this node list for the next start.
    SaveNodeList(Vec<u8>),
    /// Exit the process.
    Exit,
}
