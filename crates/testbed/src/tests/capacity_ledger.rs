use super::*;

#[test]
fn it_tells_when_a_dispatcher_had_acted_and_whether_it_could_be_reached() {
    let ledger = Ledger::new(1);
    for (at_us, seq) in [(100, 4), (200, 7), (300, 8)] {
        ledger.record(Record::Applied { dispatcher: 0, at_us, seq });
    }
    ledger.lost(0, Cause::Cut, 400);
    ledger.back(0, Cause::Cut, 500);
    ledger.disturbed(Cause::LogReset, 600);
    let track = &ledger.tracks()[0];
    assert_eq!(
        [track.acted_us(5, 100), track.acted_us(8, 250), track.acted_us(9, 250)],
        [Some(200), Some(300), None]
    );
    assert!(track.is_reachable(100, 399) && !track.is_reachable(300, 450) && !track.is_reachable(450, 460));
    assert!(track.is_reachable(501, 700), "a reset log can be reached");
    let causes = [50, 450, 550, 650].map(|at_us| track.cause(at_us));
    assert_eq!(causes, [Cause::None, Cause::Cut, Cause::Cut, Cause::LogReset]);
    assert!(!track.is_undisturbed());
}

#[test]
fn one_that_was_restarted_counts_from_its_start_on() {
    let ledger = Ledger::new(1);
    ledger.lost(0, Cause::Start, 10);
    ledger.record(Record::Started { dispatcher: 0, at_us: 20 });
    assert_eq!([ledger.started_after(0, 15), ledger.started_after(0, 25)], [Some(20), None]);
    ledger.back(0, Cause::Start, 20);
    assert!(ledger.tracks()[0].is_undisturbed());
    assert!(!ledger.all_applied(&[0], 1));
    ledger.record(Record::Applied { dispatcher: 0, at_us: 30, seq: 1 });
    ledger.record(Record::Applied { dispatcher: 9, at_us: 30, seq: 1 });
    assert!(ledger.all_applied(&[0], 1));
}
