//! The attempts of a request that may still arrive at their targets, and its retries, which count until they
//! have.

use chervilshunt_core::RetrySource;
use chervilshunt_model::ServiceName;

use super::arrival::Arrival;
use crate::shared::Shared;

/// The attempts of one request that may still arrive, and the retries that count for them.
///
/// Whichever attempt arrives first, each further one is a repeat when it arrives, also one that was given up before.
/// So as many retries go on counting as attempts may still arrive. Those that do so when the request ends count for
/// as long as the accounts allow for.
#[derive(Debug)]
pub(super) struct UnansweredAttempts<'a> {
    shared: &'a Shared,
    service: &'a ServiceName,
    attempts: usize,
    retries: Vec<RetrySource>,
}

impl<'a> UnansweredAttempts<'a> {
    pub(super) const fn new(shared: &'a Shared, service: &'a ServiceName) -> Self {
        Self {
            shared,
            service,
            attempts: 0,
            retries: Vec::new(),
        }
    }

    /// Records a retry that was taken from an account.
    pub(super) fn retry_taken(&mut self, source: RetrySource) {
        self.retries.push(source);
    }

    /// Records that an attempt is sent.
    pub(super) const fn sent(&mut self) {
        self.attempts += 1;
    }

    /// Records what the end of an attempt's exchange shows of its arrival.
    pub(super) fn ended(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Answered | Arrival::Ended => self.attempts -= 1,
            Arrival::Unknown => {}
        }
        self.settle();
    }

    /// Settles the retries for which no attempt may still arrive.
    fn settle(&mut self) {
        let settled = self.retries.len().saturating_sub(self.attempts);
        if settled == 0 {
            return;
        }
        let now = self.shared.clock.now();
        let mut retries = self.shared.retries();
        for source in self.retries.drain(..settled) {
            retries.settle(self.service, source, now);
        }
    }
}

impl Drop for UnansweredAttempts<'_> {
    fn drop(&mut self) {
        self.settle();
    }
}
