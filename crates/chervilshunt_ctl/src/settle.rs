//! Sending a change until its outcome is known.
//!
//! The id that a change is sent under tells an instance that it has seen it before, so that sending
//! it again asks for its outcome and never makes it twice. See `docs/operators/ctl.md`.

use std::time::{Duration, Instant};

use chervilshunt_model::ChangeId;
use chervilshunt_query::Statement;

use crate::answer::{Outcome, Problem};
use crate::client::{CallError, Reply};
use crate::exit::Exit;
use crate::session::Session;
use crate::show::printable;

/// The pause before a change is sent again, unless the answer asks for another.
const PAUSE: Duration = Duration::from_secs(1);
/// The type of a refusal that says nothing of an earlier try.
const NOT_BEGUN: &str = "/problems/change_not_begun";

/// Why the outcome of a change is not known, and when to ask for it again.
struct Unsettled {
    why: String,
    pause: Duration,
}

impl Session {
    /// Sends a change, and sends it again under the same id for as long as its outcome is not known.
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
                    "chervilshuntctl: its outcome is unknown; send it again to this or another \
                     instance with --id {id} to learn it"
                );
                return Exit::Unknown;
            }
            std::thread::sleep(unsettled.pause);
        }
    }
}

/// Says whether the outcome is not known; `before` if it was not after an earlier try.
fn unsettled(result: &Result<Reply, CallError>, before: bool) -> Option<Unsettled> {
    let reply = match result {
        Ok(reply) if reply.status.is_success() => return None,
        Ok(reply) => reply,
        Err(error) if error.may_have_run() || before => {
            let why = format!("no answer: {error}");
            return Some(Unsettled { why, pause: PAUSE });
        }
        Err(_not_sent) => return None,
    };
    let problem = Problem::of(reply);
    let unknown = match problem.outcome {
        Some(Outcome::Unknown | Outcome::CutShort) => true,
        // That this try was not begun says nothing of an earlier one.
        Some(Outcome::NotRun) => before && problem.kind == NOT_BEGUN,
        // A gateway in between that fails says nothing of what happened behind it.
        None => reply.status.is_server_error(),
    };
    unknown.then(|| Unsettled {
        why: format!("{} ({})", problem.reason(reply), reply.status.as_u16()),
        pause: reply.retry_after().unwrap_or(PAUSE),
    })
}
