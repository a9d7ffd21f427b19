//! The state that a snapshot holds.

use crate::common::{delta, event, list, purge};
use copperroute_change_log_replica::snapshot::Snapshot;
use serde_json::{Value, json};

fn after(lines: &[(String, bool)]) -> Option<Value> {
    let mut snapshot = Snapshot::default();
    lines.iter().for_each(|(line, gap)| snapshot.apply(&event(line), *gap));
    snapshot.encode().map(|line| serde_json::from_slice(&line).expect("JSON"))
}

fn after_events(lines: &[String]) -> Option<Value> {
    after(&lines.iter().map(|line| (line.clone(), false)).collect::<Vec<_>>())
}

fn ids(list: &Value) -> Vec<&str> {
    list["fleet"]["servers"].as_array().into_iter().flatten().filter_map(|of| of["id"].as_str()).collect()
}

fn rules(seq: u64, version: u64) -> String {
    format!("{{\"seq\":{seq},\"rules\":{{\"version\":{version},\"issuer\":\"{seq}\"}}}}")
}

#[test]
fn it_holds_the_present_nodes_with_unknown_fields() {
    let lines = [list(1), delta(2, "s-1", "active"), delta(3, "s-0", "leaving"), purge(4)];
    let list = after_events(&lines).expect("whole");
    assert_eq!(ids(&list), ["s-1", "s-0"]);
    assert_eq!(list["fleet"]["servers"][1]["state"], "leaving");
    assert_eq!(list["fleet"]["servers"][1]["new_field"], json!([1]));
    let rest = (&list["seq"], &list["fleet"]["version"], &list["fleet"]["full"], &list["agreed"]);
    assert_eq!(rest, (&json!(4), &json!(3), &json!(true), &json!(0)));
}

#[test]
fn a_node_that_has_left_is_not_kept() {
    let list = after_events(&[list(1), delta(2, "s-1", "active"), delta(3, "s-1", "left")]).expect("whole");
    assert_eq!(ids(&list), ["s-0"]);
}

#[test]
fn it_is_complete_only_after_a_whole_list_without_a_gap() {
    assert_eq!(after_events(&[purge(1)]), None, "no node list");
    assert_eq!(after_events(&[delta(1, "s-1", "active")]), None, "node changes only");
    let gap = [(list(1), false), (purge(3), true)];
    assert_eq!(after(&gap), None, "the events between may have changed nodes");
    let unread = r#"{"seq":2,"fleet":{"servers":7}}"#.to_string();
    assert_eq!(after_events(&[list(1), unread.clone()]), None, "an event that can't be read");
    assert!(after_events(&[list(1), unread, list(3)]).is_some(), "complete again after a whole list");
}

#[test]
fn it_holds_the_last_version_of_the_rules() {
    let list = after_events(&[list(1), rules(2, 1), rules(3, 2)]).expect("whole");
    assert_eq!((&list["agreed"], &list["rules"]["issuer"]), (&json!(2), &json!("3")));
}

#[test]
fn of_two_contents_of_a_version_the_first_stays_and_an_older_version_is_ignored() {
    let list = after_events(&[list(1), rules(2, 1), rules(3, 2), rules(4, 2), rules(5, 1)]).expect("whole");
    assert_eq!((&list["agreed"], &list["rules"]["issuer"]), (&json!(2), &json!("3")));
}

#[test]
fn after_a_gap_in_the_versions_the_last_is_unknown_until_a_snapshot_names_it() {
    let lines = [list(1), rules(2, 1), rules(3, 7)];
    let unknown = after_events(&lines).expect("whole");
    assert_eq!((unknown.get("agreed"), unknown.get("rules")), (None, None));
    let gap = after(&[(list(5), true)]).expect("whole");
    assert_eq!(gap.get("agreed"), None, "versions may be among the events that were not received");
    let says = list(4).replace("\"fleet\"", "\"agreed\":7,\"rules\":{\"version\":7},\"fleet\"");
    let known = after_events(&[lines[0].clone(), lines[1].clone(), lines[2].clone(), says]).expect("whole");
    assert_eq!((&known["agreed"], &known["rules"]["version"]), (&json!(7), &json!(7)));
}
