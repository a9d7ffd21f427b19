//! The lab itself: a short outage with real dispatchers, and scenarios that can't be used.

use std::process::Command;

fn lab(words: &[&str]) -> (Option<i32>, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_copperroute-testbed")).args(words).output().expect("the lab starts");
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8_lossy(&text).trim_end().to_string())
}

#[test]
fn a_short_trunk_outage_keeps_all_rules() {
    let out = std::env::temp_dir().join(format!("copperroute-testbed-{}", std::process::id()));
    let folder = out.to_string_lossy().to_string();
    let (code, text) = lab(&["run", "scenarios/trunk-outage-short.json", "--out", &folder, "--net", "76"]);
    assert_eq!(code, Some(0), "{text}");
    let report = std::fs::read_to_string(out.join("report.html")).expect("a report");
    assert!(report.contains("<svg") && report.contains("rules broken</td><td>0"));
    let _ = std::fs::remove_dir_all(out);
}

#[test]
fn a_scenario_that_cannot_be_used_is_refused_with_its_place() {
    let file = std::env::temp_dir().join(format!("copperroute-testbed-{}.json", std::process::id()));
    let good = include_str!("../scenarios/trunk-outage-short.json");
    let cases = [
        (r#""rate": 40"#, r#""rate": 0"#, "clients.rate: 0; expected 0.1 to 20000"),
        (
            r#""who": "caches""#,
            r#""who": "cache""#,
            "faults.0.who: 'cache' is nobody that this can happen to",
        ),
        (r#""at_s": 4"#, r#""at_s": 40"#, "faults.0.at_s: 40; expected 0 to 18"),
        (r#""seed": 1,"#, r#""seeds": 1,"#, "unknown field"),
    ];
    for (from, to, expected) in cases {
        let bad = match good.contains(from) {
            true => good.replacen(from, to, 1),
            false => good.replacen('{', &format!("{{{to}"), 1),
        };
        std::fs::write(&file, bad).expect("a file");
        let (code, text) = lab(&["run", &file.to_string_lossy()]);
        assert!(code == Some(2) && text.contains(expected), "{code:?} {text}");
    }
    let _ = std::fs::remove_file(file);
}
