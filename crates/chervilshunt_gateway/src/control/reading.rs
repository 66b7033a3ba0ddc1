//! Reads of the platform's objects, made directly or through another instance.
//!
//! All other instances rely on the placer's view of the platform. If a placer is cut off from the
//! platform, or its calls are rejected, each of them would poll the platform itself, in hundreds of
//! calls a second. To avoid this, the placer has an instance that reaches the platform make its
//! reads.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::{Mesh, Peer, Reply};
use chervilshunt_platform::{Exchange, PlatformError};
use slog::Logger;
use tokio::sync::watch;

use super::actor::Control;
use super::lease::MAX_RELAYS;
use crate::dialect::{Kind, StoreDialect};
use crate::peers::{PeerMessage, StoreRead};
use crate::shared::Shared;
use crate::store::{StoreAnswer, call_once};

/// Time after its requested wait in which a call may still be answered before it times out.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// Time after its requested wait in which a call is normally answered. After that another instance
/// is asked in parallel, while the placer's last report is still valid.
const NORMAL_GRACE: Duration = Duration::from_millis(200);
/// Longest wait for changes in a read through another instance. It is short because this instance's
/// own connection may have been lost meanwhile.
const MAX_RELAYED_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a read through another instance, in addition to the wait for changes.
const RELAYED_READ_TIMEOUT: Duration = Duration::from_millis(350);

/// Time by which a direct read may finish after one through another instance and still be used. A
/// direct read may have to open a connection first; if it were dropped each time, it would never
/// show that the platform can be reached again.
const MAX_DIRECT_READ_LAG: Duration = Duration::from_millis(50);

/// Makes the reads of all followers of an instance.
#[derive(Debug)]
pub(crate) struct Reader {
    dialect: StoreDialect,
    exchange: Arc<Exchange>,
    mesh: Mesh<PeerMessage>,
    /// The instances that can make reads for this one; empty unless this instance is the placer.
    relays: watch::Receiver<Vec<Peer>>,
    /// Whether the last read was not answered in the normal time.
    is_delayed: watch::Sender<bool>,
    log: Logger,
}

impl Reader {
    /// Creates a reader that may use the instances in `relays`.
    pub(crate) fn new(
        shared: &Shared,
        exchange: Arc<Exchange>,
        relays: watch::Receiver<Vec<Peer>>,
    ) -> Self {
        Self {
            dialect: shared.dialect.store.clone(),
            exchange,
            mesh: shared.mesh.clone(),
            relays,
            is_delayed: watch::Sender::new(false),
            log: shared.log.clone(),
        }
    }

    /// Makes a read.
    pub(crate) async fn read(&self, read: &StoreRead) -> Result<StoreAnswer, PlatformError> {
        let relays = self.relays.borrow().clone();
        let own = self.read_directly(read);
        if relays.is_empty() {
            return own.await;
        }
        let mut own = std::pin::pin!(own);
        let failed = tokio::select! {
            result = &mut own => match result {
                Err(error) if may_succeed_elsewhere(&error) => error,
                result => return result,
            },
            () = self.is_overdue(read) => {
                return self.read_hedged(own, &relays, read).await;
            }
        };
        self.set_delayed(true);
        self.read_relayed(&relays, read).await.ok_or(failed)
    }

    /// Makes a read through another instance while the overdue direct read continues.
    ///
    /// The direct read is not cancelled, so that it shows when this instance reaches the platform
    /// again.
    async fn read_hedged(
        &self,
        mut own: impl Future<Output = Result<StoreAnswer, PlatformError>> + Unpin,
        relays: &[Peer],
        read: &StoreRead,
    ) -> Result<StoreAnswer, PlatformError> {
        self.set_delayed(true);
        let mut through = std::pin::pin!(self.read_relayed(relays, read));
        tokio::select! {
            result = &mut own => match result {
                Err(error) if may_succeed_elsewhere(&error) => through.await.ok_or(error),
                result => result,
            },
            body = &mut through => {
                let Some(body) = body else {
                    return own.await;
                };
                match tokio::time::timeout(MAX_DIRECT_READ_LAG, own).await {
                    Ok(Ok(body)) => Ok(body),
                    Ok(Err(_)) | Err(_) => Ok(body),
                }
            }
        }
    }

    async fn read_directly(&self, read: &StoreRead) -> Result<StoreAnswer, PlatformError> {
        let result = exchange_read(&self.exchange, &self.dialect, read, ANSWER_GRACE).await;
        if result.is_ok() {
            self.set_delayed(false);
        }
        result
    }

    /// Waits until a read has had the normal time for its answer, or a read of another kind has
    /// shown that answers may not arrive at all.
    async fn is_overdue(&self, read: &StoreRead) {
        let usual = tokio::time::sleep(read.wait() + NORMAL_GRACE);
        let mut is_delayed = self.is_delayed.subscribe();
        tokio::select! {
            () = usual => {}
            _ = is_delayed.wait_for(|is_delayed| *is_delayed) => {}
        }
    }

    async fn read_relayed(&self, relays: &[Peer], read: &StoreRead) -> Option<StoreAnswer> {
        let read = read.with_max_wait(MAX_RELAYED_WAIT);
        for peer in relays {
            let message = PeerMessage::RelayRead(read.clone());
            let answer = self
                .mesh
                .request(peer, message, read.wait() + RELAYED_READ_TIMEOUT)
                .await;
            match answer {
                Ok(PeerMessage::ReadResult(body, era)) => {
                    let body = body.into();
                    return Some(StoreAnswer { era, body });
                }
                Ok(_) => {}
                Err(error) => slog::info!(self.log, "read through another instance failed";
                    "peer" => peer.instance.as_str(), "kind" => read.kind().as_str(),
                    "reason" => error.to_string()),
            }
        }
        None
    }

    /// Records whether direct reads are answered, and logs a change.
    fn set_delayed(&self, is_delayed: bool) {
        let changed = self
            .is_delayed
            .send_if_modified(|known| std::mem::replace(known, is_delayed) != is_delayed);
        if changed {
            slog::info!(self.log, "direct reads of the platform"; "answered" => !is_delayed);
        }
    }
}

impl Control {
    /// Returns a receiver of the instances that may make reads for this one.
    pub(crate) fn relays(&self) -> watch::Receiver<Vec<Peer>> {
        self.relays.subscribe()
    }

    /// Chooses the instances that may make reads for this one while it is the placer.
    pub(super) fn choose_relays(&self) {
        let placer = self.placer.as_ref();
        let relays = placer.map(|it| it.presence.with_platform_access(MAX_RELAYS));
        self.relays.send_replace(relays.unwrap_or_default());
    }

    /// Makes a read on behalf of the placer.
    pub(super) fn read_for_placer(&self, read: StoreRead, reply: Option<Reply<PeerMessage>>) {
        let Some(reply) = reply else {
            return;
        };
        let exchange = Arc::clone(&self.exchange);
        let dialect = self.shared.dialect.store.clone();
        let log = self.shared.log.clone();
        tokio::spawn(async move {
            let answer = match exchange_read(&exchange, &dialect, &read, NORMAL_GRACE).await {
                Ok(answer) => answer,
                // Dropping the reply tells the placer that there is no answer.
                Err(error) => {
                    slog::info!(log, "read for the placer failed";
                        "kind" => read.kind().as_str(), "reason" => error.to_string());
                    return;
                }
            };
            // API keys stay within the instance that read them.
            let body = match read.kind() {
                Kind::Configuration => (dialect.without_keys)(&answer.body),
                Kind::Targets | Kind::Versions | Kind::Crashes | Kind::Lease => Ok(answer.body),
            };
            let body = match body {
                Ok(body) => String::from_utf8_lossy(&body).into_owned(),
                Err(malformed) => {
                    slog::warn!(log, "read for the placer can't be decoded";
                        "kind" => read.kind().as_str(), "problem" => malformed.to_string());
                    return;
                }
            };
            if let Err(error) = reply.send(PeerMessage::ReadResult(body, answer.era)) {
                slog::debug!(log, "requester is gone"; "reason" => error.to_string());
            }
        });
    }
}

async fn exchange_read(
    exchange: &Exchange,
    dialect: &StoreDialect,
    read: &StoreRead,
    grace: Duration,
) -> Result<StoreAnswer, PlatformError> {
    let call = match read {
        StoreRead::List(kind, after, freshness) => {
            (dialect.list)(*kind, after.as_deref(), *freshness)
        }
        StoreRead::Watch(kind, from, wait) => (dialect.watch)(*kind, *from, *wait),
    };
    call_once(exchange, dialect, &call, read.wait() + grace).await
}

/// Returns whether another instance may get an answer although this one got none.
const fn may_succeed_elsewhere(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Unavailable { .. }
            | PlatformError::Timeout { .. }
            | PlatformError::RateLimited { .. }
    )
}
