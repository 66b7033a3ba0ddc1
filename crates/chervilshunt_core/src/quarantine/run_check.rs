//! Decides whether a run of a target has ended, after a connection to it has.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Delay before the second question to a target; each further one is twice as long, up to the maximum.
const FIRST_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Time after which a target that accepts connections and answers none of these many questions has ended. A
/// sound target may be silent for about a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
const MIN_SILENT: u32 = 3;

/// What a question to the address of a target has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFinding {
    /// The run has answered.
    Answered,
    /// Another run of the target, or another target, has answered.
    Replaced,
    /// The address refuses connections.
    Refused,
    /// A connection was accepted, and ended without an answer.
    Closed,
    /// A connection was accepted, and brought no answer in time.
    Silent,
    /// No connection was opened in time.
    Unreachable,
}

impl RunFinding {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What follows from the findings so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// The run goes on.
    Alive,
    /// The run has ended.
    Ended,
    /// The run has ended, unless the links of this instance have failed.
    EndedIfLinksWork,
    /// Nothing is known yet, and the target has to be asked again after a delay.
    AskAgain(Duration),
}

/// The findings about one run of a target.
///
/// A system closes the descriptors of a process one after another. Until its listener is closed, it accepts
/// connections for a process that no longer runs, so that only an answer shows that the run goes on.
#[derive(Clone, Debug, Default)]
pub struct RunCheck {
    questions: u32,
    silent: u32,
    silent_since: Option<Moment>,
}

impl RunCheck {
    /// Records what a question has shown that was asked at `asked_at`.
    pub fn record(&mut self, finding: RunFinding, asked_at: Moment, now: Moment) -> RunVerdict {
        let delay = FIRST_DELAY * 2_u32.saturating_pow(self.questions);
        self.questions += 1;
        match finding {
            RunFinding::Answered => return RunVerdict::Alive,
            RunFinding::Replaced => return RunVerdict::Ended,
            RunFinding::Refused => return RunVerdict::EndedIfLinksWork,
            RunFinding::Silent => {
                self.silent += 1;
                let since = *self.silent_since.get_or_insert(asked_at);
                if self.silent >= MIN_SILENT && now.since(since) >= SILENCE_LIMIT {
                    return RunVerdict::EndedIfLinksWork;
                }
            }
            RunFinding::Closed | RunFinding::Unreachable => {}
        }
        RunVerdict::AskAgain(delay.min(MAX_DELAY))
    }

    /// Returns the number of questions that have been asked.
    pub const fn questions(&self) -> u32 {
        self.questions
    }
}
