//! The constants of an owner's decisions.
//!
//! The figures behind those that the policy bench determined are in `docs/design/placement.md` and
//! `docs/design/admission.md`.

use std::time::Duration;

/// Half-life of the demand that determines evictions. It is long enough to tell apart adapters that
/// are requested every few minutes, and short enough to forget yesterday's popularity within the
/// hour.
pub(super) const LONG_TERM_HALF_LIFE: Duration = Duration::from_secs(600);

/// Rate at which busy adapters become idle, per second: once in 3,600 s.
pub(super) const IDLE_TRANSITION_PER_S: f64 = 1.0 / 3_600.0;

/// Half-life of the rate of requests whose adapter was loaded, which covers some dozens of
/// requests.
pub(super) const HIT_HALF_LIFE: Duration = Duration::from_secs(30);

/// Half-life of the demand that determines an adapter's spread, which must follow a flood within
/// seconds.
pub(super) const SHORT_TERM_HALF_LIFE: Duration = Duration::from_secs(10);

/// Half-life of the live load that determines the number of reserved batch slots.
pub(super) const LIVE_LOAD_HALF_LIFE: Duration = Duration::from_secs(60);

/// Weight of a deferrable request in the demand for an adapter. Such requests can share the wait
/// for a load, so they justify keeping the adapter less than live requests do.
pub(super) const DEFERRABLE_DEMAND_WEIGHT: f64 = 0.02;

/// Maximum number of adapters whose demand is recorded; beyond it, those with little demand are
/// removed.
pub(super) const MAX_TRACKED_ADAPTERS: usize = 20_000;

/// Number of redirects after which a request is no longer redirected because of load, so that
/// owners with different views can't redirect it in circles.
pub(super) const MAX_HOPS: u8 = 4;

/// Number of redirects after which a target that can't serve a request at all no longer redirects
/// it. If half of the targets are parked, one request in 65,536 finds no open target within this
/// number.
pub(super) const MAX_CLOSED_HOPS: u8 = 16;

/// Maximum number of targets over which an adapter is spread.
pub(super) const MAX_SPREAD: usize = 8;

/// Number of failed load attempts after which live requests for an adapter are refused.
pub(super) const LIVE_LOAD_ATTEMPTS: u32 = 5;

/// Number of failed load attempts after which deferrable requests for an adapter are refused. If
/// half of all loads fail, one adapter in 65,536 reaches it.
pub(super) const DEFERRABLE_LOAD_ATTEMPTS: u32 = 16;

/// Backoff after the first failed load of an adapter; it doubles with each further failure.
pub(super) const LOAD_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between two attempts to load an adapter.
pub(super) const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(20);

/// Maximum number of turns that one owner requests at the same time. Its other loads wait at the
/// owner, so that a flood of requests for adapters that are not loaded costs the load scheduler a
/// bounded number of messages.
pub(super) const MAX_REQUESTED_TURNS: usize = 16;

/// Interval at which the urgency of a requested turn is sent again, which also makes up for a lost
/// message.
pub(super) const TURN_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a load no longer renews its turn. A load that takes this long waits for
/// something other than the weight store, which other loads may use in the meantime.
pub(super) const TURN_RENEWAL_LIMIT: Duration = Duration::from_secs(10);

/// Divisor of the number of slots that gives the maximum for deferrable work alone.
pub(super) const DEFERRABLE_SLOT_DIVISOR: usize = 16;

/// Number of ready deferrable requests from which on no further adapter is loaded for deferrable
/// work: the load would take a slot and a turn from live work only to lengthen the queue.
pub(super) const ENOUGH_READY_DEFERRABLE: usize = 4;

/// Wait after which an adapter is loaded for deferrable work regardless of
/// [`ENOUGH_READY_DEFERRABLE`].
pub(super) const DEFERRABLE_LOAD_AGE: Duration = Duration::from_secs(300);

/// Interval at which parked loads are reviewed.
pub(super) const PARKED_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a live load waits for a slot while all slots are pinned, before the adapter of least
/// worth takes no further permits.
pub(super) const RETIRE_AFTER_LIVE: Duration = Duration::from_millis(300);

/// The same time for a deferrable load.
pub(super) const RETIRE_AFTER_DEFERRABLE: Duration = Duration::from_secs(15);

/// Initial estimate of the duration of a load.
pub(super) const INITIAL_LOAD_TIME: Duration = Duration::from_millis(500);

/// Initial estimate of the time that a permit is held.
pub(super) const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(2);

/// Time for which an order may still be in transit after it got no response. A late unload must not
/// remove an adapter that has been loaded again and serves a request.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Time after which an unanswered request for the inventory is repeated.
pub(super) const INVENTORY_TIMEOUT: Duration = Duration::from_secs(5);

/// Grace period after a permit's window, after which the call of an instance that has left is taken
/// to have ended: its connection to the engine is gone, and the engine aborts sequences that nobody
/// reads.
pub(super) const ENTRY_LEFT_GRACE: Duration = Duration::from_secs(10);

/// Time for which the answer to an attempt is kept, so that a late or duplicate message neither
/// grants nor releases the attempt twice.
pub(super) const SETTLED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of answers kept.
pub(super) const MAX_SETTLED_ATTEMPTS: usize = 8_192;

/// Maximum age at which a deferrable request starts to compete with live requests.
pub(super) const DEFERRABLE_PROMOTION_AGE: Duration = Duration::from_secs(120);

/// Number of live permits granted between two permits for deferrable requests that compete with
/// live ones.
pub(super) const LIVE_GRANTS_PER_AGED: u32 = 15;

/// Time without a deferrable permit after which a deferrable request that competes with live ones
/// gets a batch slot reserved for live work. Answers take about as long, so that one or two
/// reserved slots are occupied in this way at most.
pub(super) const AGED_GRANT_INTERVAL: Duration = Duration::from_secs(15);

/// Maximum time for which deferrable requests are held back from an idle engine to fill a batch.
pub(super) const MAX_FILL_WAIT: Duration = Duration::from_secs(5);

/// Number of requests from the head of a queue among which one with a cached prefix is preferred.
pub(super) const PREFIX_LOOKAHEAD: usize = 8;

/// Maximum number of cached prefixes recorded.
pub(super) const MAX_CACHED_PREFIXES: usize = 4_096;

/// Minimum time between two reports of demand for power.
pub(super) const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unchanged demand for power is reported again.
pub(super) const DEMAND_REPORT_RENEWAL: Duration = Duration::from_secs(20);

/// Minimum time between two checks for a preload.
pub(super) const PRELOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Request rate per second above which an adapter is preloaded into a free slot: one request in
/// five minutes.
pub(super) const PRELOAD_DEMAND_PER_S: f64 = 1.0 / 300.0;

/// Part of a target's batch that the sequences of one adapter may fill before the adapter is spread
/// further.
pub(super) const SPREAD_FILL: f64 = 0.7;

/// Time for which a spread must have been too wide before it shrinks by one target.
pub(super) const SPREAD_SHRINK_DELAY: Duration = Duration::from_secs(60);

/// Minimum and maximum time after which a refusal asks the caller to retry.
pub(super) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(60));

/// Initial estimate of the time to the first byte of an answer.
pub(super) const INITIAL_FIRST_BYTE_TIME: Duration = Duration::from_millis(500);

/// Multiple of the average time to the first byte after which a running probe of a target that
/// failed counts as a success, followed by the bounds of that time.
pub(super) const PROBE_SUCCESS_FACTOR: u32 = 4;
pub(super) const PROBE_SUCCESS_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(10));

/// Multiple of the average duration of a call after which a call that timed out counts as a failure
/// of the target.
pub(super) const TIMEOUT_FAILURE_FACTOR: u32 = 2;
