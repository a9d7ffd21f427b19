//! Drawn orders of what clients, nodes, the list and the machine do, played on the reducer beside a model that knows what
//! is owed. A case that breaks the model is shrunk to a short story, printed with the seed by proptest. `docs/crossings.md`
//! lists the deliberate faults that it catches.

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
    fn whatever_crosses_what_is_owed_is_given_once_and_nothing_is_sent_that_must_not_be(
        steps in prop::collection::vec(step(), 1..160), direct in any::<bool>(),
        cancel in any::<bool>(),
    ) {
        let mut world = World::new(direct, cancel);
        steps.iter().for_each(|step| world.play(step));
        world.pass(6_000);
        for (id, asked) in &world.asked {
            prop_assert!(!asked.waits || asked.answers == 1, "{id}: {asked:?}");
        }
        // A program that has ended plays no more timers.
        for (believed, out) in world.reducer.in_flight_counts().into_iter().filter(|_| !world.exited) {
            prop_assert!(believed == 0 && out == 0, "{believed} and {out} out at the end");
        }
        prop_assert!(world.reducer.node_slot_count() <= 5);
        world.event(Event::Terminate);
        world.pass(4_000);
        prop_assert!(world.exited, "no end");
    }
}
