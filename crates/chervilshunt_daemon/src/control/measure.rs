//! Updates the metrics of this instance's roles; see `docs/operators/metrics.md`.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{Decision, DecisionKind, OrderFailure, OrderKind, OwnerView};
use chervilshunt_model::{Class, Moment, TargetName};
use metrics::{counter, gauge, histogram};

use super::actor::Control;

/// Interval between updates of the metrics.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the last update of the metrics.
#[derive(Debug, Default)]
pub(super) struct MetricsState {
    /// When the metrics were last updated.
    updated_at: Option<Moment>,
    /// Targets whose gauges were set and have to be cleared once they are no longer owned.
    targets: HashSet<TargetName>,
}

impl Control {
    /// Updates the gauges, and adds the time since the last update to the counters.
    pub(super) fn update_metrics(&mut self, now: Moment) {
        let since = self
            .metrics_state
            .updated_at
            .map(|updated_at| now.since(updated_at));
        if since.is_some_and(|since| since < UPDATE_INTERVAL) {
            return;
        }
        self.metrics_state.updated_at = Some(now);
        self.measure_instance(now);
        let known = std::mem::take(&mut self.metrics_state.targets);
        for gone in known
            .iter()
            .filter(|name| !self.targets.contains_key(*name))
        {
            clear_target(gone);
        }
        for (name, owned) in &self.targets {
            measure_target(name, &owned.owner.view(now), since.unwrap_or_default());
        }
        self.metrics_state.targets = self.targets.keys().cloned().collect();
        for (store, scheduler) in &self.schedulers {
            let store = store.to_string();
            gauge!("chervilshunt_loads_in_progress", "store" => store.clone())
                .set(scheduler.in_progress() as f64);
            gauge!("chervilshunt_loads_waiting", "store" => store).set(scheduler.waiting() as f64);
        }
        for (site, allocator) in &self.allocators {
            gauge!("chervilshunt_site_granted_watts", "site" => site.to_string())
                .set(allocator.committed_watts());
        }
    }

    fn measure_instance(&self, now: Moment) {
        let takes_work = self.coordinator.may_take_work(now);
        gauge!("chervilshunt_takes_work").set(f64::from(u8::from(takes_work)));
        gauge!("chervilshunt_revision").set(self.deployment.revision.get() as f64);
        gauge!("chervilshunt_instances_known").set(self.peers.len() as f64);
        let held = self
            .holders
            .values()
            .filter(|(holder, _)| holder == self.cx.me());
        gauge!("chervilshunt_roles").set(held.count() as f64);
    }
}

fn measure_target(name: &TargetName, view: &OwnerView, since: Duration) {
    let target = name.to_string();
    let running = (view.live_permits + view.deferrable_permits) as f64;
    let bound = view.batch_bound as f64;
    gauge!("chervilshunt_target_running", "target" => target.clone()).set(running);
    gauge!("chervilshunt_target_batch_bound", "target" => target.clone()).set(bound);
    gauge!("chervilshunt_target_share_watts", "target" => target.clone()).set(view.share_watts);
    let waiting = |class: Class, count: usize| {
        gauge!("chervilshunt_target_waiting", "target" => target.clone(), "class" => class.as_str())
            .set(count as f64);
    };
    waiting(Class::Live, view.live_waiting);
    waiting(Class::Deferrable, view.deferrable_waiting);
    // An engine without running sequences executes no steps, so only busy time counts.
    let bound = if running > 0.0 {
        bound.max(running)
    } else {
        0.0
    };
    let micros = since.as_micros() as f64;
    let add = |name: &'static str, sequences: f64| {
        counter!(name, "target" => target.clone()).increment((micros * sequences) as u64);
    };
    add("chervilshunt_target_sequence_microseconds_total", running);
    add("chervilshunt_target_batch_microseconds_total", bound);
}

/// Sets the gauges of a target that this instance no longer owns to 0, as its new owner reports it.
fn clear_target(name: &TargetName) {
    let target = name.to_string();
    for gauge in [
        "chervilshunt_target_running",
        "chervilshunt_target_batch_bound",
        "chervilshunt_target_share_watts",
    ] {
        gauge!(gauge, "target" => target.clone()).set(0.0);
    }
    for class in [Class::Live, Class::Deferrable] {
        gauge!("chervilshunt_target_waiting", "target" => target.clone(), "class" => class.as_str())
            .set(0.0);
    }
}

/// Counts a decision and records how long its request waited.
pub(super) fn record_decision(decision: &Decision) {
    let kind = decision.kind.as_str();
    counter!("chervilshunt_decisions_total", "kind" => kind).increment(1);
    let Some(class) = decision.class else {
        return;
    };
    let ends_wait = matches!(
        decision.kind,
        DecisionKind::Grant | DecisionKind::Redirect | DecisionKind::Refuse
    );
    if !ends_wait || decision.waited.total.is_zero() {
        return;
    }
    let class = class.as_str();
    histogram!("chervilshunt_queue_wait_seconds", "class" => class, "end" => kind)
        .record(decision.waited.total);
    if !decision.waited.for_load.is_zero() {
        histogram!("chervilshunt_load_stall_seconds", "class" => class, "end" => kind)
            .record(decision.waited.for_load);
    }
}

/// Records the result and the duration of an order to an engine.
pub(super) fn record_order(kind: OrderKind, result: Result<(), OrderFailure>, took: Duration) {
    let result = match result {
        Ok(()) => "done",
        Err(OrderFailure::Refused) => "refused",
        Err(OrderFailure::Fenced) => "fenced",
        Err(OrderFailure::Unknown) => "unknown",
    };
    let kind = match kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    histogram!("chervilshunt_order_seconds", "kind" => kind, "result" => result).record(took);
}
