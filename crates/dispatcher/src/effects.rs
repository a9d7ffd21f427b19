//! What passes between the event loop and the reducer: events in, effects out, and the names of connections and
//! timers that both use.

use crate::attempt::AttemptId;
use crate::config::Config;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_routing::interface::{Nanos, RequestId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// A client, by the number of its connection.
    Client(u32),
    /// A node, likewise.
    Node(u32),
    /// The change log, likewise.
    ChangeLog(u32),
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerKind {
    /// The module's own, with its token.
    Routing(u64),
    /// A request expires.
    Expiry(RequestId, u64),
    /// An attempt of a request may be sent no more, by the request's serial.
    SendBy(AttemptId, u64),
    /// A connection to a node should have come up.
    ConnectTimeout(u32),
    /// A copy should have been read from disk.
    DiskReadTimeout(RequestId, u64),
    /// The change log is to be connected to.
    ConnectChangeLog,
    /// Connections and phases are looked after.
    Sweep,
    /// Nothing new can come any more.
    IntakeEnd,
    /// What is still open must be answered now.
    DrainDeadline,
    /// Connections have lingered for long enough: the program ends.
    LingerDeadline,
}

/// What happens.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The program has started.
    Started,
    /// A client has connected, from this address.
    Accepted(u32, IpAddr),
    /// A connection asked for has come up.
    Connected(Peer),
    /// Bytes have come.
    Received(Peer, &'a [u8]),
    /// So many bytes in all have left.
    Written(Peer, u64),
    /// What was to be written to a node has waited for long: what it says of time is old.
    OutputStale(Peer),
    /// What clients have sent and is told from now on may have lain unread for so long.
    InputDelay(Nanos),
    /// A connection has ended, or could not be made.
    Closed(Peer),
    /// The other side sends no more; it may still read.
    EndOfStream(Peer),
    /// A connection could not be made for want of something of this machine's own, which says nothing of the other side.
    ConnectFailedLocally(Peer),
    /// All that had come when `Effect::FinalRead` was asked for has been told.
    FinalReadDone,
    /// The time has come.
    TimerFired(TimerKind),
    /// The program is to end.
    Terminate,
    /// The configuration has been read again.
    Reload(&'a Config),
    /// The disk tier is there, with these copies, and the marks of purges up to this event.
    DiskReady(&'a [u64], u64),
    /// The disk has read a copy for a ticket, or has none.
    CopyRead(u64, Option<(Facts, &'a [u8])>),
    /// The disk is off from now on.
    DiskOff,
    /// No descriptor is left for a client that waits.
    NoDescriptors,
}

/// What becomes of bytes behind the end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingInput {
    /// They are read and told, to be dropped.
    Discard,
    /// They stay unread.
    LeaveUnread,
}

/// What the event loop is asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Connect.
    Connect(Peer, SocketAddr),
    /// Write these bytes behind those before.
    Write(Peer, Vec<u8>),
    /// Read from a connection, or leave it alone for now.
    SetReading(Peer, bool),
    /// Of what was to be written, drop the bytes from this place on, counted from the first ever given; none has left.
    TruncateOutput(Peer, u64),
    /// Write what is left, then end the sending side (lingering close: a close over unread bytes is a reset, which can
    /// take with it what was written). Either what still comes is read and told until `Close`, or nothing is read any more,
    /// as a request that was read is owed an answer.
    CloseLingering(Peer, TrailingInput),
    /// Close, whatever is unwritten.
    Close(Peer),
    /// Accept what waits, listen no more, and tell all that has come from clients.
    FinalRead,
    /// Report when this time has come.
    Arm(Nanos, TimerKind),
    /// Read a copy from disk for a ticket.
    ReadCopy(Key, u64),
    /// Keep a copy on disk at a rank.
    KeepCopy(Key, Facts, u8, Arc<[u8]>),
    /// An object was purged at a Unix millisecond, by the event with this number.
    MarkObjectPurged([u8; 16], u64, u64),
    /// A group was.
    MarkGroupPurged(u8, u64, u64),
    /// Keep this list over a restart.
    SaveNodeList(Vec<u8>),
    /// End the program.
    Exit,
}
