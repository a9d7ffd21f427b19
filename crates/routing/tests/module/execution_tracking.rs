//! Requests that must not run twice, with overload control on: what is known of a request changes only by that
//! request's own attempts. In each trace the requests have one fingerprint: the same client, object and content type.

use crate::common::*;
use crate::overload_scenario::overload_settings;
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use expect_test::expect;

/// A new request, and a retry that the client has marked, of the non-retriable content type.
const NEW: u32 = 2;
const RETRY: u32 = 12;
const OBJECT: u32 = 1;

/// A dispatcher that was started so long ago that it knows all requests that clients may retry.
fn started_long_ago(overload: OverloadSettings, cancel: bool) -> (Dispatcher, Trace) {
    let (mut dispatcher, mut trace) =
        start(Settings { overload_control: Some(overload), cancel, ..settings() });
    ask(&mut dispatcher, ms(1_000), 0, NEW, 99, &mut trace);
    attempt_ends(&mut dispatcher, 1_010, 0, Outcome::Served, &mut trace);
    trace.0.clear();
    (dispatcher, trace)
}

fn ask_at(dispatcher: &mut Dispatcher, at_ms: u64, request: u32, kind: u32, trace: &mut Trace) {
    ask(dispatcher, ms(at_ms), request, kind, OBJECT, trace);
}

/// The first attempt of a request ends.
fn attempt_ends(dispatcher: &mut Dispatcher, at_ms: u64, request: u32, outcome: Outcome, trace: &mut Trace) {
    dispatcher.attempt_ended(ms(at_ms), RequestId(request), 0, &end(outcome, Remark::None), trace);
}

/// Guards against a retry that was failed settling the first try, so that the next retry was sent on.
#[test]
fn a_failed_retry_does_not_settle_the_first_try() {
    let (mut dispatcher, mut trace) = started_long_ago(overload_settings(), true);
    ask_at(&mut dispatcher, 70_000, 1, NEW, &mut trace);
    for (retry, at_ms) in [(2, 70_100), (3, 70_300), (4, 70_301)] {
        ask_at(&mut dispatcher, at_ms, retry, RETRY, &mut trace);
    }
    attempt_ends(&mut dispatcher, 70_400, 1, Outcome::Broken, &mut trace);
    ask_at(&mut dispatcher, 70_500, 5, RETRY, &mut trace);
    ask_at(&mut dispatcher, 71_000, 6, RETRY, &mut trace);
    expect![[r#"
        request 1: attempt 5 from 5 rank 0 join
        request 2: failed
        request 3: failed
        request 4: failed
        request 1: failed
        request 5: failed
        request 6: failed
    "#]]
    .assert_eq(&trace.0);
}

/// Guards against a second request with the same fingerprint settling the first: while that is in flight, and when it
/// has run.
#[test]
fn a_request_that_did_not_run_does_not_settle_another_that_did() {
    let (mut dispatcher, mut trace) = started_long_ago(overload_settings(), true);
    let turned_away = end(Outcome::Refused, Remark::OriginFailed);
    ask_at(&mut dispatcher, 70_000, 1, NEW, &mut trace);
    ask_at(&mut dispatcher, 70_001, 2, NEW, &mut trace);
    dispatcher.attempt_ended(ms(70_100), RequestId(2), 0, &turned_away, &mut trace);
    ask_at(&mut dispatcher, 70_200, 3, RETRY, &mut trace);
    attempt_ends(&mut dispatcher, 70_300, 1, Outcome::Served, &mut trace);
    ask_at(&mut dispatcher, 70_400, 4, NEW, &mut trace);
    dispatcher.attempt_ended(ms(70_500), RequestId(4), 0, &turned_away, &mut trace);
    ask_at(&mut dispatcher, 70_600, 5, RETRY, &mut trace);
    expect![[r#"
        request 1: attempt 5 from 5 rank 0 join
        request 2: attempt 5 from 5 rank 0 join
        request 2: rejected, retry-after
        request 3: failed
        request 4: attempt 5 from 5 rank 0 join
        request 4: rejected, retry-after
        request 5: failed
    "#]]
    .assert_eq(&trace.0);
}

/// Guards against a request being forgotten while it is in flight, if that takes longer than requests are remembered.
#[test]
fn a_request_in_flight_is_known_for_longer_than_requests_are_remembered() {
    let overload = OverloadSettings { remember_for: ms(500), ..overload_settings() };
    let (mut dispatcher, mut trace) = started_long_ago(overload, true);
    ask_at(&mut dispatcher, 70_000, 1, NEW, &mut trace);
    ask_at(&mut dispatcher, 72_500, 2, RETRY, &mut trace);
    attempt_ends(&mut dispatcher, 72_900, 1, Outcome::TimedOut, &mut trace);
    ask_at(&mut dispatcher, 73_300, 3, RETRY, &mut trace);
    expect![[r#"
        request 1: attempt 5 from 5 rank 0 join
        request 2: failed
        request 1: failed
        request 3: failed
    "#]]
    .assert_eq(&trace.0);
}

/// Guards against an answer counting as not run because its client had gone, where attempts are not cancelled.
#[test]
fn a_request_that_runs_after_its_client_has_gone_has_run() {
    let (mut dispatcher, mut trace) = started_long_ago(overload_settings(), false);
    ask_at(&mut dispatcher, 70_000, 1, NEW, &mut trace);
    dispatcher.client_gone(ms(70_100), RequestId(1), &mut trace);
    attempt_ends(&mut dispatcher, 70_200, 1, Outcome::Served, &mut trace);
    ask_at(&mut dispatcher, 70_300, 2, RETRY, &mut trace);
    expect![[r#"
        request 1: attempt 5 from 5 rank 0 join
        request 2: failed
    "#]]
    .assert_eq(&trace.0);
}
