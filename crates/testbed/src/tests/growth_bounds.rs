//! Tests of the bounds on growth.

use super::*;

const USUAL: Needs =
    Needs { core_s: 0.5, peak_mb: 6.0, descriptors: 100.0, connections: 50.0, list_kb: 40.0, served: 1.0 };

fn missed(needs: Needs) -> Vec<String> {
    table(30.0, &[(200, vec![USUAL]), (3_200, vec![needs])]).1
}

#[test]
fn what_is_just_within_the_bounds_is_kept() {
    let most = Needs {
        core_s: 0.7 + 0.02 + 0.096,
        peak_mb: 9.0 + 8.0 + 12.8,
        descriptors: 240.0,
        connections: 165.0,
        list_kb: 80.0 + 64.0 + 1_600.0,
        served: 0.85,
    };
    assert_eq!(missed(most), Vec::<String>::new());
}

#[test]
fn each_that_is_over_is_named() {
    let over = Needs {
        core_s: 0.82,
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
fn the_median_of_the_plays_counts() {
    let over = Needs { served: 0.1, ..USUAL };
    let plays = vec![USUAL, over, USUAL];
    assert!(table(30.0, &[(200, vec![USUAL]), (800, plays)]).1.is_empty());
}
