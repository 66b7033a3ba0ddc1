//! Bounds of placing.

use std::time::Duration;

/// How weights are placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResidencyConfig {
    /// How long a load of an adapter is taken to take that comes from the weight store, until the
    /// first loads have shown it.
    pub cold_load: Duration,
    /// How long a load takes at a target that held the adapter of late and has it in memory.
    pub warm_load: Duration,
    /// How long a load from memory may take; one that takes longer came from the weight store.
    pub longest_warm_load: Duration,
    /// What is added to the time that a load is expected to take. A request that comes too early
    /// is refused and has to be sent again, which a budget bounds.
    pub load_margin: Duration,
    /// How soon after it was found to be still under way a load is looked at again.
    pub look_again: Duration,
    /// Adapters that one target loads at a time.
    pub loads_a_target: usize,
    /// How much sooner its first token has to come for an adapter to be loaded from the weight store at
    /// one more target: a load takes room in the store's pace from adapters that no target holds.
    pub fetch_penalty: Duration,
    /// The same for a load from a target's memory, which costs two orders.
    pub warm_penalty: Duration,
    /// How much sooner a request has to begin at a target in another zone to go there.
    pub zone_penalty: Duration,
    /// How much later a request is taken to begin at a target all of whose slots are taken than at one
    /// that is idle.
    pub load_penalty: Duration,
    /// How much sooner a request has to begin at a target that is kept for long prompts, if its own is
    /// not long, or at another one if it is, while they are kept apart.
    pub lane_penalty: Duration,
    /// How long an order and its answer take, and the look at whether a load has ended.
    pub order_time: Duration,
    /// How long it takes until an adapter's place is free that has to be given up first: an order and
    /// its answer.
    pub give_up_time: Duration,
    /// How long an adapter is no longer told of before it is given up whose version is too old:
    /// instances hear of that up to 0.2 s later, and tell what they use every 0.4 s.
    pub uses_settle: Duration,
    /// How long after a planner has found an adapter at a target all instances have told whether they
    /// use it.
    pub uses_told: Duration,
    /// How long an older version is told of as held while the newest one is loaded elsewhere.
    pub old_version_grace: Duration,
    /// How long a target's report lags behind what it has accepted.
    pub report_lag: Duration,
    /// The pause before a request whose adapter could not be placed may ask again.
    pub retry_in: Duration,
    /// The span over which loads of base models from the weight store are counted.
    pub store_window: Duration,
    /// The share of the weight store's rate that is used, so that loads whose start the store sees
    /// later than they were ordered stay within it.
    pub store_share: f64,
    /// Loads of base models at a time. The store gives one or two of them its full speed; more at a
    /// time would all end late instead of the first ones early.
    pub base_loads_at_once: usize,
    /// The share of a service's targets, rounded up, that are out of use at a time because their base
    /// model is given up for a newer version. A larger share brings the version to all of them sooner.
    pub updated_share: f64,
}

impl Default for ResidencyConfig {
    fn default() -> Self {
        Self {
            cold_load: Duration::from_millis(250),
            warm_load: Duration::from_millis(25),
            longest_warm_load: Duration::from_millis(100),
            load_margin: Duration::from_millis(3),
            look_again: Duration::from_millis(30),
            loads_a_target: 4,
            fetch_penalty: Duration::from_millis(300),
            warm_penalty: Duration::from_millis(15),
            zone_penalty: Duration::from_millis(5),
            load_penalty: Duration::from_millis(100),
            lane_penalty: Duration::from_millis(1_000),
            order_time: Duration::from_millis(5),
            give_up_time: Duration::from_millis(5),
            uses_settle: Duration::from_millis(700),
            uses_told: Duration::from_millis(500),
            old_version_grace: Duration::from_millis(2_000),
            report_lag: Duration::from_millis(450),
            retry_in: Duration::from_millis(400),
            store_window: Duration::from_secs(5),
            store_share: 0.9,
            base_loads_at_once: 2,
            updated_share: 0.2,
        }
    }
}
