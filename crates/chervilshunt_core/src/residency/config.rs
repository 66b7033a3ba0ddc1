//! Configuration of the placement of weights.

use std::time::Duration;

/// Configuration of the placement of weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResidencyConfig {
    /// The assumed duration of loading an adapter from the weight store, until the first loads have
    /// been measured.
    pub cold_load: Duration,
    /// The duration of loading an adapter that the target held recently and still has in memory.
    pub warm_load: Duration,
    /// The longest duration of a load from memory; a load that takes longer came from the weight
    /// store.
    pub max_warm_load: Duration,
    /// The margin added to the expected duration of a load. A request sent too early is refused and
    /// has to be retried, which a budget limits.
    pub load_margin: Duration,
    /// How soon a load that was still in progress is checked again.
    pub load_recheck: Duration,
    /// The number of adapters that one target loads concurrently.
    pub loads_per_target: usize,
    /// How much sooner the first token has to be expected for an adapter to be loaded from the
    /// weight store onto one more target: such a load takes store capacity from adapters that no
    /// target holds.
    pub fetch_penalty: Duration,
    /// The same for a load from a target's memory, which costs two orders.
    pub warm_penalty: Duration,
    /// How much sooner a request has to start on a target in another zone to be sent there.
    pub zone_penalty: Duration,
    /// The delay attributed to a target with all slots taken, compared with an idle one.
    pub load_penalty: Duration,
    /// The penalty for placing a long prompt on a general target, or another request on a target
    /// reserved for long prompts, while targets are reserved.
    pub lane_penalty: Duration,
    /// The longest time that a request waits for the rate limit of a target. If requests waited for as long
    /// as they can, all that a limit lets pass would be answered late.
    pub max_send_wait: Duration,
    /// The penalty for a target whose rate limit makes a request wait for longer.
    pub limited_penalty: Duration,
    /// The time that an order and its answer take, and the check whether a load has ended.
    pub order_time: Duration,
    /// The time until the slot of an adapter that must be unloaded first is free: an order and its
    /// answer.
    pub unload_time: Duration,
    /// How long an adapter with an outdated version is not announced before it is unloaded:
    /// instances are notified up to 0.2 s later, and report what they use every 0.4 s.
    pub usage_settle_time: Duration,
    /// The time after finding an adapter on a target by which all instances have reported whether
    /// they use it.
    pub usage_report_time: Duration,
    /// How long an older version is still announced while the newest one is being loaded elsewhere.
    pub old_version_grace: Duration,
    /// How long a target's report lags behind the orders that it has accepted.
    pub report_lag: Duration,
    /// The delay before a request whose adapter could not be placed may try again.
    pub retry_in: Duration,
    /// The window over which loads of base models from the weight store are counted.
    pub store_window: Duration,
    /// The share of the weight store's rate that is used, so that the limit also holds for loads
    /// that reach the store later than they were ordered.
    pub store_share: f64,
    /// The number of concurrent base model loads. The store serves one or two at full speed; with
    /// more, all of them end late instead of the first ones early.
    pub base_loads_at_once: usize,
    /// The share of a service's targets, rounded up, that may be out of service at a time to update
    /// their base model. A larger share completes an update sooner.
    pub max_updating_share: f64,
}

impl Default for ResidencyConfig {
    fn default() -> Self {
        Self {
            cold_load: Duration::from_millis(250),
            warm_load: Duration::from_millis(25),
            max_warm_load: Duration::from_millis(100),
            load_margin: Duration::from_millis(3),
            load_recheck: Duration::from_millis(30),
            loads_per_target: 4,
            fetch_penalty: Duration::from_millis(300),
            warm_penalty: Duration::from_millis(15),
            zone_penalty: Duration::from_millis(5),
            load_penalty: Duration::from_millis(100),
            lane_penalty: Duration::from_millis(1_000),
            max_send_wait: Duration::from_millis(250),
            limited_penalty: Duration::from_secs(10),
            order_time: Duration::from_millis(5),
            unload_time: Duration::from_millis(5),
            usage_settle_time: Duration::from_millis(700),
            usage_report_time: Duration::from_millis(500),
            old_version_grace: Duration::from_millis(2_000),
            report_lag: Duration::from_millis(450),
            retry_in: Duration::from_millis(400),
            store_window: Duration::from_secs(5),
            store_share: 0.9,
            base_loads_at_once: 2,
            max_updating_share: 0.2,
        }
    }
}
