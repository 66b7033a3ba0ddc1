//! Decision logic without I/O: permits, adapter slots, loads and power.
//!
//! Every part is a state machine that takes an event and the current time and returns actions.
//! Sockets and timers belong to the daemon. The policy bench runs the same code in virtual time.
//! See `docs/ARCHITECTURE.md` and `docs/design/`.

mod admission;
mod allocator;
mod bugs;
mod decay;
mod decision;
mod dispatch;
mod mechanisms;
mod owner;
mod permit;
mod placer_pace;
mod quarantine;
mod quota;
mod rank;
mod rate_limit;
mod residency;
mod retry;
mod retry_budget;
mod returns;
mod scheduler;
mod service_queue;
mod speed;
mod stall;
mod streams;
mod weights;

pub use admission::{
    AdmissionConfig, BodyMemory, BodyNumber, ConnectionAdmission, ConnectionNumber,
    ConnectionRefusal, NoRoom, WaitingCallers,
};
pub use allocator::{PowerAction, PowerAllocator, PowerConfig, PowerEvent};
#[cfg(feature = "seeded-bugs")]
pub use bugs::Bug;
pub use decision::{Decision, DecisionKind, WaitTimes};
pub use dispatch::{
    AdapterHolding, BrittleChange, CallerBounds, Choice, Continuity, Dispatch, DispatchConfig,
    EntryChange, HealthConfig, HealthSignal, HeldAdapters, KeyDigest, Lane, Leaving, LinkChange,
    LoadReport, LoadedAdapter, LoadedModel, ModelSpec, PlacementLimits, PollGuide, PollMode, Quota,
    QuotaUnit, Repeat, RequestSize, Route, RouteTable, SecondAttempt, ServiceSpec, SoftwareVersion,
    TargetFacts, TargetPath, TargetRequirements, TargetSnapshot, TargetStart, Team, Teams,
    TeamsError, WaitReason, Weights, long_prompt_targets,
};
pub use mechanisms::Mechanisms;
pub use owner::{
    AdapterReport, AdapterState, AdapterView, EngineOrder, EngineReport, LoadUrgency, OrderFailure,
    OrderId, OrderKind, Owner, OwnerAction, OwnerConfig, OwnerEvent, OwnerView,
};
pub use permit::{
    CompactAnswer, CompactRequest, MismatchedAnswer, Permit, PermitAnswer, PermitRequest,
    RefusalReason, ReleaseOutcome, ReleasedPermit, RequestChecksum,
};
pub use placer_pace::{PlacerPace, PlacerPaceChange, PlacerUse};
pub use quarantine::{
    Crash, CrashRecord, CrashedRun, FRESH_ANSWER_AGE, Fingerprint, PartId, Quarantine,
    QuarantineConfig, RunCheck, RunFinding, RunVerdict, SETTLE_TIME, SettlingAnswers,
    SettlingNumber, StoredCrashes, Suspect,
};
pub use quota::{
    ChargeNumber, ChargeResult, DeputyLedger, QuotaLedger, QuotaShares, QuotaTolerance,
};
pub use rank::{TargetTable, rank_targets};
pub use rate_limit::{
    LimitChange, LimitReport, RateLimits, RequestRate, SendPermit, SendSchedules, SendShares,
};
pub use residency::{
    GrantNumber, GrantProgress, LoadEstimates, Order, OrderAnswer, OrderNumber, PlacementRequest,
    PlacementResult, ResidencyAction, ResidencyConfig, ResidencyEvent, ResidencyPlanner,
    TargetReport, TargetUse,
};
pub use retry::{
    Admission, Backoff, BackoffConfig, Breaker, BreakerConfig, BreakerState, BreakerTicket,
    BreakerTransition, CallOutcome, RetryBudget, RetryBudgetConfig, TokenBucket,
};
pub use retry_budget::{
    AllowanceUsage, EarnedRetries, EarnedUsage, InstanceRetries, RetryBoundConfig, RetryGrant,
    RetryLedger, RetryPermit, RetrySource, ServiceRetries, SettledRetries,
};
pub use returns::ReturnSchedule;
pub use scheduler::{LoadScheduler, SchedulerAction, SchedulerConfig, SchedulerEvent, TurnResult};
pub use service_queue::{
    AdmissionRequest, AdmissionResult, InstanceShare, Refused, ServiceQueues, ServiceState,
    ShareRequest, ShareResult,
};
pub use speed::{PaceChange, PaceFigures, PaceQuantiles, TargetSpeed};
pub use stall::{STALL_CHECK_INTERVAL, Stall, StallDetector};
pub use streams::{
    BegunStreams, RecordOutcome, RecordSweep, RecordWrite, StreamKey, StreamOrigin, StreamOrigins,
    StreamRecorder,
};
pub use weights::PolicyWeights;
