//! The policies, and single runs of them.

use chervilshunt_core::{Mechanisms, PolicyWeights};

use super::baseline::{Baseline, PlacementRule};
use super::core_policy::CorePolicy;
use super::deployment::{DeploymentKind, Sizes};
use super::metrics::RunReport;
use super::scenario::{Scenario, Schedule};
use super::workload::Trace;
use super::world::World;
use super::{clairvoyant, informed};

/// A policy that decides about placement and dispatch, or a bound to compare policies with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The decision logic of `chervilshunt_core` with all mechanisms.
    Chervilshunt,
    /// The baseline: least-recently-used eviction, dispatch to the holder with the fewest outstanding
    /// requests, first come first served.
    Lru,
    /// Like `Lru`, but dispatches to the target with the fewest outstanding requests, whichever
    /// adapters it holds.
    LeastOutstanding,
    /// Like `Lru`, but the adapter's hash selects the target.
    Static,
    /// A lower bound on stalls, computed with knowledge of the whole trace.
    Clairvoyant,
    /// A lower bound on stalls, computed with knowledge of each adapter's popularity but not of the
    /// trace.
    Informed,
    /// The decision logic of `chervilshunt_core` with one mechanism switched off.
    Without(Mechanism),
}

/// A mechanism of `chervilshunt_core` that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Replication of an adapter on several targets.
    Spread,
    /// Eviction by the expected cost of reloading.
    CostEviction,
    /// Ordering of loads by urgency.
    Urgency,
    /// Fair sharing of permits between callers.
    Fairness,
    /// Filling up batches with deferrable work.
    Fill,
    /// Affinity to cached prefixes.
    Prefix,
    /// Loading adapters ahead of demand.
    Ahead,
    /// Concentration of spare power on few targets.
    Packing,
}

impl Policy {
    /// All policies, in the order of the tables.
    pub const ALL: [Self; 14] = [
        Self::Chervilshunt,
        Self::Lru,
        Self::LeastOutstanding,
        Self::Static,
        Self::Clairvoyant,
        Self::Informed,
        Self::Without(Mechanism::Spread),
        Self::Without(Mechanism::CostEviction),
        Self::Without(Mechanism::Urgency),
        Self::Without(Mechanism::Fairness),
        Self::Without(Mechanism::Fill),
        Self::Without(Mechanism::Prefix),
        Self::Without(Mechanism::Ahead),
        Self::Without(Mechanism::Packing),
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Chervilshunt => "chervilshunt",
            Self::Lru => "lru",
            Self::LeastOutstanding => "least-outstanding",
            Self::Static => "static",
            Self::Clairvoyant => "clairvoyant",
            Self::Informed => "informed",
            Self::Without(Mechanism::Spread) => "no-spread",
            Self::Without(Mechanism::CostEviction) => "no-cost-eviction",
            Self::Without(Mechanism::Urgency) => "no-urgency",
            Self::Without(Mechanism::Fairness) => "no-fairness",
            Self::Without(Mechanism::Fill) => "no-fill",
            Self::Without(Mechanism::Prefix) => "no-prefix",
            Self::Without(Mechanism::Ahead) => "no-ahead",
            Self::Without(Mechanism::Packing) => "no-packing",
        }
    }

    /// Finds a policy by its name on the command line.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.as_str() == text)
    }
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSpec {
    /// The deployment.
    pub deployment: DeploymentKind,
    /// The policy.
    pub policy: Policy,
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of all random choices.
    pub seed: u64,
    /// Length of the run in virtual seconds; the scenario's default if `None`.
    pub seconds: Option<u64>,
    /// Factor by which all request rates are multiplied.
    pub load: f64,
    /// Weights of the policy's goals; the deployment's own weights if `None`.
    pub weights: Option<PolicyWeights>,
}

impl RunSpec {
    fn sizes(&self) -> Sizes {
        let mut sizes = self.deployment.sizes();
        sizes.live_per_second *= self.load;
        sizes.deferrable_per_second *= self.load;
        sizes.plain_per_second *= self.load;
        sizes.weights = self.weights.unwrap_or(sizes.weights);
        sizes
    }
}

/// Runs one policy in virtual time and returns its report.
pub fn run_policy(spec: RunSpec) -> RunReport {
    run_timeline(spec).0
}

/// Runs one policy in virtual time and returns its report with a per-minute timeline as
/// comma-separated values.
///
/// The timeline of a bound is empty.
pub fn run_timeline(spec: RunSpec) -> (RunReport, String) {
    let seconds = spec.seconds.unwrap_or(spec.scenario.default_seconds());
    let schedule = Schedule::new(seconds);
    let mut report = RunReport {
        deployment: spec.deployment.as_str(),
        policy: spec.policy.as_str(),
        scenario: spec.scenario.as_str(),
        seed: spec.seed,
        seconds,
        load: spec.load,
        ..RunReport::default()
    };
    let timeline = match spec.policy {
        Policy::Chervilshunt => run_core(spec, schedule, Mechanisms::default(), &mut report),
        Policy::Without(mechanism) => run_core(spec, schedule, without(mechanism), &mut report),
        Policy::Lru => run_baseline(spec, schedule, PlacementRule::Holders, &mut report),
        Policy::LeastOutstanding => {
            run_baseline(spec, schedule, PlacementRule::LeastOutstanding, &mut report)
        }
        Policy::Static => run_baseline(spec, schedule, PlacementRule::Hash, &mut report),
        Policy::Clairvoyant | Policy::Informed => {
            let sizes = spec.sizes();
            let trace = Trace::generate(&sizes, spec.scenario, &schedule, spec.seed);
            if spec.policy == Policy::Clairvoyant {
                clairvoyant::fill(&mut report, &sizes, spec.scenario, &schedule, &trace);
            } else {
                informed::fill(&mut report, &sizes, &schedule, &trace);
            }
            String::new()
        }
    };
    (report, timeline)
}

fn run_core(
    spec: RunSpec,
    schedule: Schedule,
    mechanisms: Mechanisms,
    report: &mut RunReport,
) -> String {
    let mut world = World::new(spec.sizes(), spec.scenario, schedule, spec.seed);
    let mut policy = CorePolicy::new(&mut world, mechanisms, spec.seed);
    world.run(|world, input| policy.handle(world, input));
    world.report(report);
    world.timeline()
}

fn run_baseline(
    spec: RunSpec,
    schedule: Schedule,
    choice: PlacementRule,
    report: &mut RunReport,
) -> String {
    let mut world = World::new(spec.sizes(), spec.scenario, schedule, spec.seed);
    let mut policy = Baseline::new(&world, choice);
    world.run(|world, input| policy.handle(world, input));
    world.report(report);
    world.timeline()
}

fn without(mechanism: Mechanism) -> Mechanisms {
    let mut on = Mechanisms::default();
    match mechanism {
        Mechanism::Spread => on.spread = false,
        Mechanism::CostEviction => on.cost_eviction = false,
        Mechanism::Urgency => on.urgency = false,
        Mechanism::Fairness => on.fairness = false,
        Mechanism::Fill => on.fill = false,
        Mechanism::Prefix => on.prefix = false,
        Mechanism::Ahead => on.ahead = false,
        Mechanism::Packing => on.packing = false,
    }
    on
}
