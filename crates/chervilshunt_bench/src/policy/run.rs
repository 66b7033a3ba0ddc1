//! One run of one policy.

use chervilshunt_core::{Mechanisms, PolicyWeights};

use super::baseline::{Baseline, PlacementRule};
use super::core_policy::CorePolicy;
use super::deployment::{DeploymentKind, Sizes};
use super::metrics::RunReport;
use super::scenario::{Scenario, Schedule};
use super::workload::Trace;
use super::world::World;
use super::{clairvoyant, informed};

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The product.
    Chervilshunt,
    /// Least recently used eviction, least outstanding holder, first come first served.
    Lru,
    /// The same, but the target is the least outstanding one whatever it holds.
    LeastOutstanding,
    /// The same, but the target is the one that the adapter's hash names.
    Static,
    /// A lower bound on stalls, from knowing the trace.
    Clairvoyant,
    /// A lower bound on stalls, from knowing how popular each adapter is but not the trace.
    Informed,
    /// The product with one mechanism switched off.
    Without(Mechanism),
}

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Holding an adapter on several targets.
    Spread,
    /// Eviction by the expected cost of loading again.
    CostEviction,
    /// Turns to load by urgency.
    Urgency,
    /// Sharing permits between callers.
    Fairness,
    /// Filling batches with deferrable work.
    Fill,
    /// Affinity to cached prefixes.
    Prefix,
    /// Loads ahead of demand.
    Ahead,
    /// Spare power to few targets.
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

/// What one run is of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSpec {
    /// The deployment.
    pub deployment: DeploymentKind,
    /// The policy.
    pub policy: Policy,
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of everything random.
    pub seed: u64,
    /// Virtual seconds; the scenario's usual length if none.
    pub seconds: Option<u64>,
    /// By how much the rates of all requests are multiplied.
    pub load: f64,
    /// What is minded most; the deployment's own weights if none.
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

/// Runs one policy in virtual time.
pub fn run_policy(spec: RunSpec) -> RunReport {
    run_timeline(spec).0
}

/// Runs one policy in virtual time and tells also what happened in each minute, as
/// comma-separated values; a bound has none.
pub fn run_timeline(spec: RunSpec) -> (RunReport, String) {
    let seconds = spec.seconds.unwrap_or(spec.scenario.usual_seconds());
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
