//! What a dispatcher keeps levels off, however long it serves.

use crate::common::{Play, request};
use copperroute_dispatcher::effects::{Event, Peer};

/// Requests of so many objects that nobody asked for before, each served by a cache at once.
fn serve_new_objects(play: &mut Play, from: u64, count: u64) {
    for at in from..from + count {
        let id = format!("{:016x}", at * 7_919 + 1);
        let asked = String::from_utf8(request(at + 1, "image", &id, ",need=100")).expect("text");
        let object = format!("subject={:016x}", at.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        play.client(asked.replace("subject=7f3a000000000000", &object).as_bytes());
        let on = play.trace.rsplit("Node(").next().and_then(|rest| rest.split(')').next());
        let on = on.and_then(|number| number.parse().ok()).unwrap_or(1);
        let answer = format!("{id} ok etag=4b00000000000000,made=1764,why=local 4\r\nbody\r\n");
        play.event(Event::Received(Peer::Node(on), answer.as_bytes()));
        play.forget();
        play.pass(20);
    }
}

/// What grows in a long day is the ghost cache (MC3), and the names of its objects: up to its bound, and no further.
#[test]
fn of_ever_new_objects_no_more_are_kept_than_the_shadow_table_holds() {
    let mut play = Play::new();
    serve_new_objects(&mut play, 0, 12_000);
    assert_eq!(play.objects_kept(), 12_000);
    serve_new_objects(&mut play, 12_000, 12_000);
    assert_eq!(play.objects_kept(), 20_001, "twenty thousand, and the one in hand");
}
