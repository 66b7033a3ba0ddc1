//! What is logged and counted of an answer that is passed on.

use std::time::Duration;

use chervilshunt_core::FRESH_ANSWER_AGE;
use chervilshunt_model::Moment;

use super::super::in_flight::InFlight;
use super::Relay;

impl Relay {
    /// Returns how long ago the target began to answer.
    pub(super) fn begun_before(&self, now: Moment) -> Option<Duration> {
        self.in_flight.begun_at().map(|at| now.since(at))
    }

    pub(super) fn count_interrupted(&self, now: Moment) {
        let age = match self.begun_before(now) {
            None => "no_byte",
            Some(age) if age <= FRESH_ANSWER_AGE => "fresh",
            Some(_) => "older",
        };
        metrics::counter!("chervilshunt_interrupted_answers_total", "age" => age).increment(1);
    }

    /// Logs an answer that begins on an older version than the newest known one.
    pub(super) fn report_older_version(&self, now: Moment) {
        let (Some(weights), Some(version)) = (&self.req.weights, self.in_flight.version()) else {
            return;
        };
        let newest = self.shared.dispatch().newest_version(weights, now);
        let Some((newest, known_for)) = newest.filter(|(newest, _)| *newest > version) else {
            return;
        };
        slog::info!(self.shared.log, "answer on older version";
            "request" => &*self.req.id, "target" => self.in_flight.target.as_str(),
            "weights" => weights.to_string(), "version" => version,
            "newest_version" => newest,
            "newest_known_for_ms" => known_for.as_millis() as u64,
            "sent_ms" => now.since(self.in_flight.sent_at()).as_millis() as u64);
    }

    /// Returns where the target's answer ended, for logs and metrics.
    const fn body_end(&self) -> &'static str {
        match self.body.events() {
            None => "no_stream",
            Some(events) if events.is_inside_event() => "inside_event",
            Some(events) if events.has_events() => "after_event",
            Some(_) => "before_event",
        }
    }

    /// Logs and counts a stream that another target continues, with the versions of both targets'
    /// software.
    pub(super) fn report_resumed(&self, by: &InFlight) {
        let (before, after) = (self.in_flight.software(), by.software());
        slog::info!(self.shared.log, "stream resumed";
            "request" => &*self.req.id, "target" => by.target.as_str(),
            "software" => after.map(|it| it.as_str().to_owned()),
            "broke_off_at" => self.in_flight.target.as_str(),
            "broke_off_software" => before.map(|it| it.as_str().to_owned()));
        let software = match (before, after) {
            (Some(before), Some(after)) if before == after => "same",
            (Some(_), Some(_)) => "other",
            (None, _) | (_, None) => "unknown",
        };
        metrics::counter!("chervilshunt_streams_resumed_total", "software" => software)
            .increment(1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let whole = self.body.is_end_stream();
        let outcome = self
            .outcome
            .unwrap_or(if whole { "served" } else { "caller_left" });
        let first = self.first_byte.since(self.req.arrived);
        let sent = self.in_flight.sent_at().since(self.req.arrived);
        let total = now.since(self.req.arrived);
        slog::info!(self.shared.log, "answered";
            "request" => &*self.req.id, "route" => &*self.req.route.name,
            "target" => self.in_flight.target.as_str(), "status" => self.status,
            "outcome" => outcome, "version" => self.in_flight.version(),
            "software" => self.in_flight.software().map(|it| it.as_str().to_owned()),
            "sent_after_ms" => sent.as_millis() as u64,
            "first_byte_ms" => first.as_millis() as u64,
            "longest_pause_ms" => self.longest_pause.as_millis() as u64,
            "framing" => self.body.framing().as_str(),
            "ended" => self.body_end(),
            "total_ms" => total.as_millis() as u64, "bytes" => self.bytes,
            "runs" => self.runs, "resumed" => self.resumed);
        metrics::counter!("chervilshunt_requests_total", "outcome" => outcome).increment(1);
        metrics::counter!("chervilshunt_answer_ends_total",
            "framing" => self.body.framing().as_str(), "ended" => self.body_end())
        .increment(1);
        metrics::histogram!("chervilshunt_first_byte_seconds").record(first.as_secs_f64());
        metrics::histogram!("chervilshunt_longest_pause_seconds")
            .record(self.longest_pause.as_secs_f64());
        metrics::histogram!("chervilshunt_request_seconds").record(total.as_secs_f64());
    }
}
