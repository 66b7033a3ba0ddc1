//! Runs tests that inject faults or count open requests one at a time.

use std::sync::Arc;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, wait_until};
use serde_json::{Value, json};
use tokio::sync::{Mutex, MutexGuard};

use super::http::BOUND;
use super::shared;

static EXCLUSIVE: Mutex<()> = Mutex::const_new(());

/// Exclusive access to the shared fleet.
#[derive(Debug)]
pub(crate) struct ExclusiveFleet {
    pub(crate) fleet: Arc<Fleet>,
    _lock: MutexGuard<'static, ()>,
}

/// Runs a test with exclusive access to the fleet of this binary and all faults cleared.
pub(crate) fn run_exclusively<F>(
    options: impl FnOnce() -> FleetOptions,
    test: impl FnOnce(ExclusiveFleet) -> F,
) where
    F: Future<Output = ()>,
{
    // Taken before the lock, so that the fleet is kept while other tests wait for it.
    let fleet = shared::fleet(options);
    shared::runtime().block_on(async {
        let exclusive = ExclusiveFleet {
            fleet,
            _lock: EXCLUSIVE.lock().await,
        };
        exclusive.clear_faults().await;
        test(exclusive).await;
    });
}

impl Drop for ExclusiveFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            shared::keep_logs(&self.fleet);
        }
    }
}

impl ExclusiveFleet {
    /// Clears all faults, including those that a failed test has left behind.
    async fn clear_faults(&self) {
        let engine = json!({
            "down": false, "slow_ms": 0, "freeze": false, "cut_after_tokens": -1, "wrong_model": false,
            "answer_late_ms": 0, "load_fails": 0.0, "load_slow_ms": 0, "unframed": false,
            "cut_inside_event": false,
        });
        let plain = json!({
            "slow_ms": 0, "freeze": false, "lose_answers": 0, "cut_before_run": 0,
            "cut_answers": 0, "refuse": 0, "unframed": false,
        });
        for name in self.fleet.targets().keys() {
            let faults = if name.starts_with("engine") {
                &engine
            } else {
                &plain
            };
            self.fault(name, faults.clone()).await;
        }
    }

    /// Sets fault switches of a target.
    pub(crate) async fn fault(&self, target: &str, faults: Value) {
        let thrown = self.fleet.set_faults(target, faults).await;
        thrown.unwrap_or_else(|error| panic!("{error}"));
    }

    /// Sets fault switches of all engines.
    pub(crate) async fn fault_engines(&self, faults: Value) {
        for name in self.fleet.targets().keys() {
            if name.starts_with("engine") {
                self.fault(name, faults.clone()).await;
            }
        }
    }

    /// Returns the rows of a query, each as an object keyed by column.
    pub(crate) async fn show(&self, question: &str) -> Vec<Value> {
        let statements = self.fleet.statements().expect("an instance is ready");
        let answer = statements.run(question).await;
        rows(&answer.unwrap_or_else(|error| panic!("{error}")))
    }

    /// Waits until a query returns no rows.
    pub(crate) async fn wait_for_none(&self, question: &str) {
        let none = || async { self.show(question).await.is_empty().then_some(()) };
        let ended = wait_until(BOUND, none).await;
        assert!(
            ended.is_some(),
            "rows stay: {:?}",
            self.show(question).await
        );
    }

    /// Waits until a query returns this many rows.
    pub(crate) async fn wait_for_rows(&self, question: &str, count: usize) -> Vec<Value> {
        let wanted = || async {
            let rows = self.show(question).await;
            (rows.len() == count).then_some(rows)
        };
        match wait_until(BOUND, wanted).await {
            Some(rows) => rows,
            None => panic!("not {count} rows: {:?}", self.show(question).await),
        }
    }

    /// Returns the value of one of a target's counters.
    pub(crate) async fn stat(&self, target: &str, name: &str) -> u64 {
        let stats = self.fleet.stats(target).await;
        let stats = stats.unwrap_or_else(|error| panic!("{error}"));
        stats[name]
            .as_u64()
            .unwrap_or_else(|| panic!("no {name} in {stats}"))
    }

    /// Returns the number of times that a request ran, over all targets.
    pub(crate) async fn runs(&self, request: &str) -> u64 {
        let mut runs = 0;
        for address in self
            .fleet
            .target_controls()
            .expect("targets have addresses")
        {
            let all = self
                .fleet
                .http
                .json(http::Method::GET, address, "/standin/runs", None);
            let all = all.await.unwrap_or_else(|error| panic!("{error}"));
            runs += all[request]["runs"].as_u64().unwrap_or(0);
        }
        runs
    }

    /// Returns a metric of an instance: the sum over all series whose line begins with `prefix`.
    pub(crate) async fn metric(&self, instance: &str, prefix: &str) -> f64 {
        metric(&self.metrics(instance).await, prefix)
    }

    /// Returns all metrics of an instance.
    pub(crate) async fn metrics(&self, instance: &str) -> String {
        let address = self.fleet.instances()[instance].operators();
        let reply = self
            .fleet
            .http
            .call(http::Method::GET, address, "/metrics", None);
        reply.await.unwrap_or_else(|error| panic!("{error}")).text
    }
}

/// Returns the sum of a metric over all series whose line begins with `prefix`.
pub(crate) fn metric(text: &str, prefix: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

/// Returns the rows of the first result of an answer, each as an object keyed by column.
pub(crate) fn rows(answer: &Value) -> Vec<Value> {
    let result = &answer["results"][0];
    let columns = result["columns"].as_array().expect("columns").clone();
    let rows = result["rows"].as_array().expect("rows").iter();
    let object = |row: &Value| {
        let cells = row.as_array().expect("cells").iter();
        let members = columns.iter().zip(cells);
        let members = members
            .map(|(column, cell)| (column.as_str().expect("a name").to_owned(), cell.clone()));
        Value::Object(members.collect())
    };
    rows.map(object).collect()
}
