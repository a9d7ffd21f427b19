//! What a request costs the program itself, with few and with many deadlines of earlier requests still to come.

use crate::common::request;
use crate::rig::{Rig, UNHURRIED, items, processor_s, told};
use std::io::{BufReader, Write};

/// Requests written at once, then answered.
const AT_ONCE: u64 = 32;
/// Requests over which processor time is taken: it is counted in hundredths of a second.
const MEASURED: u64 = 4_000;

/// Serves so many requests from a number on, and tells the processor time that it took.
fn serve(rig: &Rig, from: u64) -> f64 {
    let mut client = rig.client();
    client.set_nodelay(true).expect("an option");
    let mut answers = BufReader::new(client.try_clone().expect("a second handle"));
    let before = processor_s(rig.program.id());
    for first in (from..from + MEASURED).step_by(AT_ONCE as usize) {
        let requests = (first..first + AT_ONCE)
            .flat_map(|tag| request(tag, "image", &format!("{tag:016x}"), UNHURRIED))
            .collect::<Vec<_>>();
        client.write_all(&requests).expect("the program reads");
        for _ in 0..AT_ONCE {
            let mut asked = rig.asked();
            asked.back.set_nodelay(true).expect("an option");
            let id = asked.line.split(' ').nth(1).expect("an id").to_string();
            asked.back.write_all(&told(&format!("{id} ok why=local 4"), b"body\r\n")).expect("it reads");
        }
        for _ in 0..AT_ONCE {
            assert_eq!(items(&mut answers)[1], b"OK");
        }
    }
    processor_s(rig.program.id()) - before
}

/// All requests are answered at once and have 15 s of time-out, so their deadlines pile up unless forgotten. Where each was
/// searched for among all, the last requests cost several times the first.
#[test]
fn a_request_costs_the_same_however_many_were_served_within_its_time_out() {
    let rig = Rig::start();
    // What is set up once is not counted.
    serve(&rig, 1);
    let first = serve(&rig, 1 + MEASURED);
    (2..5).for_each(|round| {
        serve(&rig, 1 + round * MEASURED);
    });
    let last = serve(&rig, 1 + 5 * MEASURED);
    assert!(last < 1.7 * first + 0.05, "{first} s for the first, {last} s for the last {MEASURED}");
}
