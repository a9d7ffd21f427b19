use super::*;
use crate::scenario::Scenario;

const SCENARIOS: [(&str, &str, [i64; 2]); 3] = [
    (
        include_str!("../../scenarios/cold-only-wall-ahead.json"),
        include_str!("../../scenarios/cold-only-wall-behind.json"),
        [3_600_000, -3_600_000],
    ),
    (
        include_str!("../../scenarios/cold-caches-first-wall-ahead.json"),
        include_str!("../../scenarios/cold-caches-first-wall-behind.json"),
        [3_600_000, -3_600_000],
    ),
    (
        include_str!("../../scenarios/own-copies-restart-wall-ahead.json"),
        include_str!("../../scenarios/own-copies-restart-wall-behind.json"),
        [3_600_000, -3_600_000],
    ),
];

#[test]
fn scenarios_of_stepped_clocks_can_be_used() {
    for (ahead, behind, off_ms) in SCENARIOS {
        for (text, off_ms) in [ahead, behind].into_iter().zip(off_ms) {
            let scenario = Scenario::parse(text).expect("a good scenario");
            assert_eq!(scenario.dispatchers.wall_clock, [WallStep { off_ms, from_s: 0.0 }]);
        }
    }
}

#[test]
fn without_steps_nothing_is_preloaded() {
    let told = variables(&[], Path::new("/nowhere/copperroute")).expect("no library is needed");
    assert!(told.iter().all(|(_, value)| value.is_none()));
}

#[test]
fn steps_are_told_to_the_library_and_one_that_is_missing_is_named_in_one_line() {
    let folder = std::env::temp_dir().join(format!("copperroute-wall-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join("copperroute");
    let steps = [WallStep { off_ms: -5_000, from_s: 0.0 }, WallStep { off_ms: 3_600_000, from_s: 2.5 }];
    let fault = library(&[&program, &program]).expect_err("no library");
    assert!(fault.starts_with("dispatchers.wall_clock: ") && !fault.contains('\n'), "{fault}");
    std::fs::write(folder.join(LIBRARY), "").expect("a file");
    let [plan, preload] = variables(&steps, &program).expect("the library");
    assert_eq!(plan, (PLAN, Some("wall=-5000@0;wall=3600000@2500".into())));
    assert!(preload.1.is_some_and(|at| at.ends_with(LIBRARY)));
    let _ = std::fs::remove_dir_all(folder);
}
