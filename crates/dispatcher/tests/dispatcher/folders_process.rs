//! The program with its local cache on a disk that fails for a while, killed and restarted. Checked by the copies that
//! clients receive and by the attempts that nodes receive.

use crate::folders_place::{Environment, wait_until};
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const EIO: i32 = 5;
const EINTR: i32 = 4;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
const EDQUOT: i32 = 122;

/// Ways in which the store's disk fails.
fn disk_faults(environment: &Environment) -> [(&'static str, FaultPlan); 4] {
    let plan = || FaultPlan::new(1).under(environment.store());
    let read_only = [Call::Open, Call::FileWrite, Call::Ftruncate, Call::Rename, Call::Unlink];
    [
        ("syncs fail", plan().fail(Call::Fdatasync, &[EIO], 1, Span::ALWAYS)),
        ("the disk is full", plan().fail(Call::FileWrite, &[ENOSPC], 1, Span::ALWAYS)),
        ("some writes and syncs fail", {
            let writes = plan().fail(Call::FileWrite, &[EIO], 2, Span::ALWAYS);
            writes.fail(Call::Fdatasync, &[EIO], 2, Span::ALWAYS).fail(Call::Fsync, &[EIO], 2, Span::ALWAYS)
        }),
        (
            "the disk is read-only",
            read_only.into_iter().fold(plan(), |plan, call| plan.fail(call, &[EROFS], 1, Span::ALWAYS)),
        ),
    ]
}

#[test]
fn a_purge_that_a_failing_disk_could_not_mark_holds_after_a_restart() {
    for fault in 0..4 {
        let mut environment = Environment::new();
        let (what, plan) = disk_faults(&environment)[fault].clone();
        let first = environment.program();
        environment.store_on_disk();
        environment.purge_other_group();
        environment.set_faults(&plan);
        let purged = environment.purge_object();
        drop(first);
        environment.set_faults(&FaultPlan::new(1));
        let _second = environment.program();
        for _ in 0..5 {
            assert!(environment.copy_made_ms() > purged, "{what}: a copy from before the purge was served");
        }
    }
}

#[test]
fn a_recovered_disk_is_used_again_without_a_restart() {
    for fault in 0..4 {
        let mut environment = Environment::new();
        let (what, plan) = disk_faults(&environment)[fault].clone();
        let first = environment.program();
        environment.store_on_disk();
        environment.set_faults(&plan);
        let purged = environment.purge_object();
        wait_until(what, || {
            // Where only some calls fail, several purges are needed until one fails.
            environment.log.purge("\"bucket\":6");
            thread::sleep(Duration::from_millis(20));
            environment.log_lines_with("off, tried again by itself") == 1
        });
        thread::sleep(Duration::from_millis(1_500));
        environment.set_faults(&FaultPlan::new(1));
        wait_until(what, || environment.log_lines_with("on again after") == 1);
        let purged_again = environment.purge_object();
        environment.store_on_disk();
        environment.purge_other_group();
        drop(first);
        let fetched = environment.fetched.load(Ordering::Relaxed);
        let _second = environment.program();
        let made = environment.copy_made_ms();
        assert!(made > purged && made > purged_again, "{what}: a copy from before the purge was served");
        assert_eq!(environment.fetched.load(Ordering::Relaxed), fetched, "{what}: not served from disk");
        assert_eq!(
            environment.log_lines_with("off, tried again by itself"),
            1,
            "{what}: logged more than once"
        );
    }
}

/// A random number generator (xorshift) with a fixed seed.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    /// A plan in which a third of the kinds of file calls fail, each in one of two or three uses.
    fn plan(&mut self, environment: &Environment) -> FaultPlan {
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
        let mut plan = FaultPlan::new(self.below(1 << 30)).under(environment.store());
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
fn restarts_with_disk_faults_serve_no_copy_from_before_a_purge() {
    for seed in [43_u64, 44, 45] {
        println!("seed {seed}");
        let (mut environment, mut random, mut purged) =
            (Environment::new(), RandomNumbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)), 0);
        for run in 0..5 {
            environment.lists_all_events = random.below(2) == 0;
            let plan = if run == 0 { FaultPlan::new(1) } else { random.plan(&environment) };
            environment.set_faults(&plan);
            let _program = environment.program();
            for step in 0..12 {
                match random.below(6) {
                    0 => purged = environment.purge_object(),
                    1 => drop(environment.log.purge("\"bucket\":5")),
                    2 => environment.set_faults(&random.plan(&environment)),
                    3 => environment.set_faults(&FaultPlan::new(1)),
                    _ => environment.part = random.below(4),
                }
                let made = environment.copy_made_ms();
                assert!(made > purged, "seed {seed}, run {run}, step {step}: made {made}, purged {purged}");
            }
        }
    }
}
