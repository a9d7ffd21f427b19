use super::*;

const GOOD: &str = include_str!("../../scenarios/capacity-small.json");

#[test]
fn scenarios_that_come_with_the_lab_can_be_used() {
    for text in [GOOD, include_str!("../../scenarios/capacity-590.json")] {
        let read = Scenario::parse(text).expect("it can be used");
        assert!(read.hosts() + read.fleet.real < MOST_PROCESSES);
    }
}

#[test]
fn one_that_cannot_be_used_is_refused_with_its_place() {
    let cases = [
        (r#""seed": 24"#, r#""seeds": 24"#, "unknown field"),
        (r#""hollow": 20"#, r#""hollow": 0"#, "fleet.hollow: 0; expected 1 to 2000"),
        (r#""hollow_each": 10"#, r#""hollow_each": 1000"#, "fleet.hollow_each: 1000; expected 1 to 100"),
        (r#""real": 4"#, r#""real": 0"#, "fleet.real_idle: 1; expected 0 to 0"),
        (r#""who": "zone:2""#, r#""who": "zone:9""#, "faults.1.who: 'zone:9' is nobody"),
        (r#""at_s": 6, "for_s": 4"#, r#""at_s": 6, "for_s": 40"#, "faults.1: ends after 46 s"),
        (r#""at_s": 0, "for_s": 4"#, r#""at_s": 1, "for_s": 4"#, "faults.0.at_s: 1; expected 0"),
        (r#""agreement""#, r#""else""#, "changes.version_each_s: expected 0"),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "{from}");
        let fault = Scenario::parse(&GOOD.replacen(from, to, 1)).expect_err("it can't be used");
        assert!(fault.contains(expected), "{fault}");
    }
}

#[test]
fn too_many_processes_are_refused() {
    let text = GOOD.replace(r#""hollow": 20, "hollow_each": 10"#, r#""hollow": 299, "hollow_each": 1"#);
    let fault = Scenario::parse(&text).expect_err("too many");
    assert_eq!(fault, "fleet: processes in all: 304; expected 1 to 300");
}

#[test]
fn groups_hold_who_stands_there() {
    let fleet = Scenario::parse(GOOD).expect("it can be used").fleet;
    let members = |name: &str| Group::read(name).map(|group| group.members(&fleet)).unwrap_or_default();
    assert_eq!(members("zone:3"), [3, 7, 11, 15, 19, 23]);
    assert_eq!(members("rack:1"), [1, 5]);
    assert_eq!(members("region:1").len(), 12);
    assert_eq!(members("all").len(), 24);
    assert_eq!(members("one:24"), [0_usize; 0]);
    assert_eq!(members("shelf:1"), [0_usize; 0]);
}
