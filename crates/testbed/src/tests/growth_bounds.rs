//! Tests of the bounds on a dispatcher's resource use.

use super::*;

const USUAL: ResourceUse = ResourceUse {
    processor_s: 0.5,
    peak_mb: 6.0,
    descriptors: 100.0,
    connections: 50.0,
    list_kb: 40.0,
    served: 1.0,
};

fn missed(used: ResourceUse) -> Vec<String> {
    table(30.0, &[(200, vec![USUAL]), (3_200, vec![used])]).1
}

#[test]
fn values_at_their_bounds_are_kept() {
    let at_bounds = ResourceUse {
        processor_s: 0.7 + 0.02 + 0.096,
        peak_mb: 9.0 + 8.0 + 12.8,
        descriptors: 240.0,
        connections: 165.0,
        list_kb: 80.0 + 64.0 + 1_600.0,
        served: 0.85,
    };
    assert_eq!(missed(at_bounds), Vec::<String>::new());
}

#[test]
fn each_missed_bound_is_reported() {
    let over = ResourceUse {
        processor_s: 0.82,
        peak_mb: 29.9,
        descriptors: 241.0,
        connections: 166.0,
        list_kb: 1_745.0,
        served: 0.84,
    };
    let missed = missed(over);
    assert_eq!(missed.len(), 6, "{missed:?}");
    assert!(missed[0].contains("3200 hosts: processor, s 0.82, bound 0.82"), "{missed:?}");
}

#[test]
fn the_median_of_the_runs_is_compared() {
    let over = ResourceUse { served: 0.1, ..USUAL };
    let runs = vec![USUAL, over, USUAL];
    assert!(table(30.0, &[(200, vec![USUAL]), (800, runs)]).1.is_empty());
}
