//! Output of the quickstart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::check::{Outcome, Verdict};
use crate::fleet::{Attempt, Evidence, Fleet, FleetError, Promise, describe};

/// Maximum number of findings printed per guarantee.
const SHOWN_FINDINGS: usize = 5;

/// Number of attempts so far, by result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    answered: u64,
    refused: u64,
    disconnected: u64,
    violated: u64,
}

impl Counts {
    pub(crate) fn of(tries: &[Attempt]) -> Self {
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

/// Prints a progress line.
pub(crate) fn print_progress(at: Duration, tries: &[Attempt], open: usize) {
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

/// Prints an event with the time since the start.
pub(crate) fn print_event(at: Duration, event: &str) {
    println!("{:>4} s  -- {event}", at.as_secs());
}

/// Prints the reasons why attempts were not answered, with the number of attempts for each.
pub(crate) fn print_refusals(tries: &[Attempt]) {
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

/// Prints the table of guarantees and returns whether all held.
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

/// Prints the addresses and example commands.
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
        "\nExample commands:\n\
         curl -N http://{callers}/v1/completions -H 'content-type: application/json' \\\n  \
         -d '{{\"model\":\"{model}\",\"prompt\":\"Which chairs are missing?\",\"stream\":true}}'\n\
         curl -X POST http://{callers}/services/desk/entries -H 'idempotency-key: \"boat-7\"' \
         -d 'boat 7 finished'\n\
         curl http://{operators}/metrics\n\
         {ctl} --server {operators} 'show loads'\n\
         {ctl} --server {operators} 'show instances'\n\
         {ctl} --server {operators} 'create version adapter-0001@v2 source=store/adapter-0001@v2'\n\
         \nlogs are in {}; press Ctrl-C to stop all processes",
        fleet.folder().display(),
    );
    Ok(())
}
