//! The constants of an owner's decisions, each with the reason for its size.
//!
//! Those that the policy bench settled are in `docs/design/placement.md` and
//! `docs/design/admission.md` with the figures.

use std::time::Duration;

/// Memory of an adapter's demand for evictions: long enough to tell adapters asked for every few
/// minutes apart, short enough to forget yesterday's popularity within the hour.
pub(super) const LONG_TERM_HALF_LIFE: Duration = Duration::from_secs(600);

/// Rate at which busy adapters fall asleep, a second: once in half an hour.
pub(super) const IDLE_TRANSITION_PER_S: f64 = 1.0 / 3_600.0;

/// Memory of the requests that found their adapter loaded: long enough for some dozens of them.
pub(super) const HIT_HALF_LIFE: Duration = Duration::from_secs(30);

/// Memory of an adapter's demand for its spread, which has to follow a flood within seconds.
pub(super) const SHORT_TERM_HALF_LIFE: Duration = Duration::from_secs(10);

/// Memory of the live load, by which seats are reserved.
pub(super) const LIVE_LOAD_HALF_LIFE: Duration = Duration::from_secs(60);

/// Weight of a deferrable request in the demand for an adapter: it can wait for a load together
/// with others, so it makes holding the adapter less worth while.
pub(super) const DEFERRABLE_DEMAND_WEIGHT: f64 = 0.02;

/// Adapters whose demand is remembered, beyond which the faded ones are forgotten.
pub(super) const MAX_TRACKED_ADAPTERS: usize = 20_000;

/// Redirects that a request may have seen and still be sent on for the sake of load, so that
/// owners with different views can't send it in circles.
pub(super) const MAX_HOPS: u8 = 4;

/// Redirects that a request may have seen and still be sent on by a target that can't serve it at
/// all. Where half of the targets are parked, one request in 65,536 finds none in so many.
pub(super) const MAX_CLOSED_HOPS: u8 = 16;

/// Targets over which an adapter may be spread.
pub(super) const MAX_SPREAD: usize = 8;

/// Tries to load an adapter before its live requests are refused.
pub(super) const LIVE_LOAD_TRIES: u32 = 5;

/// Tries to load an adapter before its deferrable requests are refused. With half of all loads
/// failing, one adapter in 65,536 gets there.
pub(super) const DEFERRABLE_LOAD_TRIES: u32 = 16;

/// Pause after the first failed load of an adapter; it doubles with each further failure.
pub(super) const LOAD_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause between two tries to load an adapter.
pub(super) const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(20);

/// Turns that one owner asks for side by side; the rest of its loads wait here, so that a flood
/// of cold adapters at one target costs the load scheduler a bounded number of messages.
pub(super) const MAX_REQUESTED_TURNS: usize = 16;

/// Time after which the urgency of a turn asked for is told again, which also makes up for a lost
/// message.
pub(super) const TURN_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time from which a load that has its turn no longer says so: one that takes this long waits for
/// something else than the weight store, which others may use meanwhile.
pub(super) const TURN_RENEWAL_LIMIT: Duration = Duration::from_secs(10);

/// Part of the slots, one in so many, that deferrable work alone may take.
pub(super) const DEFERRABLE_SLOT_DIVISOR: usize = 16;

/// Deferrable requests that wait for nothing but room, from which on no further adapter is loaded
/// for deferrable work: it would take a slot and a turn from live work to lengthen the queue.
pub(super) const ENOUGH_READY_DEFERRABLE: usize = 4;

/// Wait after which an adapter is loaded for deferrable work in any case.
pub(super) const DEFERRABLE_LOAD_AGE: Duration = Duration::from_secs(300);

/// Time between two looks at the loads that wait for a slot worth giving up.
pub(super) const PARKED_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a live load waits for a slot while all are pinned, before the slot of least worth
/// takes no further permits.
pub(super) const RETIRE_AFTER_LIVE: Duration = Duration::from_millis(300);

/// The same for a deferrable load.
pub(super) const RETIRE_AFTER_DEFERRABLE: Duration = Duration::from_secs(15);

/// First guess of the time that a load takes.
pub(super) const INITIAL_LOAD_TIME: Duration = Duration::from_millis(500);

/// First guess of the time that a permit is held.
pub(super) const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(2);

/// Time that an order can still be on its way after it was given up: a late unload must not hit
/// an adapter that has been loaded again and serves a request.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Time after which an unanswered question for the inventory is asked again.
pub(super) const INVENTORY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time beyond a permit's window after which the call of an instance that left has ended: its
/// connection to the engine is gone, and the engine aborts sequences without a reader.
pub(super) const ENTRY_LEFT_GRACE: Duration = Duration::from_secs(10);

/// Time for which the answer to an attempt is remembered, so that a late or doubled message
/// neither grants it twice nor frees it twice.
pub(super) const SETTLED_RETENTION: Duration = Duration::from_secs(60);

/// Answers remembered at most.
pub(super) const MAX_SETTLED_ATTEMPTS: usize = 8_192;

/// Age at which a deferrable request competes with live ones.
pub(super) const DEFERRABLE_PROMOTION_AGE: Duration = Duration::from_secs(120);

/// Live permits granted between two for deferrable requests of that age.
pub(super) const LIVE_GRANTS_PER_AGED: u32 = 15;

/// Time without a deferrable permit after which one of that age gets a seat kept for live work.
/// Answers take about as long, so at most a seat or two are taken so.
pub(super) const AGED_GRANT_INTERVAL: Duration = Duration::from_secs(15);

/// Longest time that deferrable requests are held back from an idle engine to fill a batch.
pub(super) const MAX_FILL_WAIT: Duration = Duration::from_secs(5);

/// Requests from the head of a queue among which one with a cached prefix is preferred.
pub(super) const PREFIX_LOOKAHEAD: usize = 8;

/// Cached prefixes remembered.
pub(super) const MAX_CACHED_PREFIXES: usize = 4_096;

/// Pause between two reports of demand for power.
pub(super) const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unchanged demand for power is reported again.
pub(super) const DEMAND_REPORT_RENEWAL: Duration = Duration::from_secs(20);

/// Shortest time between two loads ahead of demand.
pub(super) const PRELOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Requests a second for which an adapter is loaded ahead of the next one, into a free slot: one
/// in five minutes.
pub(super) const PRELOAD_DEMAND_PER_S: f64 = 1.0 / 300.0;

/// Part of a target's batch that one adapter's sequences fill before it is spread further.
pub(super) const SPREAD_FILL: f64 = 0.7;

/// Time for which an adapter keeps a spread that it no longer needs.
pub(super) const SPREAD_SHRINK_DELAY: Duration = Duration::from_secs(60);

/// Shortest and longest time that a refusal names for asking again.
pub(super) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(60));

/// First guess of the time to the first piece of an answer.
pub(super) const INITIAL_FIRST_BYTE_TIME: Duration = Duration::from_millis(500);

/// Multiple of the usual time to the first piece after which a probe of a target that failed
/// counts as a success while it still runs, and the bounds of that time.
pub(super) const PROBE_SUCCESS_FACTOR: u32 = 4;
pub(super) const PROBE_SUCCESS_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(10));

/// Multiple of the usual time of a call after which one that has no answer speaks against the target.
pub(super) const TIMEOUT_FAILURE_FACTOR: u32 = 2;
