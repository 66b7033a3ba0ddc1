//! Retries that may have been granted lately.

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Numbers of retries by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounts {
    /// The services with a count of their own.
    pub by_service: Vec<(ServiceName, u32)>,
    /// The count of every other service.
    pub others: u32,
}

impl RetryCounts {
    /// Returns the count of a service.
    pub fn of(&self, service: &ServiceName) -> u32 {
        let own = self.by_service.iter().find(|(name, _)| name == service);
        own.map_or(self.others, |(_, count)| *count)
    }

    /// Returns the counts if as many more may be granted for each service.
    #[must_use]
    pub fn with_more(mut self, count: u32) -> Self {
        for (_, spent) in &mut self.by_service {
            *spent = spent.saturating_add(count);
        }
        self.others = self.others.saturating_add(count);
        self
    }
}

/// The most retries that may have been granted regardless of requests in the window of their bound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentRetries {
    /// All of them.
    #[serde(flatten)]
    pub counts: RetryCounts,
    /// Those that may not have arrived at a target yet; `None` if that may be so of all, as in records of
    /// earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unanswered: Option<RetryCounts>,
}

impl SpentRetries {
    /// Returns the counts if nothing is known: any number may have been granted.
    pub const fn unknown() -> Self {
        Self {
            counts: RetryCounts {
                by_service: Vec::new(),
                others: u32::MAX,
            },
            unanswered: None,
        }
    }

    /// Returns the count of a service.
    pub fn of(&self, service: &ServiceName) -> u32 {
        self.counts.of(service)
    }

    /// Returns the counts of those that may not have arrived yet.
    pub fn unanswered(&self) -> &RetryCounts {
        self.unanswered.as_ref().unwrap_or(&self.counts)
    }

    /// Returns the counts if as many more may be granted for each service.
    #[must_use]
    pub fn with_more(self, count: u32) -> Self {
        Self {
            counts: self.counts.with_more(count),
            unanswered: self.unanswered.map(|it| it.with_more(count)),
        }
    }
}
