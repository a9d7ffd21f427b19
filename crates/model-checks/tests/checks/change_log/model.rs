//! The model for stateright: the actions that are possible in each state, and the properties that must hold.

use super::dispatcher::Violation;
use super::parts::Message;
use super::world::{Failure, World};
use stateright::{Model, Property};

/// A deliberate fault that a search must find. Faults of the merge and of a replica are added around the real code,
/// which stays unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The second copy of an event is applied again.
    ApplySecondCopy,
    /// An event is applied before its predecessors have arrived.
    ApplyOverGap,
    /// A heartbeat of a stream that is behind the applied events renews the lease.
    RenewWhileBehind,
    /// A replica sends a heartbeat of its own while its source is silent, as if the source had sent it.
    SendOwnHeartbeat,
    /// A dispatcher requests the events of a stream from one event too late, and so misses one.
    RequestTooLate,
}

/// The limits of a search, which keep the number of states finite.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub events: u64,
    pub failures: usize,
    pub seconds: u64,
}

/// The parameters of a search.
///
/// Dispatchers affect neither each other nor a replica, and start in the same state, so any state that one of them can
/// reach, the first can reach. If the second is prompt, it receives and reconnects at once and has no failures of its
/// own; the orderings that this leaves out are covered by the first.
pub(super) struct Search {
    pub fault: Option<Fault>,
    pub bounds: Bounds,
    pub second_is_prompt: bool,
    /// The highest age in whole seconds of a heartbeat that renews a lease, counted from when it left the log.
    pub max_heartbeat_age_s: usize,
}

/// An action; the numbers are the dispatcher's, if any, and then the replica's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Action {
    Tick,
    Write,
    ReplicaReceives(usize),
    DispatcherReceives(usize, usize),
    ReplicaReconnects(usize),
    DispatcherReconnects(usize, usize),
    ReleaseSource(usize),
    ReleaseStream(usize, usize),
    Fail(Failure),
}

/// The names of the properties that must always hold.
pub(super) const IN_ORDER: &str = "no event is applied out of order";
pub(super) const NONE_LOST: &str = "no event is lost while either stream delivers";
pub(super) const NO_STALE_LEASE: &str = "no heartbeat from a disconnected source renews a lease";
pub(super) const NO_FALSE_RESTART: &str = "the log is never taken to have restarted";
/// The name of the state that must be reachable, which shows that the search gets that far.
pub(super) const ALL_APPLIED: &str = "both dispatchers apply every event, after every failure";

impl Search {
    fn has_time(&self, world: &World) -> bool {
        world.second < self.bounds.seconds
    }

    /// Adds the actions between the log and a replica.
    fn replica_actions(&self, world: &World, replica: usize, actions: &mut Vec<Action>) {
        let source = &world.replicas[replica].source;
        if !source.is_up {
            actions.push(Action::ReplicaReconnects(replica));
        }
        if source.has_deliverable() {
            actions.push(Action::ReplicaReceives(replica));
        }
        if source.is_held {
            actions.push(Action::ReleaseSource(replica));
        }
        if world.failures == self.bounds.failures {
            return;
        }
        actions.push(Action::Fail(Failure::RestartReplica(replica)));
        if source.is_up {
            actions.push(Action::Fail(Failure::EndSource(replica)));
        }
        if source.is_up && !source.is_held {
            actions.push(Action::Fail(Failure::HoldSource(replica)));
        }
    }

    /// The action that the second dispatcher takes at once, if it is prompt.
    fn prompt_action(&self, world: &World) -> Option<Action> {
        let streams = &world.dispatchers[1].streams;
        let reconnects = |replica: &usize| !streams[*replica].is_up && world.replicas[*replica].is_current;
        let receives = |replica: &usize| streams[*replica].has_deliverable();
        let reconnect = (0..2).find(reconnects).map(|replica| Action::DispatcherReconnects(1, replica));
        let action =
            reconnect.or_else(|| (0..2).find(receives).map(|replica| Action::DispatcherReceives(1, replica)));
        action.filter(|_| self.second_is_prompt)
    }

    /// Adds the actions between a replica and a dispatcher.
    fn stream_actions(&self, world: &World, dispatcher: usize, replica: usize, actions: &mut Vec<Action>) {
        let stream = &world.dispatchers[dispatcher].streams[replica];
        if !stream.is_up && world.replicas[replica].is_current {
            actions.push(Action::DispatcherReconnects(dispatcher, replica));
        }
        if stream.has_deliverable() {
            actions.push(Action::DispatcherReceives(dispatcher, replica));
        }
        if stream.is_held {
            actions.push(Action::ReleaseStream(dispatcher, replica));
        }
        if world.failures == self.bounds.failures || !stream.is_up {
            return;
        }
        actions.push(Action::Fail(Failure::EndStream(dispatcher, replica)));
        if !stream.is_held {
            actions.push(Action::Fail(Failure::HoldStream(dispatcher, replica)));
        }
        if !stream.queue.is_empty() {
            actions.push(Action::Fail(Failure::LoseNext(dispatcher, replica)));
        }
        // Only events are duplicated: a stream delivers one heartbeat a second.
        if matches!(stream.queue.front(), Some(Message::Event(_))) {
            actions.push(Action::Fail(Failure::DuplicateNext(dispatcher, replica)));
        }
    }
}

impl Model for Search {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.violation().is_some() {
            return;
        }
        if let Some(action) = self.prompt_action(world) {
            return actions.push(action);
        }
        if world.is_settled() && self.has_time(world) {
            actions.push(Action::Tick);
        }
        if world.log < self.bounds.events {
            actions.push(Action::Write);
        }
        for replica in 0..2 {
            self.replica_actions(world, replica, actions);
        }
        let exhaustive = if self.second_is_prompt { 0..1 } else { 0..2 };
        for dispatcher in exhaustive {
            for replica in 0..2 {
                self.stream_actions(world, dispatcher, replica, actions);
            }
            if world.failures < self.bounds.failures {
                actions.push(Action::Fail(Failure::RestartDispatcher(dispatcher)));
            }
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        match action {
            Action::Tick => next.tick(self.fault),
            Action::Write => next.write(),
            Action::ReplicaReceives(replica) => next.replica_receives(replica),
            Action::DispatcherReceives(dispatcher, replica) => {
                next.dispatcher_receives(dispatcher, replica, self.max_heartbeat_age_s, self.fault)
            }
            Action::ReplicaReconnects(replica) => next.replica_reconnects(replica),
            Action::DispatcherReconnects(dispatcher, replica) => {
                next.dispatcher_reconnects(dispatcher, replica, self.fault)
            }
            Action::ReleaseSource(replica) => next.replicas[replica].source.is_held = false,
            Action::ReleaseStream(dispatcher, replica) => {
                next.dispatchers[dispatcher].streams[replica].is_held = false
            }
            Action::Fail(failure) => next.fail(failure),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(IN_ORDER, |_, world| world.violation() != Some(Violation::OutOfOrder)),
            Property::<Self>::always(NONE_LOST, |_, world| world.violation() != Some(Violation::Lost)),
            Property::<Self>::always(NO_STALE_LEASE, |_, world| {
                world.violation() != Some(Violation::StaleLease)
            }),
            Property::<Self>::always(NO_FALSE_RESTART, |_, world| {
                world.violation() != Some(Violation::LogRestarted)
            }),
            Property::<Self>::sometimes(ALL_APPLIED, |search, world| {
                let bounds = search.bounds;
                let all_applied =
                    world.dispatchers.iter().all(|dispatcher| dispatcher.applied == bounds.events);
                all_applied && world.failures == bounds.failures && !search.has_time(world)
            }),
        ]
    }
}
