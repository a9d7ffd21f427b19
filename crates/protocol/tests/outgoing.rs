//! The output queue of a connection beside the simplest model: one vector of bytes.

use copperroute_protocol::outgoing::OutputQueue;
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Push(usize),
    /// Writes this share of the next bytes, in hundredths.
    Write(usize),
    /// Keeps this share of what waits, in hundredths.
    Truncate(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..40_000).prop_map(Step::Push),
        (0usize..=100).prop_map(Step::Write),
        (0usize..=100).prop_map(Step::Truncate),
    ]
}

proptest! {
    /// What is written is what was queued, in order and without what was taken back; what was written is freed.
    #[test]
    fn output_leaves_in_order_and_is_freed(steps in prop::collection::vec(step(), 1..60)) {
        let (mut queue, mut model, mut next) = (OutputQueue::default(), Vec::new(), 0u8);
        for step in steps {
            match step {
                Step::Push(count) => {
                    let bytes: Vec<u8> = (0..count).map(|at| next.wrapping_add(at as u8)).collect();
                    next = next.wrapping_add(count as u8);
                    model.extend_from_slice(&bytes);
                    queue.push(bytes);
                }
                Step::Write(share) => {
                    let bytes = queue.next_bytes();
                    let count = bytes.len() * share / 100;
                    prop_assert_eq!(&bytes[..count], &model[..count]);
                    queue.written(count);
                    model.drain(..count);
                }
                Step::Truncate(share) => {
                    let kept = model.len() * share / 100;
                    queue.truncate(kept);
                    model.truncate(kept);
                }
            }
            prop_assert_eq!(queue.len(), model.len());
            prop_assert_eq!(queue.is_empty(), model.is_empty());
            prop_assert_eq!(queue.next_bytes().is_empty(), model.is_empty());
            prop_assert!(!model.is_empty() || queue.held_bytes() == 0);
        }
    }
}
