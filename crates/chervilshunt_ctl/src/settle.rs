//! Sends a change repeatedly until its outcome is known.
//!
//! A change carries an id by which an instance recognises it, so that sending it again returns its
//! outcome and never applies it twice. See `docs/operators/ctl.md`.

use std::time::{Duration, Instant};

use chervilshunt_model::ChangeId;
use chervilshunt_query::Statement;

use crate::answer::{Outcome, Problem};
use crate::client::{CallError, Reply};
use crate::exit::Exit;
use crate::session::Session;
use crate::show::printable;

/// The delay before a change is sent again, unless the answer has a `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The problem type of an attempt that was not begun, which leaves the outcome of earlier ones
/// open.
const NOT_BEGUN: &str = "/problems/change_not_begun";

/// Why the outcome of a change is unknown, and the delay before it is sent again.
struct Unsettled {
    why: String,
    pause: Duration,
}

impl Session {
    /// Sends a change, and resends it under the same id until its outcome is known or the time of
    /// `--settle` is over.
    pub(crate) fn settle(&self, statement: &Statement) -> Exit {
        let id = self.options.id.unwrap_or_else(ChangeId::random);
        let mut until = None;
        loop {
            let result = self.call(statement, Some(id));
            let Some(unsettled) = unsettled(&result, until.is_some()) else {
                return self.show(statement, &result);
            };
            let now = Instant::now();
            if until.is_none() {
                eprintln!(
                    "chervilshuntctl: {}; it may have taken effect\n  {}",
                    printable(&unsettled.why),
                    printable(&statement.to_string())
                );
            }
            let end = *until.get_or_insert(now + self.options.settle);
            if now + unsettled.pause >= end {
                eprintln!(
                    "chervilshuntctl: its outcome is unknown; to get it, send the change again \
                     to this or another instance with --id {id}"
                );
                return Exit::Unknown;
            }
            std::thread::sleep(unsettled.pause);
        }
    }
}

/// Returns why the outcome is unknown, or `None` if it is known; `before` is whether it was unknown
/// after an earlier attempt.
fn unsettled(result: &Result<Reply, CallError>, before: bool) -> Option<Unsettled> {
    let reply = match result {
        Ok(reply) if reply.status.is_success() => return None,
        Ok(reply) => reply,
        Err(error) if error.may_have_run() || before => {
            let why = format!("no answer: {error}");
            return Some(Unsettled {
                why,
                pause: RETRY_DELAY,
            });
        }
        Err(_not_sent) => return None,
    };
    let problem = Problem::of(reply);
    let unknown = match problem.outcome {
        Some(Outcome::Unknown | Outcome::CutShort) => true,
        // That this attempt was not begun does not tell whether an earlier one took effect.
        Some(Outcome::NotRun) => before && problem.kind == NOT_BEGUN,
        // An error of a gateway in between does not tell whether the instance applied the change.
        None => reply.status.is_server_error(),
    };
    unknown.then(|| Unsettled {
        why: format!("{} ({})", problem.reason(reply), reply.status.as_u16()),
        pause: reply.retry_after().unwrap_or(RETRY_DELAY),
    })
}
