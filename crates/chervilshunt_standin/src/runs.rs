//! How often each request truly ran, so that a test can see one that ran twice or not at all.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What became of the requests with one id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// How often a request with this id began to run.
    pub runs: u32,
    /// The models that served it, in the order in which each first did; empty for plain services.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
}

/// The runs of every request, by request id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    records: Arc<Mutex<HashMap<Arc<str>, RunRecord>>>,
}

impl Runs {
    /// Returns what became of the requests with this id; the default if there was none.
    pub fn get(&self, request_id: &str) -> RunRecord {
        self.lock().get(request_id).cloned().unwrap_or_default()
    }

    /// Returns every record.
    pub fn all(&self) -> HashMap<Arc<str>, RunRecord> {
        self.lock().clone()
    }

    pub(crate) fn begin(&self, request_id: &Arc<str>) {
        self.lock().entry(Arc::clone(request_id)).or_default().runs += 1;
    }

    pub(crate) fn served_by(&self, request_id: &Arc<str>, model: &Arc<str>) {
        let mut records = self.lock();
        let record = records.entry(Arc::clone(request_id)).or_default();
        if !record.models.contains(model) {
            record.models.push(Arc::clone(model));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, RunRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
