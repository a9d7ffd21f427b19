//! The text form of plans, and their decisions.

use copperroute_fault_injection::{Call, FaultPlan, Span};
use libc::{ECONNABORTED, EINTR, ENFILE, ENOSPC};
use std::path::Path;

#[test]
fn a_plan_is_parsed_from_the_text_it_writes() {
    let plan = FaultPlan::new(7)
        .fail(Call::Accept, &[ECONNABORTED, ENFILE], 3, Span::between(1000, 5000))
        .fail(Call::Recv, &[EINTR], 1, Span { from_ms: 20, until_ms: None })
        .fail(Call::Fsync, &[4000], 2, Span::ALWAYS)
        .short(4)
        .under("/tmp/one")
        .wall(-3_600_000, 0)
        .wall(5, 900)
        .file("/tmp/plan")
        .trace("/tmp/trace");
    let text = "seed=7;accept=ECONNABORTED,ENFILE:1/3@1000-5000;recv=EINTR:1/1@20;fsync=4000:1/2;short=1/4;\
                under=/tmp/one;wall=-3600000@0;wall=5@900;plan=/tmp/plan;trace=/tmp/trace";
    assert_eq!(plan.to_string(), text);
    assert_eq!(text.parse(), Ok(plan));
}

#[test]
fn every_call_is_parsed_from_its_name() {
    let calls: Vec<Call> = Call::all().collect();
    assert_eq!(calls.len(), Call::COUNT);
    for (index, call) in calls.into_iter().enumerate() {
        assert_eq!(call.index(), index);
        assert_eq!(call.name().parse(), Ok(call));
    }
    assert_eq!("accept4".parse(), Ok(Call::Accept));
}

#[test]
fn an_invalid_plan_is_refused_with_the_invalid_part() {
    for part in
        ["seed", "seed=x", "nothing=EIO", "recv=ENOTHING", "recv=EIO:2", "recv=EIO:1/0", "wall=x", "short=3"]
    {
        let refused = format!("seed=1;{part}").parse::<FaultPlan>();
        let expected = "seed=N, short=1/N, wall=OFFSET_MS[@FROM_MS], under=FOLDER, plan=FILE, trace=FILE or \
                        CALL=ERRNO[,ERRNO...][:1/N][@FROM_MS[-UNTIL_MS]]";
        let message = format!("fault plan: can't parse \"{part}\", expected {expected}");
        assert_eq!(refused.expect_err(part).to_string(), message);
    }
}

#[test]
fn one_use_in_many_fails_only_within_its_span_with_the_errors_in_turn() {
    let plan = FaultPlan::new(3).fail(Call::Accept, &[ECONNABORTED, ENFILE], 4, Span::between(100, 200));
    let mut failed = Vec::new();
    for uses in 0..4000 {
        let error = plan.error(Call::Accept, 150, uses, failed.len() as u64);
        failed.extend(error.map(|errno| errno.0));
        assert_eq!(plan.error(Call::Accept, 99, uses, 0), None);
        assert_eq!(plan.error(Call::Accept, 200, uses, 0), None);
        assert_eq!(plan.error(Call::Connect, 150, uses, 0), None);
    }
    assert!((850..1150).contains(&failed.len()), "{} of 4000", failed.len());
    assert!(failed.chunks_exact(2).all(|pair| pair == [ECONNABORTED, ENFILE]));
}

#[test]
fn a_shortened_transfer_has_at_least_one_byte() {
    let plan = FaultPlan::new(5).short(2);
    let lengths: Vec<usize> = (0..1000).map(|uses| plan.shortened(10, uses)).collect();
    assert!(lengths.iter().all(|length| (1..=10).contains(length)));
    let cut = lengths.iter().filter(|length| **length < 10).count();
    assert!((400..600).contains(&cut), "{cut} of 1000");
    assert!((0..100).all(|uses| plan.shortened(1, uses) == 1 && plan.shortened(0, uses) == 0));
}

#[test]
fn the_latest_step_sets_the_offset_of_the_wall_clock() {
    let plan = FaultPlan::new(0).wall(50, 100).wall(-7, 300);
    assert_eq!([0, 99, 100, 299, 300, 9000].map(|now| plan.wall_offset_ms(now)), [0, 0, 50, 50, -7, -7]);
}

#[test]
fn folders_restrict_the_rules_for_files() {
    let plan = FaultPlan::new(0).fail(Call::Fsync, &[ENOSPC], 1, Span::ALWAYS);
    assert!(plan.covers(Path::new("/any/where")));
    let plan = plan.under("/data/store");
    assert!(plan.covers(Path::new("/data/store/0001")));
    assert!(!plan.covers(Path::new("/data/stored")));
}
