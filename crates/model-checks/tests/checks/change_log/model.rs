//! What is searched: the steps that can be taken, and the properties.

use super::dispatcher::Violation;
use super::parts::Message;
use super::world::{Trouble, World};
use stateright::{Model, Property};

/// A deliberate fault. Those of the merge and of a replica are put around the real decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The second copy of an event is acted on again.
    ApplySecondCopy,
    /// An event is acted on though those before it have not come.
    ApplyOverGap,
    /// A heartbeat of a stream that is behind renews the lease.
    RenewBehind,
    /// A replica begins a heartbeat by itself while its source is silent, and takes that for its source's.
    BeginHeartbeat,
    /// A stream is asked for what follows one event too late.
    AskTooLate,
}

/// How much may happen.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub events: u64,
    pub troubles: usize,
    pub seconds: u64,
}

/// A search.
///
/// Dispatchers change neither each other nor a replica, and start alike: what any of them can come to, the first can come
/// to. Where the second is prompt, it takes all at once and calls at once, and nothing of its own goes wrong; what is left
/// out by that is what the first goes through.
pub(super) struct Search {
    pub fault: Option<Fault>,
    pub bounds: Bounds,
    pub second_is_prompt: bool,
    /// A heartbeat that renews a lease left the log so many seconds earlier at most.
    pub seconds_old: usize,
}

/// A step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Action {
    Tick,
    Write,
    ReplicaHears(usize),
    DispatcherHears(usize, usize),
    ReplicaCalls(usize),
    DispatcherCalls(usize, usize),
    ReleaseSource(usize),
    ReleaseStream(usize, usize),
    Suffer(Trouble),
}

/// Names of the properties.
pub(super) const IN_ORDER: &str = "no event is acted on out of order";
pub(super) const NONE_LOST: &str = "no event is lost while either stream delivers";
pub(super) const NO_STALE_LEASE: &str = "no heartbeat from a source that is out of touch renews a lease";
pub(super) const NEVER_ANEW: &str = "numbers are not taken to begin anew";
/// Names of what must be reached.
pub(super) const ALL_ACT: &str = "both act on all, after all that goes wrong";

impl Search {
    fn has_time(&self, world: &World) -> bool {
        world.second < self.bounds.seconds
    }

    /// Between the log and a replica.
    fn replica_actions(&self, world: &World, of: usize, actions: &mut Vec<Action>) {
        let source = &world.replicas[of].source;
        if !source.is_up {
            actions.push(Action::ReplicaCalls(of));
        }
        if source.has_due() {
            actions.push(Action::ReplicaHears(of));
        }
        if source.is_held {
            actions.push(Action::ReleaseSource(of));
        }
        if world.troubles == self.bounds.troubles {
            return;
        }
        actions.push(Action::Suffer(Trouble::RestartReplica(of)));
        if source.is_up {
            actions.push(Action::Suffer(Trouble::EndSource(of)));
        }
        if source.is_up && !source.is_held {
            actions.push(Action::Suffer(Trouble::HoldSource(of)));
        }
    }

    /// What the second dispatcher does at once, if it is prompt.
    fn prompt_action(&self, world: &World) -> Option<Action> {
        let streams = &world.dispatchers[1].streams;
        let calls = |of: &usize| !streams[*of].is_up && world.replicas[*of].is_current;
        let hears = |of: &usize| streams[*of].has_due();
        let call = (0..2).find(calls).map(|of| Action::DispatcherCalls(1, of));
        let action = call.or_else(|| (0..2).find(hears).map(|of| Action::DispatcherHears(1, of)));
        action.filter(|_| self.second_is_prompt)
    }

    /// Between a replica and a dispatcher.
    fn stream_actions(&self, world: &World, who: usize, of: usize, actions: &mut Vec<Action>) {
        let stream = &world.dispatchers[who].streams[of];
        if !stream.is_up && world.replicas[of].is_current {
            actions.push(Action::DispatcherCalls(who, of));
        }
        if stream.has_due() {
            actions.push(Action::DispatcherHears(who, of));
        }
        if stream.is_held {
            actions.push(Action::ReleaseStream(who, of));
        }
        if world.troubles == self.bounds.troubles || !stream.is_up {
            return;
        }
        actions.push(Action::Suffer(Trouble::EndStream(who, of)));
        if !stream.is_held {
            actions.push(Action::Suffer(Trouble::HoldStream(who, of)));
        }
        if !stream.queue.is_empty() {
            actions.push(Action::Suffer(Trouble::LoseNext(who, of)));
        }
        // A stream tells one heartbeat a second; an event may be told again.
        if matches!(stream.queue.front(), Some(Message::Event(_))) {
            actions.push(Action::Suffer(Trouble::DoubleNext(who, of)));
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
        for of in 0..2 {
            self.replica_actions(world, of, actions);
        }
        let free = if self.second_is_prompt { 0..1 } else { 0..2 };
        for who in free {
            for of in 0..2 {
                self.stream_actions(world, who, of, actions);
            }
            if world.troubles < self.bounds.troubles {
                actions.push(Action::Suffer(Trouble::RestartDispatcher(who)));
            }
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        match action {
            Action::Tick => next.tick(self.fault),
            Action::Write => next.write(),
            Action::ReplicaHears(of) => next.replica_hears(of),
            Action::DispatcherHears(who, of) => next.dispatcher_hears(who, of, self.seconds_old, self.fault),
            Action::ReplicaCalls(of) => next.replica_calls(of),
            Action::DispatcherCalls(who, of) => next.dispatcher_calls(who, of, self.fault),
            Action::ReleaseSource(of) => next.replicas[of].source.is_held = false,
            Action::ReleaseStream(who, of) => next.dispatchers[who].streams[of].is_held = false,
            Action::Suffer(trouble) => next.suffer(trouble),
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
            Property::<Self>::always(NEVER_ANEW, |_, world| world.violation() != Some(Violation::BegunAnew)),
            Property::<Self>::sometimes(ALL_ACT, |search, world| {
                let bounds = search.bounds;
                let acts = world.dispatchers.iter().all(|dispatcher| dispatcher.acted == bounds.events);
                acts && world.troubles == bounds.troubles && !search.has_time(world)
            }),
        ]
    }
}
