//! A new node at the address of one that has gone: which of the two is meant, whatever the order of the change log.

use crate::common::{CONFIG, Play, START_MS, request};
use std::collections::BTreeSet;

/// Long enough before the start of a scenario that the node is warm.
const STARTED_MS: u64 = START_MS - 30 * 86_400_000;

fn listed(seq: u64, id: &str, port: u16, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"version":{seq},"servers":[{{"id":"{id}","addr":"127.0.0.1:{port}","zone":"east","kind":"box","cell":0,"state":"{state}","weight":20,"started_ms":{started_ms}}}]}}}}"#
    )
}

/// The ports of the nodes that requests for different objects are sent to.
fn asked_ports(play: &mut Play, from: u64) -> BTreeSet<u16> {
    let mut ports = BTreeSet::new();
    for tag in from..from + 40 {
        let id = format!("{tag:04x}");
        let bytes = String::from_utf8(request(tag, "image", &id, ",need=100")).expect("text");
        play.client(bytes.replace("subject=7f3a000000000000", &format!("subject={tag:016x}")).as_bytes());
        let trace = play.take();
        ports.extend(play.pulled_at(&trace));
        play.node(&format!("{id} ok why=local 4"));
        play.pass(200);
        play.take();
    }
    ports
}

/// Guards against late news of a node that has gone: it took its address back from the new node there, which got no work.
#[test]
fn late_news_of_a_gone_node_takes_no_address_from_its_successor() {
    for state in ["leaving", "left", "active"] {
        let mut play = Play::of(CONFIG);
        play.beats(1, 1);
        play.log(1, &listed(2, "s-new", 6001, "active", STARTED_MS));
        play.log(1, &listed(3, "s-a", 6001, state, 0));
        play.beats(1, 3);
        play.take();
        let ports = asked_ports(&mut play, 10);
        assert!(ports.contains(&6001), "{state}: {ports:?}");
        // The successor goes, and with it the address.
        play.log(1, &listed(4, "s-new", 6001, "left", STARTED_MS));
        play.beats(1, 4);
        let ports = asked_ports(&mut play, 100);
        assert!(!ports.contains(&6001), "{state}: {ports:?}");
    }
}
