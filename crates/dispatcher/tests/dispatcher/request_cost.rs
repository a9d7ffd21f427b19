//! The processor time of a request does not depend on how many deadlines of earlier requests are still pending.

use crate::common::request;
use crate::rig::{Rig, UNHURRIED, items, processor_s, told};
use std::io::{BufReader, Write};

/// Requests written in one batch and then answered.
const BATCH_REQUESTS: u64 = 32;
/// Requests per measurement of processor time: enough for a clock that counts in hundredths of a second.
const MEASURED_REQUESTS: u64 = 4_000;

/// Serves `MEASURED_REQUESTS` requests with tags from `from` on, and returns the processor time used, in seconds.
fn serve(rig: &Rig, from: u64) -> f64 {
    let mut client = rig.client();
    client.set_nodelay(true).expect("an option");
    let mut answers = BufReader::new(client.try_clone().expect("a second handle"));
    let before = processor_s(rig.program.id());
    for first in (from..from + MEASURED_REQUESTS).step_by(BATCH_REQUESTS as usize) {
        let requests = (first..first + BATCH_REQUESTS)
            .flat_map(|tag| request(tag, "image", &format!("{tag:016x}"), UNHURRIED))
            .collect::<Vec<_>>();
        client.write_all(&requests).expect("the program reads");
        for _ in 0..BATCH_REQUESTS {
            let mut asked = rig.asked();
            asked.back.set_nodelay(true).expect("an option");
            let id = asked.line.split(' ').nth(1).expect("an id").to_string();
            asked.back.write_all(&told(&format!("{id} ok why=local 4"), b"body\r\n")).expect("it reads");
        }
        for _ in 0..BATCH_REQUESTS {
            assert_eq!(items(&mut answers)[1], b"OK");
        }
    }
    processor_s(rig.program.id()) - before
}

/// Each request is answered at once and has a timeout of 15 s, so deadlines pile up unless they are removed. When
/// each was searched for among all of them, the last requests cost several times as much as the first.
#[test]
fn request_cost_does_not_grow_with_pending_deadlines() {
    let rig = Rig::start();
    // One-time setup is not counted.
    serve(&rig, 1);
    let first = serve(&rig, 1 + MEASURED_REQUESTS);
    (2..5).for_each(|round| {
        serve(&rig, 1 + round * MEASURED_REQUESTS);
    });
    let last = serve(&rig, 1 + 5 * MEASURED_REQUESTS);
    assert!(
        last < 1.7 * first + 0.05,
        "{first} s for the first {MEASURED_REQUESTS} requests, {last} s for the last {MEASURED_REQUESTS}"
    );
}
