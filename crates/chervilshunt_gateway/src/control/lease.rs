//! The placer's lease at the platform, and who holds it.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_coord::{SoleRecord, SoleWritten};
use chervilshunt_mesh::Peer;
use chervilshunt_model::Moment;
use chervilshunt_platform::{PlatformError, Timeouts};

use super::actor::Control;
use super::messages::LeaseAnswer;

/// The time for one call about the lease. A renewal that takes longer has no worth: its time counts
/// from before it was sent.
const LEASE_CALL: Duration = Duration::from_millis(1_500);

/// How long it takes from when the lease can be taken until the new placer answers: instances
/// spread their writes over 400 ms, and the new placer asks each target what it holds.
const TAKING: Duration = Duration::from_millis(700);

impl Control {
    /// Writes the record if the object still has a version, or creates it.
    pub(super) fn write_lease(&self, record: &SoleRecord, version: Option<u64>) {
        let Some(control) = self.address.clone() else {
            return;
        };
        let call = (self.shared.dialect.store.write_lease)(record, version);
        let read = self.shared.dialect.store.read_seen_lease;
        let exchange = Arc::clone(&self.exchange);
        let log = self.shared.log.clone();
        let timeouts = self.lease_timeouts();
        tokio::spawn(async move {
            let written = match exchange.call(&call, timeouts).await {
                Ok(body) => match read(&body) {
                    Ok(seen) => SoleWritten::Done(seen.version),
                    Err(malformed) => {
                        slog::warn!(log, "lease can't be read"; "problem" => malformed.to_string());
                        SoleWritten::Unknown
                    }
                },
                Err(error) => {
                    slog::info!(log, "lease not written"; "reason" => error.to_string());
                    failed_write(&error)
                }
            };
            drop(control.send(LeaseAnswer::Written(written)).await);
        });
    }

    /// Reads the record, linearizably.
    pub(super) fn read_lease(&self) {
        let Some(control) = self.address.clone() else {
            return;
        };
        let call = (self.shared.dialect.store.read_lease)();
        let read = self.shared.dialect.store.read_seen_lease;
        let exchange = Arc::clone(&self.exchange);
        let log = self.shared.log.clone();
        let timeouts = self.lease_timeouts();
        tokio::spawn(async move {
            let answer = match exchange.call(&call, timeouts).await {
                Ok(body) => match read(&body) {
                    Ok(seen) => LeaseAnswer::Read(Some(seen)),
                    Err(malformed) => {
                        slog::warn!(log, "lease can't be read"; "problem" => malformed.to_string());
                        LeaseAnswer::ReadFailed
                    }
                },
                Err(PlatformError::NotFound { .. }) => LeaseAnswer::Read(None),
                Err(error) => {
                    slog::info!(log, "lease not read"; "reason" => error.to_string());
                    LeaseAnswer::ReadFailed
                }
            };
            drop(control.send(answer).await);
        });
    }

    fn lease_timeouts(&self) -> Timeouts {
        Timeouts {
            attempt: LEASE_CALL,
            call: LEASE_CALL,
            max_attempts: 1,
            ..self.exchange.config().timeouts
        }
    }

    /// Lets traffic know when there will be a placer again, if there is none.
    pub(super) fn note_placer(&self, now: Moment) {
        let there = self.placer.is_some() || self.shared.dispatch().is_placer_heard(now);
        let back = (!there).then(|| self.keeper.taken_at() + TAKING);
        self.shared.set_placer_back(back);
    }

    /// Lets traffic know whom to ask for placements.
    pub(super) fn note_holder(&self) {
        let holder = self.keeper.holder().map(|(instance, address)| Peer {
            instance: instance.clone(),
            address,
        });
        let known = self.shared.placer.load_full();
        if known.as_deref() == holder.as_ref() {
            return;
        }
        slog::info!(self.shared.log, "placer";
            "holder" => holder.as_ref().map(|it| it.instance.as_str().to_owned()));
        self.shared.placer.store(holder.map(Arc::new));
    }
}

fn failed_write(error: &PlatformError) -> SoleWritten {
    match error {
        PlatformError::Conflict { .. }
        | PlatformError::AlreadyExists { .. }
        | PlatformError::NotFound { .. } => SoleWritten::Conflict,
        PlatformError::Unavailable { .. }
        | PlatformError::RateLimited { .. }
        | PlatformError::Denied { .. }
        | PlatformError::Invalid { .. } => SoleWritten::Failed,
        _ => SoleWritten::Unknown,
    }
}
