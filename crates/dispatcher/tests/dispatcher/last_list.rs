//! The node list snapshot that survives a restart: what it holds, and which snapshots are refused.

use crate::common::{CONFIG, Play};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::node_list_snapshot::{NodeListSnapshot, decode, encode};
use copperroute_dispatcher::snapshot_writer::{SnapshotWriter, load};
use copperroute_protocol::changes::{Change, KnownEvents};
use copperroute_routing::interface::Nanos;
use copperroute_settings::operator::SnapshotSettings;
use expect_test::expect;

const NOW: u64 = 1_764_576_000_000;
const HOUR: u64 = 3_600_000;

fn change(line: &str) -> Change {
    serde_json::from_str(line).expect("an event")
}

fn node(id: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"{state}","weight":2.0}}"#
    )
}

fn fleet(seq: u64, full: bool, nodes: &[String]) -> Change {
    change(&format!(r#"{{"seq":{seq},"fleet":{{"full":{full},"servers":[{}]}}}}"#, nodes.join(",")))
}

/// The bytes of the snapshot after these events.
fn snapshot_bytes(events: &[Change]) -> Vec<u8> {
    let mut snapshot = NodeListSnapshot::new(7, Nanos(8_000_000_000));
    events.iter().for_each(|event| snapshot.apply(Nanos(1_000_000_000), event, NOW));
    snapshot.confirm_current();
    snapshot.bytes_if_due(Nanos(5_000_000_000), NOW).expect("a snapshot is due")
}

#[test]
fn a_snapshot_restores_the_node_list_and_the_purges_that_still_matter() {
    let bytes = snapshot_bytes(&[
        fleet(1, true, &[node("s-a", "active"), node("s-b", "active"), node("s-c", "active")]),
        fleet(2, false, &[node("s-b", "leaving")]),
        fleet(3, false, &[node("s-c", "left")]),
        change(&format!(r#"{{"seq":4,"invalidate":{{"bucket":17,"time":{}}}}}"#, NOW - 9_000)),
        change(&format!(r#"{{"seq":5,"invalidate":{{"object":"7f3a","time":{}}}}}"#, NOW - 1_000)),
    ]);
    let (known, age) = decode(&bytes, NOW + 250, 7, HOUR, 0).expect("a good snapshot");
    assert_eq!((known.seq, age), (5, 250));
    expect![[r#"
        5 s-a Active s-b Leaving 
        5 purge Some("7f3a") None
    "#]]
    .assert_eq(
        &known
            .results
            .iter()
            .map(|change| match (&change.fleet, &change.invalidate) {
                (Some(fleet), _) => {
                    let nodes = fleet.servers.iter().map(|node| format!("{} {:?} ", node.id, node.state));
                    format!("{} {}\n", change.seq, nodes.collect::<String>())
                }
                (_, Some(purge)) => format!("{} purge {:?} {:?}\n", change.seq, purge.object, purge.bucket),
                _ => String::new(),
            })
            .collect::<String>(),
    );
}

#[test]
fn a_snapshot_torn_or_corrupted_at_any_byte_is_refused() {
    let bytes = snapshot_bytes(&[fleet(3, true, &[node("s-a", "active")])]);
    for cut in 0..bytes.len() {
        assert!(decode(&bytes[..cut], NOW, 7, HOUR, 0).is_err(), "cut after {cut}");
        let mut spoilt = bytes.clone();
        spoilt[cut] ^= 0x20;
        assert!(decode(&spoilt, NOW, 7, HOUR, 0).is_err(), "byte {cut} spoilt");
    }
}

#[test]
fn foreign_old_and_future_snapshots_are_refused_in_one_line() {
    let known = KnownEvents { seq: 9, results: vec![fleet(9, true, &[node("s-a", "active")])] };
    let bytes = encode(&known, NOW, 7);
    let cases = [
        ("as it is", decode(&bytes, NOW + 5_000, 7, HOUR, 8)),
        ("no newer than the configuration", decode(&bytes, NOW, 7, HOUR, 9)),
        ("another's", decode(&bytes, NOW, 8, HOUR, 0)),
        ("old", decode(&bytes, NOW + HOUR + 1, 7, HOUR, 0)),
        ("a clock that is a little behind", decode(&bytes, NOW - 900, 7, HOUR, 0)),
        ("from the future", decode(&bytes, NOW - 60_000, 7, HOUR, 0)),
        ("another form", decode(b"copperroute-list 2 9 0 7 0 0\n", NOW, 7, HOUR, 0)),
        ("nothing", decode(b"", NOW, 7, HOUR, 0)),
    ];
    let texts = cases.map(|(what, found)| match found {
        Ok((known, age)) => format!("{what}: event {}, {age} ms old\n", known.seq),
        Err(why) => format!("{what}: {why}\n"),
    });
    expect![[r#"
        as it is: event 9, 5000 ms old
        no newer than the configuration: of event 9, not newer than the configuration, of event 9
        another's: belongs to another dispatcher or deployment
        old: 3600 s old; expected at most 3600 s
        a clock that is a little behind: event 9, 0 ms old
        from the future: from the future, 60000 ms ahead of the clock
        another form: unknown format; expected 'copperroute-list 1'
        nothing: torn: no first line
    "#]]
    .assert_eq(&texts.concat());
}

#[test]
fn a_snapshot_is_saved_soon_after_a_change_and_regularly_while_the_change_log_is_received() {
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.snapshot = Some(SnapshotSettings { folder: "unused".into(), most_age_s: 60.0 });
    let mut play = Play::with(config);
    play.pass(3_000);
    play.trace.push_str("nothing was received yet\n");
    play.log(3, "1");
    play.pass(500);
    let mut receive = |seconds: usize, line: &str| {
        for _ in 0..seconds {
            play.pass(1_000);
            play.event(copperroute_dispatcher::effects::Event::Received(
                copperroute_dispatcher::effects::Peer::ChangeLog(3),
                format!("{line}\n").as_bytes(),
            ));
        }
    };
    receive(50, "1");
    receive(1, r#"{"seq":2,"invalidate":{"bucket":18,"time":1764576000100}}"#);
    receive(80, "2");
    let trace = play.take();
    let snapshots = trace.lines().filter(|line| line.starts_with("list:")).count();
    assert_eq!(snapshots, 3, "{trace}");
}

#[test]
fn the_snapshot_file_is_complete_at_any_time_and_a_torn_one_is_refused() {
    let folder = std::env::temp_dir().join(format!("copperroute-list-{}", std::process::id()));
    let snapshot_writer = SnapshotWriter::start(folder.clone()).expect("a folder");
    assert_eq!(load(&folder, NOW, 7, HOUR, 0), Ok(None));
    let snapshot =
        |seq| encode(&KnownEvents { seq, results: vec![fleet(seq, true, &[node("s-a", "active")])] }, NOW, 7);
    for seq in 1..200 {
        snapshot_writer.save(snapshot(seq));
        // At any time the file is complete or absent.
        assert!(load(&folder, NOW, 7, HOUR, 0).is_ok());
    }
    std::thread::sleep(std::time::Duration::from_millis(200));
    snapshot_writer.save(snapshot(200));
    snapshot_writer.stop();
    let found = load(&folder, NOW, 7, HOUR, 0).expect("a good snapshot").expect("a snapshot is saved");
    assert_eq!(found.0.seq, 200);
    std::fs::write(folder.join("list"), &snapshot(201)[..40]).expect("written");
    assert!(load(&folder, NOW, 7, HOUR, 0).is_err_and(|why| why.contains("torn")));
    let _ = std::fs::remove_dir_all(folder);
}
