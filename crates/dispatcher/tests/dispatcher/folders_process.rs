//! The program itself with its copies on a disk that fails for a while, killed and started again: judged by what clients
//! were given, and by what nodes were asked for.

use crate::folders_place::{Place, wait_until};
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const EIO: i32 = 5;
const EINTR: i32 = 4;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
const EDQUOT: i32 = 122;

/// How the store's disk fails.
fn troubles(place: &Place) -> [(&'static str, FaultPlan); 4] {
    let plan = || FaultPlan::new(1).under(place.store());
    let read_only = [Call::Open, Call::FileWrite, Call::Ftruncate, Call::Rename, Call::Unlink];
    [
        ("syncs fail", plan().fail(Call::Fdatasync, &[EIO], 1, Span::ALWAYS)),
        ("it is full", plan().fail(Call::FileWrite, &[ENOSPC], 1, Span::ALWAYS)),
        ("writes and syncs fail in turn", {
            let writes = plan().fail(Call::FileWrite, &[EIO], 2, Span::ALWAYS);
            writes.fail(Call::Fdatasync, &[EIO], 2, Span::ALWAYS).fail(Call::Fsync, &[EIO], 2, Span::ALWAYS)
        }),
        (
            "it takes nothing",
            read_only.into_iter().fold(plan(), |plan, call| plan.fail(call, &[EROFS], 1, Span::ALWAYS)),
        ),
    ]
}

#[test]
fn a_purge_that_a_failing_disk_could_not_mark_is_heeded_by_the_next_life() {
    for trouble in 0..4 {
        let mut place = Place::new();
        let (what, plan) = troubles(&place)[trouble].clone();
        let first = place.program();
        place.keep_on_disk();
        place.purge_other();
        place.faults(&plan);
        let purged = place.purge_object();
        drop(first);
        place.faults(&FaultPlan::new(1));
        let _second = place.program();
        for _ in 0..5 {
            assert!(place.given() > purged, "{what}: a copy from before the purge was served");
        }
    }
}

#[test]
fn a_disk_that_is_well_again_is_used_again_without_a_restart() {
    for trouble in 0..4 {
        let mut place = Place::new();
        let (what, plan) = troubles(&place)[trouble].clone();
        let first = place.program();
        place.keep_on_disk();
        place.faults(&plan);
        let purged = place.purge_object();
        wait_until(what, || {
            // A plan that fails some calls alone has to be met first.
            place.log.purge("\"bucket\":6");
            thread::sleep(Duration::from_millis(20));
            place.lines_with("off, tried again by itself") == 1
        });
        thread::sleep(Duration::from_millis(1_500));
        place.faults(&FaultPlan::new(1));
        wait_until(what, || place.lines_with("on again after") == 1);
        let again = place.purge_object();
        place.keep_on_disk();
        place.purge_other();
        drop(first);
        let fetched = place.fetched.load(Ordering::Relaxed);
        let _second = place.program();
        let given = place.given();
        assert!(given > purged && given > again, "{what}: a copy from before the purge was served");
        assert_eq!(place.fetched.load(Ordering::Relaxed), fetched, "{what}: the disk had it");
        assert_eq!(place.lines_with("off, tried again by itself"), 1, "{what}: one line when it began");
    }
}

/// Draws numbers below a bound, the same for the same seed.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    /// Each kind of call on files fails or not, one in two or three of its uses.
    fn plan(&mut self, place: &Place) -> FaultPlan {
        let calls = [
            Call::Open,
            Call::FileRead,
            Call::FileWrite,
            Call::Fdatasync,
            Call::Fsync,
            Call::Ftruncate,
            Call::Rename,
            Call::Unlink,
        ];
        let mut plan = FaultPlan::new(self.below(1 << 30)).under(place.store());
        for call in calls {
            if self.below(3) == 0 {
                let one_in = 2 + self.below(2) as u32;
                plan = plan.fail(call, &[EIO, ENOSPC, EINTR, EDQUOT, EROFS], one_in, Span::ALWAYS);
            }
        }
        plan
    }
}

#[test]
fn lives_amid_faults_serve_nothing_from_before_a_purge() {
    for seed in [43_u64, 44, 45] {
        println!("seed {seed}");
        let (mut place, mut draws, mut purged) =
            (Place::new(), Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)), 0);
        for life in 0..5 {
            place.tells_events = draws.below(2) == 0;
            let plan = if life == 0 { FaultPlan::new(1) } else { draws.plan(&place) };
            place.faults(&plan);
            let _program = place.program();
            for step in 0..12 {
                match draws.below(6) {
                    0 => purged = place.purge_object(),
                    1 => drop(place.log.purge("\"bucket\":5")),
                    2 => place.faults(&draws.plan(&place)),
                    3 => place.faults(&FaultPlan::new(1)),
                    _ => place.part = draws.below(4),
                }
                let made = place.given();
                assert!(made > purged, "seed {seed}, life {life}, step {step}: made {made}, purged {purged}");
            }
        }
    }
}
