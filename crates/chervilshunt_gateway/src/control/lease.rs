//! Calls about the placer's lease at the platform, and the record of its holder.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_coord::{ExclusiveLeaseRecord, LeaseWriteOutcome};
use chervilshunt_mesh::{Mesh, Peer, Reply};
use chervilshunt_model::{Moment, StoreRevision};
use chervilshunt_platform::{Exchange, PlatformError};
use slog::Logger;

use super::actor::Control;
use crate::dialect::{Malformed, StoreDialect};
use crate::peers::{LeaseAnswer, LeaseCall, PeerMessage};
use crate::store::call_once;

/// Timeout of a call about the lease. A slower renewal is useless, because the lease's validity
/// counts from before the call was sent.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a call that another instance can repeat. The platform answers within milliseconds, or
/// 0.2 s while it is slow. A renewal is valid for 4.3 s, and 0.9 s of that have passed when the
/// next one is sent.
const DIRECT_LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call that another instance makes for this one.
const RELAYED_LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum number of instances that are asked, one after another, to make a call. The second one
/// covers an instance that has just lost the platform too; the renewal is still in time with it.
pub(super) const MAX_RELAYS: usize = 2;
/// Time from when the lease can be taken until the new placer answers: instances spread their
/// writes over 400 ms, and the new placer asks each target what it holds.
const TAKEOVER_TIME: Duration = Duration::from_millis(700);

/// What a call about the lease needs, independent of the actor.
#[derive(Clone)]
struct LeaseClient {
    exchange: Arc<Exchange>,
    dialect: StoreDialect,
    log: Logger,
}

impl Control {
    /// Makes a call about the lease.
    ///
    /// A placer that can't reach the platform, or whose calls it rejects, has another instance make
    /// the call. Without this there would be no placer for the 6 s until the lease can be taken,
    /// although this one still reaches all targets and instances.
    pub(super) fn call_lease(&self, call: LeaseCall) {
        let Some(control) = self.address.clone() else {
            return;
        };
        let client = self.lease_client();
        let placer = self.placer.as_ref();
        let relays = placer.map(|it| it.presence.with_platform_access(MAX_RELAYS));
        let relays = relays.unwrap_or_default();
        let mesh = self.shared.mesh.clone();
        tokio::spawn(async move {
            let within = if relays.is_empty() {
                LEASE_CALL_TIMEOUT
            } else {
                DIRECT_LEASE_CALL_TIMEOUT
            };
            let mut answer = client.call(&call, within).await;
            for peer in &relays {
                if !answer.is_failure() {
                    break;
                }
                answer = relay(&mesh, peer, &call).await;
                slog::info!(client.log, "lease call relayed";
                    "peer" => peer.instance.as_str(), "failed" => answer.is_failure());
            }
            drop(control.send(answer).await);
        });
    }

    /// Makes a call about the lease on behalf of the placer.
    pub(super) fn call_lease_for_placer(&self, call: LeaseCall, reply: Option<Reply<PeerMessage>>) {
        let Some(reply) = reply else {
            return;
        };
        let client = self.lease_client();
        tokio::spawn(async move {
            let answer = client.call(&call, DIRECT_LEASE_CALL_TIMEOUT).await;
            if let Err(error) = reply.send(PeerMessage::LeaseCallResult(answer)) {
                slog::debug!(client.log, "requester is gone"; "reason" => error.to_string());
            }
        });
    }

    fn lease_client(&self) -> LeaseClient {
        LeaseClient {
            exchange: Arc::clone(&self.exchange),
            dialect: self.shared.dialect.store.clone(),
            log: self.shared.log.clone(),
        }
    }

    /// Publishes to traffic when there will be a placer again, if there is none.
    pub(super) fn publish_placer_return(&self, now: Moment) {
        let has_placer = self.placer.is_some() || self.shared.dispatch().is_placer_reachable(now);
        let back = (!has_placer).then(|| self.keeper.earliest_takeover() + TAKEOVER_TIME);
        self.shared.set_placer_return(back);
    }

    /// Publishes the number of instances that the lease record has kept, if no placer has reported
    /// one.
    pub(super) fn publish_recorded_instances(&self) {
        let recorded = self.keeper.instances();
        if recorded > 0 && self.shared.known_instances().is_none() {
            self.shared.set_instances(recorded as usize);
        }
    }

    /// Publishes to traffic which instance to ask for placements.
    pub(super) fn publish_holder(&self) {
        let holder = self.keeper.holder().map(|(instance, address)| Peer {
            instance: instance.clone(),
            address,
        });
        if holder.is_some() {
            self.shared.set_lease_was_held();
        }
        let known = self.shared.placer.load_full();
        if known.as_deref() == holder.as_ref() {
            return;
        }
        slog::info!(self.shared.log, "placer changed";
            "holder" => holder.as_ref().map(|it| it.instance.as_str().to_owned()));
        if let Some(placer) = &holder {
            self.shared.tell_new_placer(placer);
        }
        self.shared.set_placer(holder, self.now());
    }
}

/// Has another instance make a call.
async fn relay(mesh: &Mesh<PeerMessage>, peer: &Peer, call: &LeaseCall) -> LeaseAnswer {
    let message = PeerMessage::RelayLeaseCall(call.clone());
    match mesh
        .request(peer, message, RELAYED_LEASE_CALL_TIMEOUT)
        .await
    {
        Ok(PeerMessage::LeaseCallResult(answer)) => answer,
        // The peer may have made the call nevertheless.
        Ok(_) | Err(_) => call.without_answer(),
    }
}

impl LeaseCall {
    /// Returns the result of a call that nobody answered: a write may have been carried out.
    const fn without_answer(&self) -> LeaseAnswer {
        match self {
            Self::Write(..) => LeaseAnswer::Written(LeaseWriteOutcome::Unknown),
            Self::Read => LeaseAnswer::ReadFailed,
        }
    }
}

impl LeaseClient {
    async fn call(&self, call: &LeaseCall, within: Duration) -> LeaseAnswer {
        match call {
            LeaseCall::Write(record, version) => {
                LeaseAnswer::Written(self.write(record, *version, within).await)
            }
            LeaseCall::Read => self.read(within).await,
        }
    }

    async fn write(
        &self,
        record: &ExclusiveLeaseRecord,
        version: Option<StoreRevision>,
        within: Duration,
    ) -> LeaseWriteOutcome {
        let call = (self.dialect.write_lease)(record, version);
        match call_once(&self.exchange, &self.dialect, &call, within).await {
            Ok(answer) => match (self.dialect.decode_lease)(answer.era, &answer.body) {
                Ok(seen) => LeaseWriteOutcome::Done(seen.version),
                Err(malformed) => {
                    self.report_malformed(&malformed);
                    LeaseWriteOutcome::Unknown
                }
            },
            Err(error) => {
                slog::info!(self.log, "lease not written"; "reason" => error.to_string());
                failed_write(&error)
            }
        }
    }

    async fn read(&self, within: Duration) -> LeaseAnswer {
        let call = (self.dialect.read_lease)();
        match call_once(&self.exchange, &self.dialect, &call, within).await {
            Ok(answer) => match (self.dialect.decode_lease)(answer.era, &answer.body) {
                Ok(seen) => LeaseAnswer::Read(Some(seen)),
                Err(malformed) => {
                    self.report_malformed(&malformed);
                    LeaseAnswer::ReadFailed
                }
            },
            Err(PlatformError::NotFound { .. }) => LeaseAnswer::Read(None),
            Err(error) => {
                slog::info!(self.log, "lease not read"; "reason" => error.to_string());
                LeaseAnswer::ReadFailed
            }
        }
    }

    fn report_malformed(&self, malformed: &Malformed) {
        slog::warn!(self.log, "lease can't be decoded"; "problem" => malformed.to_string());
    }
}

fn failed_write(error: &PlatformError) -> LeaseWriteOutcome {
    match error {
        PlatformError::Conflict { .. }
        | PlatformError::AlreadyExists { .. }
        | PlatformError::NotFound { .. } => LeaseWriteOutcome::Conflict,
        PlatformError::Unavailable { .. }
        | PlatformError::RateLimited { .. }
        | PlatformError::Denied { .. }
        | PlatformError::Invalid { .. } => LeaseWriteOutcome::Failed,
        _ => LeaseWriteOutcome::Unknown,
    }
}
