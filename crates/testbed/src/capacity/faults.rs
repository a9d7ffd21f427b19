//! What fails: faults at told times, and restarts and failures that are drawn from the seed.

use super::access::Access;
use super::clock::unix_us;
use super::groups::Group;
use super::hollow::Order;
use super::ledger::Cause;
use super::rig::Rig;
use super::scenario::{Fault, What};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// So often another dispatcher is drawn where something happens to the first already.
const DRAWN_AGAIN: usize = 20;

/// What passes between a fault and the run.
#[derive(Clone)]
pub(super) struct Course {
    pub rig: Arc<Rig>,
    pub begun: Instant,
    /// Whether the log is up.
    pub up: watch::Sender<bool>,
    /// What could not be done, such as a dispatcher that does not start: the run has failed.
    pub failed: tokio::sync::mpsc::UnboundedSender<String>,
}

impl Course {
    async fn at(&self, secs: f64) {
        tokio::time::sleep_until((self.begun + Duration::from_secs_f64(secs)).into()).await;
    }

    /// Lets all faults come in their time.
    pub(super) fn set_out(&self) {
        for fault in self.rig.scenario.faults.clone() {
            let course = self.clone();
            tokio::spawn(async move { course.happen(&fault).await });
        }
        let drawn = self.rig.scenario.drawn.clone();
        let mut chance = StdRng::seed_from_u64(self.rig.scenario.seed.rotate_left(32));
        let kinds = [
            (Cause::Restart, drawn.restarts, drawn.restart_s),
            (Cause::Failure, drawn.failures, drawn.failure_s),
        ];
        for (cause, count, away_s) in kinds {
            for _ in 0..count {
                let latest_s = (self.rig.scenario.length_s - away_s).max(0.0);
                let (at_s, seed) = (chance.random::<f64>() * latest_s, chance.random());
                let course = self.clone();
                tokio::spawn(async move {
                    course.at(at_s).await;
                    if let Some(dispatcher) = course.draw(seed) {
                        course.kill_and_start(&[dispatcher], cause, at_s + away_s).await;
                    }
                });
            }
        }
    }

    /// A dispatcher that nothing happens to, taken.
    fn draw(&self, seed: u64) -> Option<usize> {
        let mut chance = StdRng::seed_from_u64(seed);
        let count = self.rig.scenario.dispatchers();
        (0..DRAWN_AGAIN).map(|_| chance.random_range(0..count)).find(|at| self.rig.claim(*at))
    }

    async fn happen(&self, fault: &Fault) {
        let ends_s = fault.at_s + fault.for_s;
        self.at(fault.at_s).await;
        match fault.what {
            What::LogReset => {
                self.rig.ledger.disturbed(Cause::LogReset, unix_us());
                self.rig.log.reset();
            }
            What::StreamsReset => {
                self.rig.ledger.disturbed(Cause::StreamsReset, unix_us());
                self.rig.access.iter().for_each(Access::reset);
            }
            What::Replica => self.replicas(fault).await,
            What::LogAway => {
                self.up.send_replace(false);
                self.rig.log.set_up(false);
                self.at(ends_s).await;
                self.rig.log.set_up(true);
                self.rig.ledger.disturbed(Cause::LogAway, unix_us());
                self.up.send_replace(true);
            }
            What::Kill => {
                let who = self.claim(fault);
                self.kill_and_start(&who, Cause::Kill, ends_s).await;
            }
            What::Stop => self.stop(&self.claim(fault), ends_s).await,
            What::Cut => self.cut(&self.claim(fault), Cause::Cut, ends_s).await,
            // Claimed, and cut, since before they started.
            What::Backlog => self.cut(&self.members(fault), Cause::Backlog, ends_s).await,
        }
    }

    /// Kills one replica after the other, as long as each is back before the end.
    async fn replicas(&self, fault: &Fault) {
        let (mut at_s, count) = (fault.at_s, self.rig.replicas.count());
        for replica in (0..count).cycle() {
            if at_s + fault.for_s > self.rig.scenario.length_s {
                return;
            }
            self.at(at_s).await;
            for dispatcher in self.rig.followers(replica) {
                self.rig.ledger.touched(dispatcher, Cause::Replica, unix_us());
            }
            self.rig.replicas.kill(replica).await;
            self.at(at_s + fault.for_s).await;
            if let Err(fault) = self.rig.replicas.start(replica) {
                let _ = self.failed.send(fault);
            }
            at_s += fault.each_s;
        }
    }

    fn members(&self, fault: &Fault) -> Vec<usize> {
        Group::read(&fault.who).map_or_else(Vec::new, |group| group.members(&self.rig.scenario.fleet))
    }

    /// Those that a fault names, but for those to which something happens already.
    fn claim(&self, fault: &Fault) -> Vec<usize> {
        self.members(fault).into_iter().filter(|at| self.rig.claim(*at)).collect()
    }

    fn release(&self, who: &[usize]) {
        who.iter().for_each(|at| self.rig.release(*at));
    }

    async fn kill_and_start(&self, who: &[usize], cause: Cause, until_s: f64) {
        for at in who {
            self.rig.ledger.lost(*at, cause, unix_us());
            match self.rig.is_real(*at) {
                true => self.rig.real.kill(*at).await,
                false => self.rig.hosts.order(*at, Order::Kill(*at)),
            }
        }
        self.at(until_s).await;
        let known = self.rig.log.known();
        let mut starting = JoinSet::new();
        for at in who.iter().copied() {
            let (rig, known) = (self.rig.clone(), known.clone());
            starting.spawn(async move {
                rig.write_config(at, known)?;
                rig.begin(at, cause).await
            });
        }
        while let Some(started) = starting.join_next().await {
            if let Err(fault) = started.map_err(|fault| fault.to_string()).flatten() {
                let _ = self.failed.send(fault);
            }
        }
        self.release(who);
    }

    async fn stop(&self, who: &[usize], until_s: f64) {
        for at in who {
            self.rig.ledger.lost(*at, Cause::Stop, unix_us());
            match self.rig.is_real(*at) {
                true => self.rig.real.signal(*at, Signal::SIGSTOP),
                false => self.rig.hosts.order(*at, Order::Stop(*at)),
            }
        }
        self.at(until_s).await;
        for at in who {
            match self.rig.is_real(*at) {
                true => self.rig.real.signal(*at, Signal::SIGCONT),
                false => self.rig.hosts.order(*at, Order::Continue(*at)),
            }
            self.rig.ledger.back(*at, Cause::Stop, unix_us());
        }
        self.release(who);
    }

    async fn cut(&self, who: &[usize], cause: Cause, until_s: f64) {
        for at in who {
            self.rig.ledger.lost(*at, cause, unix_us());
            self.rig.access[*at].set_cut(true);
        }
        self.at(until_s).await;
        for at in who {
            self.rig.access[*at].set_cut(false);
            self.rig.ledger.back(*at, cause, unix_us());
        }
        self.release(who);
    }
}
