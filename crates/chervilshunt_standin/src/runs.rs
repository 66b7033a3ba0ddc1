//! Counts how often each request was executed, so that a test can detect one that ran twice or not
//! at all.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The executions of the requests with one id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// How often a request with this id started to run.
    pub runs: u32,
    /// The models that served it, in the order of first use; empty for plain services.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
}

/// The run records of all requests, by request id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    records: Arc<Mutex<HashMap<Arc<str>, RunRecord>>>,
}

impl Runs {
    /// Returns the run record of the requests with this id, or the default record if there was
    /// none.
    pub fn get(&self, request_id: &str) -> RunRecord {
        self.lock().get(request_id).cloned().unwrap_or_default()
    }

    /// Returns all run records.
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
