//! What the quickstart prints.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::check::{Outcome, Verdict};
use crate::fleet::{Evidence, Fleet, FleetError, Promise, Try, describe};

/// Findings of one promise that are printed.
const SHOWN_FINDINGS: usize = 5;

/// What became of the tries so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    answered: u64,
    refused: u64,
    disconnected: u64,
    violated: u64,
}

impl Counts {
    pub(crate) fn of(tries: &[Try]) -> Self {
        let mut counts = Self::default();
        for one in tries {
            match &one.record.verdict {
                Verdict::Answered(_) => counts.answered += 1,
                Verdict::Refused(_) => counts.refused += 1,
                Verdict::Disconnected { .. } => counts.disconnected += 1,
                Verdict::Violated(_) => counts.violated += 1,
            }
        }
        counts
    }
}

/// Prints one line of progress.
pub(crate) fn print_progress(at: Duration, tries: &[Try], open: usize) {
    let counts = Counts::of(tries);
    println!(
        "{:>4} s  answered {:>5}  open {open:>3}  refused {:>3}  disconnected {:>3}  wrong {:>3}",
        at.as_secs(),
        counts.answered,
        counts.refused,
        counts.disconnected,
        counts.violated,
    );
}

/// Prints something that was done.
pub(crate) fn print_event(at: Duration, event: &str) {
    println!("{:>4} s  -- {event}", at.as_secs());
}

/// Prints why requests were not answered, with their numbers.
pub(crate) fn print_refusals(tries: &[Try]) {
    let mut reasons = BTreeMap::<String, u64>::new();
    for one in tries {
        let reason = match &one.record.verdict {
            Verdict::Answered(_) => continue,
            Verdict::Refused(refusal) => {
                format!("{} {}", Outcome::as_str(refusal.outcome), refusal.reason)
            }
            Verdict::Disconnected { .. } | Verdict::Violated(_) => describe(&one.record.verdict),
        };
        *reasons.entry(reason).or_default() += 1;
    }
    for (reason, count) in reasons {
        println!("        {count:>5}  {reason}");
    }
}

/// Prints the table of promises; says whether all held.
pub(crate) fn print_table(evidence: &Evidence) -> bool {
    println!("\n{:<56}{:>8}{:>8}", "promise", "checks", "broken");
    let mut held = true;
    for promise in Promise::ALL {
        let broken = evidence.findings(promise).count();
        held &= broken == 0;
        println!("{promise:<56}{:>8}{broken:>8}", evidence.checks(promise));
        for finding in evidence.findings(promise).take(SHOWN_FINDINGS) {
            println!("    {finding}");
        }
    }
    let verdict = if held {
        "every promise held"
    } else {
        "promises were broken"
    };
    println!("\n{verdict}");
    held
}

/// Prints the addresses, and lines to try.
pub(crate) fn print_addresses(fleet: &Fleet, model: &str) -> Result<(), FleetError> {
    println!("\nplatform   {}", fleet.platform()?);
    for (name, target) in fleet.targets() {
        println!("{name:<10} {}", target.endpoint.ports["http"]);
    }
    for (id, instance) in fleet.instances() {
        let (callers, operators) = (instance.callers(), instance.operators());
        println!("{id:<10} callers {callers}, operators {operators}");
    }
    let Some(instance) = fleet.instances().values().next() else {
        return Ok(());
    };
    let (callers, operators) = (instance.callers(), instance.operators());
    let ctl = fleet.binaries.ctl()?;
    let ctl = ctl.display();
    println!(
        "\nTo try:\n\
         curl -N http://{callers}/v1/completions -H 'content-type: application/json' \\\n  \
         -d '{{\"model\":\"{model}\",\"prompt\":\"Which chairs are missing?\",\"stream\":true}}'\n\
         curl -X POST http://{callers}/services/desk/entries -H 'idempotency-key: \"boat-7\"' \
         -d 'boat 7 finished'\n\
         curl http://{operators}/metrics\n\
         {ctl} --server {operators} 'show loads'\n\
         {ctl} --server {operators} 'show instances'\n\
         {ctl} --server {operators} 'create version adapter-0001@v2 source=store/adapter-0001@v2'\n\
         \nlogs in {}; Ctrl-C ends everything",
        fleet.folder().display(),
    );
    Ok(())
}
