//! One episode: injects concurrent faults, keeps them active, heals them and awaits recovery.

use std::time::Duration;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{FleetError, Promise, describe};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use tokio::time::Instant;

use super::fault::{Fault, FaultKind, heal};
use super::probe::until_recovered;
use super::run::Run;

/// The time within which the deployment must recover after the faults are healed.
pub(crate) const RECOVERY_BOUND: Duration = Duration::from_secs(20);

/// The time limit for a graceful shutdown while other faults are active.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(60);

/// How long faults stay active, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 1_000..12_000;

/// The interval at which operators act while faults are active.
const OPERATORS_EVERY: Duration = Duration::from_secs(2);

/// The faults of an episode, and its recovery time or the probe failure that remained.
#[derive(Debug)]
pub(crate) struct Episode {
    pub(crate) kinds: Vec<FaultKind>,
    pub(crate) recovery: Result<Duration, String>,
}

impl Run {
    /// Injects one to three faults, keeps them active for a random time, heals them and waits for
    /// the deployment to recover.
    pub(crate) async fn episode(&mut self, number: usize) -> Result<Episode, FleetError> {
        let faults = self.draw();
        let began = Instant::now();
        for fault in &faults {
            self.log_progress(
                number,
                &format!("{:?} {}", fault.kind, fault.subjects.join(" ")),
            );
            self.begin(fault).await?;
        }
        let hold = Duration::from_millis(self.rng.random_range(HOLD_MS));
        while began.elapsed() < hold {
            let left = hold.saturating_sub(began.elapsed());
            tokio::time::sleep(left.min(OPERATORS_EVERY)).await;
            self.operators
                .watch_revisions(&self.fleet, &mut self.evidence)
                .await;
            self.operators
                .create(&self.fleet, &self.load, &mut self.rng)
                .await;
        }
        heal(&self.fleet).await?;
        let healed = Instant::now();
        self.log_progress(number, "healed");
        for fault in &faults {
            self.finish(fault).await?;
        }
        let recovery =
            until_recovered(&self.fleet, &self.load, number, healed, RECOVERY_BOUND).await;
        self.log_progress(number, &format!("recovered: {recovery:?}"));
        self.operators.check(&self.fleet, &mut self.evidence).await;
        let kinds = faults.iter().map(|fault| fault.kind).collect();
        Ok(Episode { kinds, recovery })
    }

    fn draw(&mut self) -> Vec<Fault> {
        let count = match self.rng.random_range(0..100) {
            0..50 => 1,
            50..85 => 2,
            _ => 3,
        };
        let mut faults = Vec::<Fault>::new();
        while faults.len() < count {
            let Some(kind) = self.kinds.choose(&mut self.rng).copied() else {
                return faults;
            };
            let held = faults.iter().filter(|fault| fault.disables_instances());
            let taken: Vec<_> = held.flat_map(|fault| fault.subjects.clone()).collect();
            match Fault::draw(kind, &self.fleet, &taken, &mut self.rng) {
                Some(fault) => faults.push(fault),
                None => return faults,
            }
        }
        faults
    }

    async fn begin(&mut self, fault: &Fault) -> Result<(), FleetError> {
        fault.inject(&self.fleet, &mut self.rng).await?;
        match (fault.kind, fault.subjects.first()) {
            (FaultKind::Kill, Some(id)) => self.fleet.kill(id).await?,
            (FaultKind::Restart, Some(id)) => {
                self.fleet.restart(id).await?;
                self.operators.forget(id);
            }
            (FaultKind::Terminate, Some(id)) => self.fleet.terminate(id)?,
            (FaultKind::PopularityShift, _) => self.load.shift_popularity(),
            (FaultKind::OperatorRace, _) => {
                self.operators
                    .race(&self.fleet, &mut self.evidence, &mut self.rng)
                    .await;
            }
            _ => {}
        }
        self.load.set_instances(self.fleet.ready_instances());
        Ok(())
    }

    /// Replaces instances that were killed or terminated, and checks that a terminated one exited
    /// cleanly.
    async fn finish(&mut self, fault: &Fault) -> Result<(), FleetError> {
        match (fault.kind, fault.subjects.first()) {
            (FaultKind::Kill, _) => drop(self.fleet.add_instance().await?),
            (FaultKind::Terminate, Some(id)) => {
                let ended = self.fleet.wait_terminated(id, SHUTDOWN_BOUND).await;
                let clean = ended.as_ref().is_ok_and(std::process::ExitStatus::success);
                let finding = || format!("{id}: {ended:?}");
                self.evidence
                    .check(Promise::GracefulShutdown, clean, finding);
                if ended.is_err() {
                    self.fleet.kill(id).await?;
                }
                self.check_not_cut(id);
                self.fleet.add_instance().await?;
            }
            _ => return Ok(()),
        }
        self.fleet.wait_ready().await?;
        self.load.set_instances(self.fleet.ready_instances());
        Ok(())
    }

    /// Checks that a graceful shutdown cut off no request.
    ///
    /// A request that a target or another fault cut off ends in a problem document, whereas a
    /// connection that closes without one was cut off by the instance itself.
    fn check_not_cut(&mut self, id: &str) {
        for one in self.load.attempts().iter().filter(|one| one.instance == id) {
            let cut = match &one.record.verdict {
                Verdict::Disconnected { sent, .. } => *sent,
                Verdict::Refused(refusal) => {
                    refusal.outcome != Outcome::NotRun && &*refusal.reason == "shutdown"
                }
                Verdict::Answered(_) | Verdict::Violated(_) => false,
            };
            let finding = || {
                let id_of_request = &one.record.plan.request_id;
                format!("{id}: {id_of_request}: {}", describe(&one.record.verdict))
            };
            self.evidence
                .check(Promise::GracefulShutdown, !cut, finding);
        }
    }
}
