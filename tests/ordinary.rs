//! The ordinary path: MC3 decides what is kept, at which rank, and whether the parent keeps a copy.

mod common;
use common::*;
use copperroute::interface::*;
use expect_test::expect;

/// Asks for an object `times` times, `gap` apart; each is answered with `remark`.
fn repeated(times: u32, gap: u64, remark: Remark) -> String {
    let mut trace = Trace::default();
    let mut module = dispatcher(settings(), &mut trace);
    for n in 0..times {
        let now = ms(1_000 + u64::from(n) * gap);
        ask(&mut module, now, n, 0, 9, &mut trace);
        module.pull_ended(now.after(ms(120)), DlId(n), 0, &end(Outcome::Fulfilled, remark), &mut trace);
    }
    trace.0
}

#[test]
fn a_first_request_passes_unkept_and_the_second_is_kept() {
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 1: pull 1 from 1 rank 1 join
        dl 2: pull 1 from 1 rank 1 join
    "#]]
    .assert_eq(&repeated(3, 5_000, Remark::FilledFromCopy));
}

#[test]
fn what_is_asked_too_seldom_stays_unkept() {
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 1: pull 1 from 1 rank 1 join
        dl 2: pull 1 from 1 rank 1 join
    "#]]
    .assert_eq(&repeated(3, 100_000, Remark::FilledFromCopy));
}
