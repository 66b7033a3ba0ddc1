//! Decides whether a run of a target has ended, after a connection to it has.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Delay before the next question after one that failed; each further one is twice as long, up to the maximum.
const FIRST_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Time after which another question is asked beside an open one, as its connection may have failed unnoticed;
/// each further one is twice as long.
const FIRST_OPEN_TIME: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 10;

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
    /// A connection was accepted, and brought no answer while the question was open.
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
    /// Nothing is known yet.
    Unknown,
}

/// The questions about one run of a target, and what they have shown.
///
/// A system closes the descriptors of a process one after another. Until its listener is closed, it accepts
/// connections for a process that no longer runs, so that only an answer shows that the run goes on. A sound
/// target may leave questions unanswered for as long as it is silent or its slots are taken, so that silence
/// shows nothing at all, and a question stays open: a later one would have to wait behind it.
#[derive(Clone, Debug)]
pub struct RunCheck {
    questions: u32,
    open: u32,
    next_question_at: Moment,
}

impl RunCheck {
    /// Starts a check whose first question is due now.
    pub const fn new(now: Moment) -> Self {
        Self {
            questions: 0,
            open: 0,
            next_question_at: now,
        }
    }

    /// Returns when the next question is due.
    pub const fn next_question_at(&self) -> Moment {
        self.next_question_at
    }

    /// Records that a question is asked.
    pub fn asked(&mut self, now: Moment) {
        self.next_question_at = now + FIRST_OPEN_TIME * doubled(self.questions);
        self.questions += 1;
        self.open += 1;
    }

    /// Records what a question has shown.
    pub fn record(&mut self, finding: RunFinding, now: Moment) -> RunVerdict {
        self.open = self.open.saturating_sub(1);
        match finding {
            RunFinding::Answered => RunVerdict::Alive,
            RunFinding::Replaced => RunVerdict::Ended,
            RunFinding::Refused => RunVerdict::EndedIfLinksWork,
            RunFinding::Closed | RunFinding::Silent | RunFinding::Unreachable => {
                if self.open == 0 {
                    let delay = FIRST_DELAY * doubled(self.questions.saturating_sub(1));
                    self.next_question_at = now + delay.min(MAX_DELAY);
                }
                RunVerdict::Unknown
            }
        }
    }

    /// Returns the number of questions that have been asked.
    pub const fn questions(&self) -> u32 {
        self.questions
    }
}

/// Returns the factor by which a delay has grown after it has been doubled this often.
fn doubled(times: u32) -> u32 {
    2_u32.saturating_pow(times.min(MAX_DOUBLINGS))
}
