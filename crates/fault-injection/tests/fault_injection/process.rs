//! The preloaded library in a real process.

use copperroute_fault_injection::{Call, FaultPlan, Span, preload};
use libc::{ECONNABORTED, ECONNREFUSED, EINTR, EIO, ENFILE, ENOSPC, EXDEV};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

/// Runs the subject program with a plan and arguments; returns the lines that it prints.
fn run(plan: &FaultPlan, arguments: &[&str]) -> Vec<String> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperroute-fault-subject"));
    let output = preload(&mut command, plan).args(arguments).output().expect("start the subject");
    assert!(output.status.success(), "{plan}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text").lines().map(str::to_owned).collect()
}

fn number(text: &str) -> i64 {
    text.parse().expect("a number")
}

#[test]
fn without_faults_every_call_succeeds() {
    assert_eq!(run(&FaultPlan::new(1), &["accept"]), ["ok"; 12]);
    assert_eq!(run(&FaultPlan::new(1), &["transfer"]), ["200", "whole"]);
}

#[test]
fn accept_fails_with_the_errors_in_turn() {
    let traces = tempfile::tempdir().expect("temporary folder");
    let trace = traces.path().join("trace");
    let plan = FaultPlan::new(1).fail(Call::Accept, &[ECONNABORTED, ENFILE], 2, Span::ALWAYS).trace(&trace);
    let printed = run(&plan, &["accept"]);
    let errors = [ECONNABORTED, ENFILE].map(|errno| errno.to_string());
    assert!(errors.iter().all(|error| printed.contains(error)), "{printed:?}");
    assert!(printed.contains(&"ok".to_owned()), "{printed:?}");
    let traced = fs::read_to_string(trace).expect("read the trace");
    let names = traced.lines().map(|line| line.split(' ').take(2).collect::<Vec<_>>().join(" "));
    let expected = ["accept ECONNABORTED", "accept ENFILE"].into_iter().cycle();
    assert!(names.zip(expected).all(|(name, expected)| name == expected), "{traced}");
}

#[test]
fn the_same_seed_fails_the_same_calls() {
    let plan = |seed| FaultPlan::new(seed).fail(Call::Connect, &[ECONNREFUSED], 3, Span::ALWAYS);
    let runs: Vec<_> = (0..4).map(|seed| run(&plan(seed), &["connect"])).collect();
    assert_eq!(runs[1], run(&plan(1), &["connect"]));
    assert!(runs.iter().any(|run| *run != runs[0]), "{runs:?}");
}

#[test]
fn reads_and_writes_of_sockets_are_shortened_and_interrupted() {
    let (mut shortened, mut interrupted) = (false, false);
    for seed in 0..8 {
        let plan = FaultPlan::new(seed).short(2).fail(Call::Recv, &[EINTR], 3, Span::ALWAYS);
        let printed = run(&plan, &["transfer"]);
        assert_eq!(printed.last().map(String::as_str), Some("whole"), "{plan}: {printed:?}");
        shortened |= printed.len() > 3;
        interrupted |= printed.contains(&EINTR.to_string());
    }
    assert!(shortened && interrupted, "shortened: {shortened}, interrupted: {interrupted}");
    // std's `write_all` repeats an interrupted write.
    let plan = FaultPlan::new(2).fail(Call::Send, &[EINTR], 2, Span::ALWAYS);
    assert_eq!(run(&plan, &["transfer"]), ["200", "whole"]);
}

#[test]
fn rules_for_files_apply_only_under_their_folder() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let folder = folder.path().canonicalize().expect("resolve the path");
    let plan = FaultPlan::new(1)
        .fail(Call::FileWrite, &[ENOSPC], 1, Span::ALWAYS)
        .fail(Call::Fdatasync, &[EIO], 1, Span::ALWAYS)
        .fail(Call::Fsync, &[EIO], 1, Span::ALWAYS)
        .fail(Call::Rename, &[EXDEV], 1, Span::ALWAYS)
        .fail(Call::Unlink, &[EIO], 1, Span::ALWAYS)
        .under(folder.join("in"));
    let errors = [ENOSPC, EIO, EIO, EXDEV, EIO].map(|errno| errno.to_string());
    let printed = run(&plan, &["files", folder.to_str().expect("text")]);
    assert_eq!(printed[..5], errors);
    assert_eq!(printed[5..], ["ok"; 5]);
    let plan = FaultPlan::new(1).fail(Call::Open, &[ENFILE], 1, Span::ALWAYS).under(folder.join("in"));
    let printed = run(&plan, &["files", folder.to_str().expect("text")]);
    assert_eq!(printed[0], ENFILE.to_string());
    assert_eq!(printed[3..], ["ok"; 5]);
}

#[test]
fn the_wall_clock_steps_and_the_monotonic_clock_does_not() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    let printed = run(&FaultPlan::new(1).wall(3_600_000, 0).wall(-60_000, 200), &["clock"]);
    let times: Vec<i64> = printed.iter().map(|line| number(line)).collect();
    assert!((3_600_000..3_660_000).contains(&(times[0] - now)), "{times:?}");
    assert!((-60_000..0).contains(&(times[1] - now)), "{times:?}");
    assert!((400..20_000).contains(&times[2]), "{times:?}");
}

#[test]
fn a_plan_in_a_file_replaces_the_plan_of_a_running_process() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("plan");
    let plan = FaultPlan::new(1).file(&file);
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperroute-fault-subject"));
    preload(&mut command, &plan).arg("later").stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut subject = command.spawn().expect("start the subject");
    let mut lines =
        BufReader::new(subject.stdout.take().expect("piped")).lines().map(|line| line.expect("text"));
    assert_eq!(lines.next().as_deref(), Some("ok"));
    let later = FaultPlan::new(1).fail(Call::Connect, &[ECONNREFUSED], 1, Span::ALWAYS);
    fs::write(&file, later.to_string()).expect("write the plan");
    // Longer than the interval at which the file is read.
    std::thread::sleep(std::time::Duration::from_millis(100));
    subject.stdin.take().expect("piped").write_all(b"on\n").expect("write a line");
    assert_eq!(lines.next(), Some(ECONNREFUSED.to_string()));
    assert!(subject.wait().expect("wait for the subject").success());
}
