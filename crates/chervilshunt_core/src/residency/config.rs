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
    /// What is added to the time that a load is expected to take. A request that comes too early
    /// is refused and has to be sent again, which a budget bounds.
    pub load_margin: Duration,
    /// How soon after it was found to be still under way a load is looked at again.
    pub look_again: Duration,
    /// Adapters that one target loads at a time.
    pub loads_a_target: usize,
    /// Adapters that a target is taken to have in memory still after it gave up their slots.
    pub remembered_adapters: usize,
    /// Requests under way with an adapter, as a share of a target's slots, for which it gets one
    /// more target.
    pub spread_share: f64,
    /// What a cold load counts against a target, as a share of its slots: a load from memory is
    /// worth a busier target, and its room in the weight store's pace.
    pub cold_penalty: f64,
    /// What it counts against a target, as a share of its slots, that a load would have to wait there
    /// for an adapter to be given up, which takes half a second and more.
    pub no_slot_penalty: f64,
    /// What it counts against a target, as a share of its slots, that it has to be asked first how many
    /// orders it has accepted, which takes half a second.
    pub unanswered_penalty: f64,
    /// What each load under way counts against a target, as a share of its slots.
    pub loading_penalty: f64,
    /// How long an adapter is no longer told of before it is given up. Instances hear of that up to
    /// 0.2 s later, and tell what they use every 0.4 s; a target that is told to give up what is in use takes no other order until the
    /// last request has ended, for seconds.
    pub uses_settle: Duration,
    /// The share of a target's slots that is kept free, so that a load need not wait for a slot.
    pub free_share: f64,
    /// How long an adapter that was used is kept before others.
    pub keep_used: Duration,
    /// How long after a planner has found an adapter at a target all instances have told whether they
    /// use it. From then on it may be given up: kept for longer, the targets of a new placer, all of
    /// whose slots are taken, load nothing for another second.
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
}

impl Default for ResidencyConfig {
    fn default() -> Self {
        Self {
            cold_load: Duration::from_millis(250),
            warm_load: Duration::from_millis(25),
            load_margin: Duration::from_millis(3),
            look_again: Duration::from_millis(30),
            loads_a_target: 4,
            remembered_adapters: 120,
            spread_share: 0.3,
            cold_penalty: 0.25,
            unanswered_penalty: 0.5,
            loading_penalty: 0.05,
            uses_settle: Duration::from_millis(700),
            free_share: 0.15,
            no_slot_penalty: 0.5,
            keep_used: Duration::from_millis(1_000),
            uses_told: Duration::from_millis(500),
            old_version_grace: Duration::from_millis(2_000),
            report_lag: Duration::from_millis(450),
            retry_in: Duration::from_millis(400),
            store_window: Duration::from_secs(5),
            store_share: 0.9,
            base_loads_at_once: 2,
        }
    }
}
