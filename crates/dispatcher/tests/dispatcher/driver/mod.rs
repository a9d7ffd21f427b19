//! Random sequences of actions of clients, nodes, the node list and the machine, run on the reducer and compared with a
//! model of the answers that are due. Proptest shrinks a failing case to a short sequence and prints it with its seed.
//! `docs/crossings.md` lists the deliberate faults that this test finds.

mod bytes;
mod leaving;
mod story;
mod world;

use copperroute_dispatcher::effects::Event;
use proptest::prelude::*;
use story::step;
use world::World;

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(400), max_shrink_iters: 20_000, ..ProptestConfig::default() })]
    #[test]
    fn in_any_order_each_request_is_answered_once_and_no_forbidden_fetch_is_sent(
        steps in prop::collection::vec(step(), 1..160), direct in any::<bool>(),
        cancel in any::<bool>(),
    ) {
        let mut world = World::new(direct, cancel);
        steps.iter().for_each(|step| world.apply(step));
        world.advance_time(6_000);
        for (id, client_request) in &world.requests {
            prop_assert!(!client_request.is_awaited || client_request.answers == 1, "{id}: {client_request:?}");
        }
        // After its exit the program runs no more timers.
        for (counted, in_flight) in world.reducer.in_flight_counts().into_iter().filter(|_| !world.exited) {
            prop_assert!(counted == 0 && in_flight == 0, "in flight at the end: {counted} counted by routing, {in_flight} by the reducer");
        }
        prop_assert!(world.reducer.node_slot_count() <= 5);
        world.event(Event::Terminate);
        world.advance_time(4_000);
        prop_assert!(world.exited, "the program did not exit after SIGTERM");
    }
}
