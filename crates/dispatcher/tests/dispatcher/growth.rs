//! The memory a dispatcher keeps for objects is bounded, however long it serves; and that for answers of slow nodes.

use crate::common::{CONFIG, Play, last_connection, request};
use copperroute_dispatcher::effects::{Event, Peer};

/// Sends requests for `count` objects that were not requested before; a cache serves each at once.
fn serve_new_objects(play: &mut Play, from: u64, count: u64) {
    for number in from..from + count {
        let id = format!("{:016x}", number * 7_919 + 1);
        let asked = String::from_utf8(request(number + 1, "image", &id, ",need=100")).expect("text");
        let object = format!("subject={:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        play.client(asked.replace("subject=7f3a000000000000", &object).as_bytes());
        let node = play.trace.rsplit("Node(").next().and_then(|rest| rest.split(')').next());
        let node = node.and_then(|number| number.parse().ok()).unwrap_or(1);
        let answer = format!("{id} ok etag=4b00000000000000,made=1764,why=local 4\r\nbody\r\n");
        play.event(Event::Received(Peer::Node(node), answer.as_bytes()));
        play.forget();
        play.pass(20);
    }
}

/// The ghost cache (MC3) and its object names grow with each new object, up to the bound of the ghost cache.
#[test]
fn new_objects_do_not_grow_memory_beyond_the_ghost_cache() {
    let mut play = Play::new();
    serve_new_objects(&mut play, 0, 12_000);
    assert_eq!(play.objects_kept(), 12_000);
    serve_new_objects(&mut play, 12_000, 12_000);
    assert_eq!(
        play.objects_kept(),
        20_001,
        "20,000 in the ghost cache, and the object of the current request"
    );
}

/// Guards against incomplete answers that nobody counts: nodes that each send the most of a large object and then little
/// more took memory without a bound. The one whose answer began first gives way, and its request is asked elsewhere or answered.
#[test]
fn incomplete_answers_of_slow_nodes_take_bounded_memory() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    let ids: Vec<_> = (0..6).map(|number| format!("9b{number:02}")).collect();
    for (tag, id) in (1..).zip(&ids) {
        play.client(&request(tag, "image", id, ",need=25000,timeout=3000"));
    }
    let asked = play.take();
    let connections = asked.matches("connect Node").count();
    assert!(connections >= 4, "{asked}");
    let part = "x".repeat(200_000);
    for id in &ids[..4] {
        play.node_bytes(&format!("{id} ok why=local 240000"), &part);
        play.pass(5);
    }
    let trace = play.take();
    // The share of 4 MB holds three of them.
    let first = last_connection(asked.lines().find(|line| line.contains("fetch 9b00")).expect("asked"));
    assert_eq!(trace.matches("close Node").count(), 1, "{trace}");
    assert!(trace.contains(&format!("close Node({first})")), "{trace}");
    let is_handled = trace.contains("fetch 9b00") || trace.contains("Client(1) <- *4 $1 1 ");
    assert!(is_handled, "its request is asked again or answered: {trace}");
}
