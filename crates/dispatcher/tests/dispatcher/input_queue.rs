//! The order and the amount in which connections are read, on a simulated clock: a turn of the event loop is short, and
//! no connection waits long, whoever sends how much.

use copperroute_dispatcher::effects::{Peer, PeerKind};
use copperroute_dispatcher::input_queue::{
    CHANGE_LOG_LIMITS, CLIENT_LIMITS, FINAL_LIMITS, InputQueue, NODE_LIMITS, ReadLimits, UnreadInputs,
};
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;
use std::collections::HashMap;

const START: Nanos = Nanos(1_000_000_000);

/// Connections with this much unread input each, which takes a time for each byte to read and handle.
struct Connections {
    queue: InputQueue,
    now: Nanos,
    unread: Vec<usize>,
    ns_per_byte: u64,
    /// When each connection was last read, or found with input.
    waits_since: HashMap<Peer, Nanos>,
    longest_turn: Nanos,
    longest_slice: Nanos,
    longest_wait: Nanos,
}

impl Connections {
    fn new(limits: ReadLimits, unread: Vec<usize>, ns_per_byte: u64) -> Connections {
        let mut queue = InputQueue::new(limits);
        let peers: Vec<_> = (0..unread.len()).map(|number| Peer::Client(number as u32)).collect();
        peers.iter().for_each(|peer| queue.push(*peer, START));
        Connections {
            queue,
            now: START,
            unread,
            ns_per_byte,
            waits_since: peers.into_iter().map(|peer| (peer, START)).collect(),
            longest_turn: Nanos::ZERO,
            longest_slice: Nanos::ZERO,
            longest_wait: Nanos::ZERO,
        }
    }

    fn pass(&mut self, cost: Nanos) {
        self.now = self.now.after(cost);
    }

    fn turn(&mut self) {
        let began = self.now;
        self.queue.begin_turn(began);
        while let Some(slice) = self.queue.next_slice(self.now) {
            let Peer::Client(number) = slice.peer else { unreachable!("only clients are queued") };
            let bytes = self.unread[number as usize].min(slice.max_bytes);
            self.unread[number as usize] -= bytes;
            let cost = Nanos(1_000 + bytes as u64 * self.ns_per_byte);
            self.pass(cost);
            self.queue.slice_read(bytes);
            self.longest_slice = self.longest_slice.max(cost);
            let waited = self.waits_since.insert(slice.peer, self.now).unwrap_or(START);
            self.longest_wait = self.longest_wait.max(self.now.since(waited));
        }
        self.longest_turn = self.longest_turn.max(self.now.since(began));
    }
}

proptest! {
    /// Guards against a turn that reads all of what many connections have sent, and against one of them that keeps the
    /// others waiting.
    #[test]
    fn a_turn_is_short_and_each_connection_is_read_in_each_round(
        limits in prop::sample::select(vec![CLIENT_LIMITS, NODE_LIMITS, CHANGE_LOG_LIMITS, FINAL_LIMITS]),
        unread in prop::collection::vec(prop_oneof![0..2_000_usize, 0..20_000_000_usize], 1..800),
        ns_per_byte in 0..400_u64,
        between_turns_ms in 0..5_u64,
    ) {
        let total = unread.len() as u64;
        let mut connections = Connections::new(limits, unread, ns_per_byte);
        let mut turns = 0;
        while !connections.queue.is_empty() && turns < 2_000 {
            connections.turn();
            connections.pass(Nanos(between_turns_ms * 1_000_000));
            turns += 1;
        }
        let longest_turn = limits.turn_time.after(connections.longest_slice);
        prop_assert!(connections.longest_turn <= longest_turn, "{:?}", connections.longest_turn);
        // A slice of each connection, and the time between the turns that this takes.
        let round = total * connections.longest_slice.0;
        let turns_per_round = round / limits.turn_time.0 + 2;
        let longest_wait = Nanos(round + turns_per_round * (between_turns_ms * 1_000_000 + longest_turn.0));
        prop_assert!(connections.longest_wait <= longest_wait, "{:?}", connections.longest_wait);
    }
}

/// Of the most connections that a dispatcher keeps, each floods: a round still takes a fraction of the time by which a
/// final answer may be late.
#[test]
fn a_round_of_all_clients_is_short() {
    const SHORTEST_MESSAGES_NS_PER_BYTE: u64 = 100;
    let mut connections =
        Connections::new(CLIENT_LIMITS, vec![60_000_000; 752], SHORTEST_MESSAGES_NS_PER_BYTE);
    (0..100).for_each(|_| connections.turn());
    assert!(connections.longest_turn < Nanos(20_000_000), "{:?}", connections.longest_turn);
    assert!(connections.longest_wait < Nanos(250_000_000), "{:?}", connections.longest_wait);
}

/// What a connection has sent counts as unread since it was found, for as long as its end is not found.
#[test]
fn unread_input_keeps_the_time_at_which_it_was_found() {
    let mut queue = InputQueue::new(ReadLimits { turn_time: Nanos(1), ..CLIENT_LIMITS });
    let found = Nanos(7);
    let slice = |queue: &mut InputQueue, turn: u64, bytes: usize| {
        queue.begin_turn(Nanos(turn * 100));
        queue.push(Peer::Client(1), Nanos(turn * 100));
        let slice = queue.next_slice(Nanos(turn * 100)).expect("a slice");
        queue.slice_read(bytes);
        slice.unread_since
    };
    queue.push(Peer::Client(1), found);
    assert_eq!(slice(&mut queue, 1, 2_000), found);
    assert_eq!(slice(&mut queue, 2, 0), found);
    assert!(queue.is_empty());
    assert_eq!(slice(&mut queue, 3, CLIENT_LIMITS.pass_bytes), Nanos(300));
    assert!(queue.is_empty(), "what follows a whole pass has arrived since");
    assert_eq!(slice(&mut queue, 4, 0), Nanos(400));
}

/// The end of a client's connection may follow its last input, so it is read until nothing is there; of nodes a slice
/// that is not filled was the last.
#[test]
fn clients_are_read_until_nothing_is_there() {
    let left = |limits| {
        let mut queue = InputQueue::new(limits);
        queue.push(Peer::Client(1), START);
        queue.begin_turn(START);
        queue.next_slice(START).expect("a slice");
        queue.slice_read(10);
        !queue.is_empty()
    };
    assert!(left(CLIENT_LIMITS));
    assert!(!left(NODE_LIMITS));
}

/// Guards against new clients that wait here for their turn among many that flood: each is read in the turn that finds
/// its input, as far as a usual request, before the others go on.
#[test]
fn the_first_slice_of_a_new_connection_is_read_at_once() {
    let mut queue = InputQueue::new(CLIENT_LIMITS);
    (1..=100).for_each(|client| queue.push(Peer::Client(client), START));
    (101..=164).for_each(|client| queue.push_new(Peer::Client(client), START));
    let mut now = START;
    queue.begin_turn(now);
    let mut read = Vec::new();
    while let Some(slice) = queue.next_slice(now) {
        now = now.after(Nanos(1_000_000));
        read.push((slice.peer, slice.max_bytes));
        queue.slice_read(slice.max_bytes);
    }
    let first_slices: Vec<_> =
        (101..=164).map(|client| (Peer::Client(client), CLIENT_LIMITS.slice_bytes[0])).collect();
    assert_eq!(read, first_slices);
    // In the next turn the others come first.
    queue.begin_turn(now);
    assert_eq!(queue.next_slice(now).map(|slice| slice.peer), Some(Peer::Client(1)));
}

/// One kind of connection takes no time from another: each turn reads something of each.
#[test]
fn each_kind_of_connection_has_its_own_time() {
    let mut unread = UnreadInputs::default();
    let peers = [Peer::ChangeLog(1), Peer::Client(1), Peer::Node(1)];
    peers.iter().for_each(|peer| unread.queue(peer.kind()).push(*peer, START));
    assert!(unread.has_client_input());
    let mut now = START;
    for kind in [PeerKind::Client, PeerKind::Node, PeerKind::ChangeLog] {
        unread.queue(kind).begin_turn(now);
        now = now.after(Nanos(1_000_000_000));
        assert!(unread.queue(kind).next_slice(now).is_some(), "{kind:?}");
        unread.queue(kind).slice_read(0);
    }
    assert!(unread.is_empty());
}
