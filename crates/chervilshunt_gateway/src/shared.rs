//! State that control and traffic threads share.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chervilshunt_core::{
    AdmissionConfig, ConnectionAdmission, Dispatch, InstanceShare, PlacerPace, Quarantine,
    QuarantineConfig, QuotaShares, RouteTable, ServiceRetries, SettlingAnswers, StallDetector,
};
use chervilshunt_engine::EngineClients;
use chervilshunt_mesh::{Mesh, Peer};
use chervilshunt_model::{Clock, Moment};
use chervilshunt_start::{BodyIntake, memory_limit};
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::crashes::CrashObservationSender;
use crate::dialect::Dialect;
use crate::front::WaitingConnections;
use crate::grants::GrantTracker;
use crate::peers::PeerMessage;
use crate::run_check::OpenQuestions;
use crate::settings::Settings;
use crate::streams::{RecordReader, StreamKeepers, StreamMemory};
use crate::transit::{IssuedTickets, TransitRoutes};

/// Time for which readiness waits for a first placer. Instances spread their writes over 0.4 s,
/// those on small machines leave the lease to others for up to 1 s more, and targets are queried
/// after 0.45 s.
const FIRST_PLACER_WAIT: Duration = Duration::from_secs(2);
/// The same if the lease is or was held. A placer that is alive answers the first report, and
/// replacing one that is not takes longer than an instance should be out of rotation.
const KNOWN_PLACER_WAIT: Duration = Duration::from_millis(900);
/// Time since the placer's last message after which it may be gone: it has missed two of its reports.
const PLACER_SILENCE: Duration = Duration::from_millis(850);
/// Number of instances assumed to share the targets until the placer reports how many there are.
const DEFAULT_INSTANCES: usize = 16;
/// Value of `instances` until then.
const UNKNOWN_INSTANCES: usize = 0;

/// Returns the number of descriptors that the system lets this process open, if it is limited.
fn descriptor_limit() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|it| usize::try_from(it).ok())
}

/// State that control and traffic threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// The file from which the settings were read.
    pub(crate) settings_file: PathBuf,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) mesh: Mesh<PeerMessage>,
    pub(crate) engines: EngineClients,
    /// The bodies of callers' and other instances' requests.
    pub(crate) bodies: Arc<BodyIntake>,
    pub(crate) grants: GrantTracker,
    pub(crate) crash_observations: CrashObservationSender,
    /// The current configuration; empty until one has been read.
    pub(crate) routes: ArcSwapOption<RouteTable>,
    /// The placer, if it is known.
    pub(crate) placer: ArcSwapOption<Peer>,
    /// When the placer became known, in microseconds of the clock.
    placer_named_at: AtomicU64,
    /// Whether the connection to the placer was lost and it has not been heard since.
    placer_lost: AtomicBool,
    placer_pace: Mutex<PlacerPace>,
    /// Notifies requests that wait for the placer that it counts as slow now.
    pub(crate) placer_slowed: watch::Sender<()>,
    /// The instance that keeps the account of teams' quotas while there is no placer.
    pub(crate) deputy: ArcSwapOption<Peer>,
    /// Where streams began, as far as this instance knows.
    pub(crate) streams: StreamMemory,
    /// Reads where streams began from the platform.
    pub(crate) record_reader: RecordReader,
    /// The instances that know where streams of others began.
    pub(crate) stream_keepers: StreamKeepers,
    /// The instances that pass on this one's requests.
    pub(crate) transit_routes: TransitRoutes,
    /// The tickets of instances whose requests this one passes on.
    pub(crate) issued_tickets: IssuedTickets,
    /// The number of requests that this instance is passing on.
    pub(crate) passed_requests: AtomicUsize,
    /// The questions to targets whose connections have ended.
    pub(crate) open_questions: OpenQuestions,
    /// Notifies of a change of whether this instance reaches the targets of a service.
    pub(crate) links_changed: watch::Sender<()>,
    /// Notifies requests in flight that a new version of some weights has been announced.
    pub(crate) version_announced: watch::Sender<()>,
    dispatch: Mutex<Dispatch>,
    retries: Mutex<ServiceRetries>,
    stalls: Mutex<StallDetector>,
    quarantine: Mutex<Quarantine>,
    settling: Mutex<SettlingAnswers>,
    admission: Mutex<ConnectionAdmission>,
    waiting_connections: Mutex<WaitingConnections>,
    quota_shares: Mutex<QuotaShares>,
    instance_share: Mutex<InstanceShare>,
    /// Whether the placer decides on the admission to plain services, as it has reported.
    placer_admits: AtomicBool,
    /// Whether the placer grants retries, as it has reported.
    placer_grants_retries: AtomicBool,
    /// The number of the placer's ledger of retries; zero while it is unknown.
    retry_ledger: AtomicU64,
    instances: AtomicUsize,
    /// When there will be a placer again, in microseconds of the clock; zero while there is one.
    placer_return: AtomicU64,
    /// Up to when the configuration is confirmed, in microseconds of the clock; zero until then.
    configuration_confirmed: AtomicU64,
    /// When the targets were first listed, in microseconds of the clock; zero until then.
    targets_known_at: AtomicU64,
    /// Whether a placer has reported that it knows what targets hold, or the platform can't be
    /// asked for one.
    placer_decided: AtomicBool,
    /// Whether the lease is known to be held or to have been held.
    lease_was_held: AtomicBool,
    /// Whether the instance has been ready before.
    was_ready: AtomicBool,
    stopping: AtomicBool,
    /// Closes connections, each after its current request, if any, has been answered. Requests that are read later
    /// are refused.
    pub(crate) close_connections: CancellationToken,
    /// Refuses requests that still wait to be sent to a target: an answer would not end before the process.
    pub(crate) stop_sending: CancellationToken,
    open_requests: AtomicUsize,
    /// The number of answers that have ended and are not written to their connections yet.
    pub(crate) unwritten_answers: AtomicUsize,
}

/// An open request of a caller, from its head to the last byte of its answer.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<Shared>);

impl OpenRequest {
    /// Counts a request as open.
    pub(crate) fn begin(shared: &Arc<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Creates the shared state.
    pub(crate) fn new(
        settings: Settings,
        settings_file: PathBuf,
        dialect: Dialect,
        log: Logger,
        mesh: Mesh<PeerMessage>,
        crash_observations: CrashObservationSender,
        record_reader: RecordReader,
    ) -> Arc<Self> {
        let dispatch = Dispatch::new(
            chervilshunt_core::DispatchConfig::default(),
            settings.instance.zone.clone(),
        );
        let retries = ServiceRetries::new(settings.bounds.retries);
        let clock = Clock::boot();
        let stalls = StallDetector::new(clock.now());
        let descriptors = settings.instance.max_descriptors.or_else(descriptor_limit);
        let admission = descriptors.map_or_else(AdmissionConfig::default, |it| {
            AdmissionConfig::for_descriptors(it)
        });
        let admission = ConnectionAdmission::new(admission);
        let memory = settings.instance.max_memory.or_else(memory_limit);
        let bodies = BodyIntake::new(clock, memory);
        let quota_shares = QuotaShares::new(settings.bounds.quota_tolerance, clock.now());
        let engines = EngineClients::new(dialect.headers.id_header());
        Arc::new(Self {
            settings,
            settings_file,
            dialect,
            clock,
            log,
            mesh,
            engines,
            bodies,
            grants: GrantTracker::default(),
            crash_observations,
            routes: ArcSwapOption::empty(),
            placer: ArcSwapOption::empty(),
            placer_named_at: AtomicU64::new(0),
            placer_lost: AtomicBool::new(false),
            placer_pace: Mutex::default(),
            placer_slowed: watch::Sender::default(),
            deputy: ArcSwapOption::empty(),
            streams: StreamMemory::default(),
            record_reader,
            stream_keepers: StreamKeepers::default(),
            transit_routes: TransitRoutes::default(),
            issued_tickets: IssuedTickets::default(),
            passed_requests: AtomicUsize::new(0),
            links_changed: watch::Sender::default(),
            version_announced: watch::Sender::default(),
            dispatch: Mutex::new(dispatch),
            retries: Mutex::new(retries),
            stalls: Mutex::new(stalls),
            quarantine: Mutex::new(Quarantine::new(QuarantineConfig::default())),
            settling: Mutex::default(),
            admission: Mutex::new(admission),
            waiting_connections: Mutex::default(),
            quota_shares: Mutex::new(quota_shares),
            instance_share: Mutex::default(),
            placer_admits: AtomicBool::new(false),
            placer_grants_retries: AtomicBool::new(false),
            retry_ledger: AtomicU64::new(0),
            instances: AtomicUsize::new(UNKNOWN_INSTANCES),
            placer_return: AtomicU64::new(0),
            configuration_confirmed: AtomicU64::new(0),
            targets_known_at: AtomicU64::new(0),
            placer_decided: AtomicBool::new(false),
            lease_was_held: AtomicBool::new(false),
            was_ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            open_questions: OpenQuestions::default(),
            close_connections: CancellationToken::new(),
            stop_sending: CancellationToken::new(),
            open_requests: AtomicUsize::new(0),
            unwritten_answers: AtomicUsize::new(0),
        })
    }

    /// Locks what is known of the targets.
    pub(crate) fn dispatch(&self) -> MutexGuard<'_, Dispatch> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks this instance's retries.
    pub(crate) fn retries(&self) -> MutexGuard<'_, ServiceRetries> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of times in which this process stood still.
    pub(crate) fn stalls(&self) -> MutexGuard<'_, StallDetector> {
        self.stalls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of requests that crash targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the answers that have begun lately.
    pub(crate) fn settling(&self) -> MutexGuard<'_, SettlingAnswers> {
        self.settling.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the account of callers' connections.
    pub(crate) fn admission(&self) -> MutexGuard<'_, ConnectionAdmission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the callers' connections that have not sent a whole request yet.
    pub(crate) fn waiting_connections(&self) -> MutexGuard<'_, WaitingConnections> {
        self.waiting_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance is the placer, as far as it knows.
    pub(crate) fn is_placer(&self) -> bool {
        let placer = self.placer.load();
        placer
            .as_ref()
            .is_some_and(|it| it.instance == self.settings.instance.id)
    }

    /// Locks this instance's shares of teams' quotas.
    pub(crate) fn quota_shares(&self) -> MutexGuard<'_, QuotaShares> {
        self.quota_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks this instance's shares of the capacity of plain services.
    pub(crate) fn instance_share(&self) -> MutexGuard<'_, InstanceShare> {
        self.instance_share
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the placer decides on the admission to plain services.
    pub(crate) fn placer_admits(&self) -> bool {
        self.placer_admits.load(Ordering::Relaxed)
    }

    /// Sets whether the placer decides on the admission to plain services.
    pub(crate) fn set_placer_admits(&self, admits: bool) {
        self.placer_admits.store(admits, Ordering::Relaxed);
    }

    /// Returns whether the placer grants retries.
    pub(crate) fn placer_grants_retries(&self) -> bool {
        self.placer_grants_retries.load(Ordering::Relaxed)
    }

    /// Sets whether the placer grants retries.
    pub(crate) fn set_placer_grants_retries(&self, grants: bool) {
        self.placer_grants_retries.store(grants, Ordering::Relaxed);
    }

    /// Returns the number of the placer's ledger of retries; zero while it is unknown.
    pub(crate) fn retry_ledger(&self) -> u64 {
        self.retry_ledger.load(Ordering::SeqCst)
    }

    /// Sets the number of the placer's ledger of retries.
    pub(crate) fn set_retry_ledger(&self, number: Option<u64>) {
        self.retry_ledger
            .store(number.unwrap_or(0), Ordering::SeqCst);
    }

    /// Returns whether the placer may be gone: its connection was lost, or it was not heard for long
    /// although it has been known for long.
    pub(crate) fn is_placer_silent(&self, now: Moment) -> bool {
        if self.placer_lost.load(Ordering::Relaxed) {
            return true;
        }
        let named_at = self.placer_named_at.load(Ordering::Relaxed);
        let was_just_named = now.since(Moment::from_micros(named_at)) < PLACER_SILENCE;
        !was_just_named && !self.dispatch().placer_responded_within(PLACER_SILENCE, now)
    }

    /// Records that the connection to the placer was lost.
    pub(crate) fn set_placer_lost(&self) {
        self.placer_lost.store(true, Ordering::Relaxed);
        self.set_recorded_by_placer(false);
    }

    /// Records that the placer was heard.
    pub(crate) fn set_placer_heard(&self) {
        self.placer_lost.store(false, Ordering::Relaxed);
    }

    /// Locks the measured pace of the placer.
    pub(crate) fn placer_pace(&self) -> MutexGuard<'_, PlacerPace> {
        self.placer_pace
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the placer.
    pub(crate) fn set_placer(&self, placer: Option<Peer>, now: Moment) {
        self.placer_pace().reset();
        // The new placer may be of an earlier version.
        self.set_placer_grants_retries(false);
        self.set_retry_ledger(None);
        self.set_recorded_by_placer(false);
        if let Some(placer) = &placer {
            self.stream_keepers.add(placer);
        }
        self.placer.store(placer.map(Arc::new));
        self.placer_named_at
            .store(now.as_micros(), Ordering::Relaxed);
        self.placer_lost.store(false, Ordering::Relaxed);
    }

    /// Returns the instance that keeps the account of teams' quotas.
    pub(crate) fn account_keeper(&self, now: Moment) -> Option<Arc<Peer>> {
        let placer = self.placer.load_full();
        placer
            .filter(|_| !self.is_placer_silent(now))
            .or_else(|| self.deputy.load_full())
    }

    /// Returns how many instances there are, if the placer has reported it.
    pub(crate) fn known_instances(&self) -> Option<usize> {
        let known = self.instances.load(Ordering::Relaxed);
        (known != UNKNOWN_INSTANCES).then_some(known)
    }

    /// Returns how many instances there are, or how many are assumed.
    pub(crate) fn instances(&self) -> usize {
        self.known_instances().unwrap_or(DEFAULT_INSTANCES)
    }

    /// Sets the number of instances, which is at least 1.
    pub(crate) fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
        self.dispatch().set_instances(instances.max(1));
    }

    /// Returns when there will be a placer again; `None` while there is one.
    pub(crate) fn placer_return(&self) -> Option<Moment> {
        let micros = self.placer_return.load(Ordering::Relaxed);
        (micros > 0).then(|| Moment::from_micros(micros))
    }

    /// Sets when there will be a placer again.
    pub(crate) fn set_placer_return(&self, at: Option<Moment>) {
        let micros = at.map_or(0, Moment::as_micros);
        self.placer_return.store(micros, Ordering::Relaxed);
    }

    /// Records up to when the configuration is certain to have been the newest.
    pub(crate) fn set_configuration_confirmed(&self, as_of: Moment) {
        self.configuration_confirmed
            .store(as_of.as_micros(), Ordering::Relaxed);
    }

    /// Returns whether keys may have been taken away longer ago than the settings allow.
    pub(crate) fn are_keys_outdated(&self, now: Moment) -> bool {
        let confirmed = self.configuration_confirmed.load(Ordering::Relaxed);
        let age = now.since(Moment::from_micros(confirmed));
        let max_age = self.settings.bounds.max_key_age;
        max_age.is_some_and(|max_age| age > max_age)
    }

    /// Returns how many callers' requests are open.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Records that the targets have been listed; the first time is logged.
    pub(crate) fn set_targets_known(&self, count: usize) {
        let now = self.clock.now().as_micros().max(1);
        let first =
            self.targets_known_at
                .compare_exchange(0, now, Ordering::AcqRel, Ordering::Relaxed);
        if first.is_ok() {
            slog::info!(self.log, "targets listed"; "count" => count);
        }
    }

    /// Returns whether the targets have been listed.
    pub(crate) fn are_targets_known(&self) -> bool {
        self.targets_known_at.load(Ordering::Acquire) > 0
    }

    /// Records that a placer has reported that it knows what targets hold, or that none can be
    /// expected soon.
    pub(crate) fn set_placer_decided(&self) {
        self.placer_decided.store(true, Ordering::Release);
    }

    /// Records that the lease is or was held.
    pub(crate) fn set_lease_was_held(&self) {
        self.lease_was_held.store(true, Ordering::Release);
    }

    /// Starts the shutdown.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the instance is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether callers should be sent here.
    ///
    /// A new deployment has no placer until the first lease has been written and the targets have
    /// been queried, and until then every request for an adapter that no target holds is refused.
    /// So an instance waits for a placer for a short time, but not if the platform can't be asked
    /// for one.
    pub(crate) fn is_ready(&self) -> bool {
        let known_at = self.targets_known_at.load(Ordering::Acquire);
        let targets_known = known_at > 0;
        let known_for = self.clock.now().since(Moment::from_micros(known_at));
        let decided = self.placer_decided.load(Ordering::Acquire);
        let longest_wait = if self.lease_was_held.load(Ordering::Acquire) {
            KNOWN_PLACER_WAIT
        } else {
            FIRST_PLACER_WAIT
        };
        let ready = self.routes.load().is_some()
            && targets_known
            && (decided || known_for >= longest_wait)
            && self.admission().is_ready(self.clock.now())
            && !self.is_stopping();
        if ready && !self.was_ready.swap(true, Ordering::AcqRel) {
            slog::info!(self.log, "ready"; "placer_decided" => decided,
                "targets_known_for_ms" => known_for.as_millis() as u64);
        }
        ready
    }
}
