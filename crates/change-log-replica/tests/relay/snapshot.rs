//! The state that a whole list holds.

use crate::common::{delta, event, list, purge};
use copperroute_change_log_replica::snapshot::Snapshot;
use serde_json::{Value, json};

fn after(lines: &[(String, bool)]) -> Option<Value> {
    let mut snapshot = Snapshot::default();
    lines.iter().for_each(|(line, gap)| snapshot.apply(&event(line), *gap));
    snapshot.whole_list().map(|line| serde_json::from_slice(&line).expect("JSON"))
}

fn told(lines: &[String]) -> Option<Value> {
    after(&lines.iter().map(|line| (line.clone(), false)).collect::<Vec<_>>())
}

fn ids(list: &Value) -> Vec<&str> {
    list["fleet"]["servers"].as_array().into_iter().flatten().filter_map(|of| of["id"].as_str()).collect()
}

fn rules(seq: u64, version: u64) -> String {
    format!("{{\"seq\":{seq},\"rules\":{{\"version\":{version},\"issuer\":\"{seq}\"}}}}")
}

#[test]
fn it_holds_the_nodes_as_they_stand_with_fields_that_are_not_known_here() {
    let lines = [list(1), delta(2, "s-1", "active"), delta(3, "s-0", "leaving"), purge(4)];
    let list = told(&lines).expect("whole");
    assert_eq!(ids(&list), ["s-1", "s-0"]);
    assert_eq!(list["fleet"]["servers"][1]["state"], "leaving");
    assert_eq!(list["fleet"]["servers"][1]["new_field"], json!([1]));
    let rest = (&list["seq"], &list["fleet"]["version"], &list["fleet"]["full"], &list["agreed"]);
    assert_eq!(rest, (&json!(4), &json!(3), &json!(true), &json!(0)));
}

#[test]
fn a_node_that_has_left_takes_no_room() {
    let list = told(&[list(1), delta(2, "s-1", "active"), delta(3, "s-1", "left")]).expect("whole");
    assert_eq!(ids(&list), ["s-0"]);
}

#[test]
fn it_vouches_for_nothing_that_it_has_not_heard_from_a_whole_list_on() {
    assert_eq!(told(&[purge(1)]), None, "no list");
    assert_eq!(told(&[delta(1, "s-1", "active")]), None, "news only");
    let gap = [(list(1), false), (purge(3), true)];
    assert_eq!(after(&gap), None, "what was between may have been news");
    let unread = r#"{"seq":2,"fleet":{"servers":7}}"#.to_string();
    assert_eq!(told(&[list(1), unread.clone()]), None, "an event that can't be read");
    assert!(told(&[list(1), unread, list(3)]).is_some(), "a whole list mends it");
}

#[test]
fn the_last_version_of_the_rules_goes_with_it() {
    let list = told(&[list(1), rules(2, 1), rules(3, 2)]).expect("whole");
    assert_eq!((&list["agreed"], &list["rules"]["issuer"]), (&json!(2), &json!("3")));
}

#[test]
fn of_two_contents_the_first_stands_and_an_older_version_is_passed_over() {
    let list = told(&[list(1), rules(2, 1), rules(3, 2), rules(4, 2), rules(5, 1)]).expect("whole");
    assert_eq!((&list["agreed"], &list["rules"]["issuer"]), (&json!(2), &json!("3")));
}

#[test]
fn a_version_that_follows_none_leaves_the_last_untold_until_a_list_tells_it() {
    let lines = [list(1), rules(2, 1), rules(3, 7)];
    let unknown = told(&lines).expect("whole");
    assert_eq!((unknown.get("agreed"), unknown.get("rules")), (None, None));
    let gap = after(&[(list(5), true)]).expect("whole");
    assert_eq!(gap.get("agreed"), None, "versions may be among what was not told");
    let says = list(4).replace("\"fleet\"", "\"agreed\":7,\"rules\":{\"version\":7},\"fleet\"");
    let known = told(&[lines[0].clone(), lines[1].clone(), lines[2].clone(), says]).expect("whole");
    assert_eq!((&known["agreed"], &known["rules"]["version"]), (&json!(7), &json!(7)));
}
