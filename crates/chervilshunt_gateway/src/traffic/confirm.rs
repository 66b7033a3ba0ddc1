//! Confirms that a target still is the start of it that its entry describes, and so has the entry's version of
//! the software.
//!
//! A target may start again under its name with another version, and an instance that is cut off from the
//! platform does not learn of it. See `docs/design/stream-origins.md`.

use std::time::Duration;

use chervilshunt_core::TargetStart;
use chervilshunt_model::TargetName;

use super::attempt::RequestAttempts;
use super::place::SelectedTarget;
use crate::reports::fetch_report;
use crate::shared::Shared;

/// Timeout of the question to a target. One that has used up its share of a processor answers at most 0.1 s
/// late.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// What a target says of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatedStart {
    /// It is that of its entry.
    Listed,
    /// It has started again since.
    Other,
    /// It has not answered, or states no start.
    Unknown,
}

impl StatedStart {
    /// Returns the name used in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

impl RequestAttempts<'_> {
    /// Returns whether a target that is to continue a stream has the software version of its entry.
    pub(super) async fn is_software_confirmed(&self, chosen: &SelectedTarget) -> bool {
        if self.software.is_none() {
            return true;
        }
        if chosen.route.is_some() {
            return self.is_list_fresh();
        }
        confirm_start(self.shared, &chosen.target).await
    }

    /// Returns whether the version at which a stream begins may be remembered. It is that of the target's
    /// entry as long as the list of targets is fresh; afterwards the target has to confirm it.
    pub(super) async fn is_beginning_confirmed(&self, chosen: &SelectedTarget) -> bool {
        if !self.req.route.streams || !self.req.route.repeat.is_allowed() || self.is_list_fresh() {
            return true;
        }
        chosen.route.is_none() && confirm_start(self.shared, &chosen.target).await
    }

    fn is_list_fresh(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.dispatch().is_list_fresh(now)
    }
}

async fn confirm_start(shared: &Shared, target: &TargetName) -> bool {
    let listed = shared.dispatch().started(target);
    let asked = tokio::time::timeout(CONFIRM_TIMEOUT, fetch_report(shared, target));
    let (started, problem) = match asked.await {
        Ok(Ok(report)) => (report.started, None),
        Ok(Err(problem)) => (None, Some(problem)),
        Err(_) => (None, Some("no answer in time".to_owned())),
    };
    let stated = compare(started, listed);
    let now = shared.clock.now();
    let mut dispatch = shared.dispatch();
    if let Some(started) = started
        && dispatch.start_stated(target, started, now)
        && let Some(facts) = dispatch.target(target)
    {
        // Connections to the previous start are useless.
        let address = facts.address;
        shared.engines.retain(|it| *it != address);
    }
    let is_confirmed = match stated {
        StatedStart::Listed => true,
        StatedStart::Other => false,
        StatedStart::Unknown => dispatch.is_list_fresh(now),
    };
    drop(dispatch);
    slog::info!(shared.log, "software of target confirmed";
        "target" => target.as_str(), "start" => stated.as_str(),
        "confirmed" => is_confirmed, "reason" => problem);
    metrics::counter!("chervilshunt_software_confirmations_total", "start" => stated.as_str())
        .increment(1);
    is_confirmed
}

fn compare(stated: Option<TargetStart>, listed: Option<TargetStart>) -> StatedStart {
    match (stated, listed) {
        (Some(stated), Some(listed)) if stated == listed => StatedStart::Listed,
        (Some(_), Some(_)) => StatedStart::Other,
        (Some(_) | None, None) | (None, Some(_)) => StatedStart::Unknown,
    }
}
