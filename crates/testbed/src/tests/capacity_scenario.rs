use super::*;

const GOOD: &str = include_str!("../../scenarios/capacity-small.json");
const REPLICAS: &str = include_str!("../../scenarios/capacity-small-replicas.json");

#[test]
fn scenarios_that_come_with_the_lab_can_be_used() {
    let others = [
        include_str!("../../scenarios/capacity-590.json"),
        include_str!("../../scenarios/capacity-590-replicas.json"),
    ];
    for text in [GOOD, REPLICAS].into_iter().chain(others) {
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
fn replicas_that_cannot_be_used_are_refused_with_their_place() {
    let cases = [
        (r#""replicas": 3"#, r#""replicas": 1"#, "replicas: 1; expected 0, or 2 to 4, each in another zone"),
        (r#""replicas": 3"#, r#""replicas": 5"#, "replicas: 5; expected 0, or 2 to 4, each in another zone"),
        (
            r#""lists": {"calls_per_s""#,
            r#""listing": {"calls_per_s""#,
            "replicas: 3; expected 0, as operator.lists",
        ),
        (r#""replicas": 3"#, r#""replicas": 0"#, "faults.4.what: replica; there is none"),
        (
            r#""for_s": 3, "each_s": 7"#,
            r#""for_s": 3, "each_s": 3"#,
            "each_s: 3; expected more than for_s, 3",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(REPLICAS.contains(from), "{from}");
        let fault = Scenario::parse(&REPLICAS.replacen(from, to, 1)).expect_err("it can't be used");
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
