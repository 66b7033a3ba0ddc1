//! The kinds of faults, and how each is drawn, injected and healed.

use chervilshunt_standin::fleet::{Fleet, FleetError, Link, LinkMode};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Number of instances that faults must leave unaffected, so that load can continue.
const MIN_UNAFFECTED_INSTANCES: usize = 2;

/// The kinds of faults that can be injected into a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FaultKind {
    /// An instance is killed, and later replaced by one with a new id.
    Kill,
    /// An instance is killed and restarted under its own id.
    Restart,
    /// An instance is paused, often for longer than its lease, and resumed.
    Freeze,
    /// An instance is shut down gracefully and replaced by one with a new id.
    Terminate,
    /// The link between two instances is cut.
    CutLink,
    /// The link between two instances accepts bytes and delivers none.
    BlackHole,
    /// All links of an instance are slow.
    SlowLinks,
    /// An instance loses the connections to all its peers.
    LosePeers,
    /// An instance loses the connection to the platform.
    LosePlatform,
    /// An instance loses the connections to its peers and the platform.
    LoseBoth,
    /// The platform refuses connections.
    PlatformDown,
    /// The platform answers 503.
    PlatformUnavailable,
    /// The platform hangs.
    PlatformFrozen,
    /// The platform is slow.
    PlatformSlow,
    /// Responses of the platform are lost after the write took effect.
    LostAnswers,
    /// Watches miss changes and then expire.
    WatchGap,
    /// Reads of the platform are stale.
    StaleReads,
    /// An engine restarts empty.
    EngineRestart,
    /// All engines restart empty.
    AllEnginesRestart,
    /// An engine refuses connections.
    EngineDown,
    /// An engine hangs.
    EngineFrozen,
    /// Half of the adapter loads of all engines fail.
    LoadsFail,
    /// Loads are slow, the responses to orders are lost, and other responses of all engines have
    /// neither a length nor chunks.
    LostOrders,
    /// Streams of an engine are cut off, often inside an event or without a length and chunks.
    CutStreams,
    /// The plain service runs calls and their answers are lost; other answers have neither a length
    /// nor chunks.
    PlainLosesAnswers,
    /// The plain service cuts calls off before running them or while answering, and refuses some.
    PlainCuts,
    /// The least requested adapters become the most requested.
    PopularityShift,
    /// Two operators change the same object concurrently, each at a randomly chosen instance.
    OperatorRace,
}

impl FaultKind {
    pub(crate) const ALL: [Self; 28] = [
        Self::Kill,
        Self::Restart,
        Self::Freeze,
        Self::Terminate,
        Self::CutLink,
        Self::BlackHole,
        Self::SlowLinks,
        Self::LosePeers,
        Self::LosePlatform,
        Self::LoseBoth,
        Self::PlatformDown,
        Self::PlatformUnavailable,
        Self::PlatformFrozen,
        Self::PlatformSlow,
        Self::LostAnswers,
        Self::WatchGap,
        Self::StaleReads,
        Self::EngineRestart,
        Self::AllEnginesRestart,
        Self::EngineDown,
        Self::EngineFrozen,
        Self::LoadsFail,
        Self::LostOrders,
        Self::CutStreams,
        Self::PlainLosesAnswers,
        Self::PlainCuts,
        Self::PopularityShift,
        Self::OperatorRace,
    ];

    /// Parses a name as written in reports.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the name as written in reports.
    pub(crate) fn name(self) -> String {
        let name = serde_json::to_value(self).unwrap_or_default();
        name.as_str().unwrap_or_default().to_owned()
    }
}

/// A fault and what it applies to.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    /// The names of the affected instances or targets; empty for faults of the platform or load.
    pub(crate) subjects: Vec<String>,
}

impl Fault {
    /// Draws what a fault applies to, avoiding for most faults of instances those in `taken`.
    ///
    /// Returns `None` if the fault would leave fewer than [`MIN_UNAFFECTED_INSTANCES`] instances
    /// unaffected.
    pub(crate) fn draw(
        kind: FaultKind,
        fleet: &Fleet,
        taken: &[String],
        rng: &mut ChaCha8Rng,
    ) -> Option<Self> {
        let ids: Vec<_> = fleet
            .ready_instances()
            .into_iter()
            .map(|(id, _)| id)
            .collect();
        let free: Vec<_> = ids
            .iter()
            .filter(|id| !taken.contains(id))
            .cloned()
            .collect();
        let engines: Vec<_> = names(fleet, "engine");
        let subjects = match kind {
            FaultKind::CutLink | FaultKind::BlackHole => pick(&ids, 2, rng),
            FaultKind::Kill
            | FaultKind::Restart
            | FaultKind::Freeze
            | FaultKind::Terminate
            | FaultKind::SlowLinks
            | FaultKind::LosePeers
            | FaultKind::LosePlatform
            | FaultKind::LoseBoth => {
                if free.len() <= MIN_UNAFFECTED_INSTANCES {
                    return None;
                }
                pick(&free, 1, rng)
            }
            FaultKind::EngineRestart
            | FaultKind::EngineDown
            | FaultKind::EngineFrozen
            | FaultKind::CutStreams => pick(&engines, 1, rng),
            FaultKind::AllEnginesRestart | FaultKind::LoadsFail | FaultKind::LostOrders => engines,
            FaultKind::PlainLosesAnswers | FaultKind::PlainCuts => names(fleet, "desk"),
            FaultKind::PlatformDown
            | FaultKind::PlatformUnavailable
            | FaultKind::PlatformFrozen
            | FaultKind::PlatformSlow
            | FaultKind::LostAnswers
            | FaultKind::WatchGap
            | FaultKind::StaleReads
            | FaultKind::PopularityShift
            | FaultKind::OperatorRace => Vec::new(),
        };
        Some(Self { kind, subjects })
    }

    /// Returns whether the fault stops its instances or cuts them off from peers or the platform.
    pub(crate) const fn disables_instances(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Kill
                | FaultKind::Restart
                | FaultKind::Freeze
                | FaultKind::Terminate
                | FaultKind::LosePeers
                | FaultKind::LosePlatform
                | FaultKind::LoseBoth
        )
    }

    /// Sets fault switches of stand-ins and link modes, and pauses instances.
    ///
    /// Faults that need more are completed by [`Run`].
    ///
    /// [`Run`]: super::run::Run
    pub(crate) async fn inject(
        &self,
        fleet: &Fleet,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), FleetError> {
        let (first, second) = (self.subjects.first(), self.subjects.get(1));
        let slow = LinkMode::Delay(Duration::from_millis(rng.random_range(50..400)));
        match (self.kind, first, second) {
            (FaultKind::CutLink, Some(a), Some(b)) => {
                fleet.set_link(Link::between(a, b), LinkMode::Cut)
            }
            (FaultKind::BlackHole, Some(a), Some(b)) => {
                fleet.set_link(Link::between(a, b), LinkMode::BlackHole);
            }
            (FaultKind::SlowLinks, Some(id), _) => fleet.set_link(Link::all_of(id), slow),
            (FaultKind::LosePeers | FaultKind::LoseBoth, Some(id), _) => {
                fleet.set_link(Link::all_of(id), LinkMode::Cut);
            }
            (FaultKind::Freeze, Some(id), _) => fleet.freeze(id)?,
            _ => {}
        }
        for (standin, switches) in self.switches(rng) {
            fleet.set_faults(&standin, switches).await?;
        }
        Ok(())
    }

    fn switches(&self, rng: &mut ChaCha8Rng) -> Vec<(String, Value)> {
        let platform = |switches| vec![("platform".to_owned(), switches)];
        let each = |switches: Value| {
            let on = self.subjects.iter();
            on.map(|name| (name.clone(), switches.clone())).collect()
        };
        let some = rng.random_range(1..4);
        match self.kind {
            FaultKind::LosePlatform | FaultKind::LoseBoth => {
                platform(json!({"cut": self.subjects}))
            }
            FaultKind::PlatformDown => platform(json!({"down": "refuse"})),
            FaultKind::PlatformUnavailable => platform(json!({"down": "unavailable"})),
            FaultKind::PlatformFrozen => platform(json!({"freeze": true})),
            FaultKind::PlatformSlow => platform(json!({"slow_ms": rng.random_range(100..1_500)})),
            FaultKind::LostAnswers => platform(json!({"lose_answer_after_write": some * 2})),
            FaultKind::WatchGap => platform(json!({"watch_gap": some, "expire_watches": true})),
            FaultKind::StaleReads => platform(json!({"stale_reads": some, "stale_gets": some})),
            FaultKind::EngineRestart | FaultKind::AllEnginesRestart => {
                each(json!({"restart": true}))
            }
            FaultKind::EngineDown => each(json!({"down": true})),
            FaultKind::EngineFrozen => each(json!({"freeze": true})),
            FaultKind::LoadsFail => each(json!({"load_fails": 0.5})),
            FaultKind::LostOrders => {
                each(json!({"lose_order_answers": true, "load_slow_ms": 300, "unframed": true}))
            }
            FaultKind::CutStreams => each(json!({
                "cut_after_tokens": some, "cut_inside_event": some > 1, "unframed": some > 2,
            })),
            FaultKind::PlainLosesAnswers => {
                each(json!({"lose_answers": some * 3, "unframed": true}))
            }
            FaultKind::PlainCuts => {
                each(json!({"cut_before_run": some, "cut_answers": some, "refuse": some}))
            }
            FaultKind::Kill
            | FaultKind::Restart
            | FaultKind::Freeze
            | FaultKind::Terminate
            | FaultKind::CutLink
            | FaultKind::BlackHole
            | FaultKind::SlowLinks
            | FaultKind::LosePeers
            | FaultKind::PopularityShift
            | FaultKind::OperatorRace => Vec::new(),
        }
    }
}

/// Resets every fault switch and link, and resumes every paused instance.
pub(crate) async fn heal(fleet: &Fleet) -> Result<(), FleetError> {
    fleet.heal_links();
    for id in fleet.instances().keys() {
        fleet.thaw(id)?;
    }
    let platform = json!({
        "down": "no", "slow_ms": 0, "lose_answer_after_write": 0, "watch_gap": 0,
        "expire_watches": false, "stale_reads": 0, "stale_gets": 0, "freeze": false, "cut": [],
    });
    fleet.set_faults("platform", platform).await?;
    for engine in names(fleet, "engine") {
        let switches = json!({
            "down": false, "freeze": false, "load_fails": 0.0, "load_slow_ms": 0,
            "lose_order_answers": false, "cut_after_tokens": -1, "cut_inside_event": false,
            "unframed": false,
        });
        fleet.set_faults(&engine, switches).await?;
    }
    for desk in names(fleet, "desk") {
        let switches = json!({
            "lose_answers": 0, "cut_before_run": 0, "cut_answers": 0, "refuse": 0,
            "unframed": false,
        });
        fleet.set_faults(&desk, switches).await?;
    }
    Ok(())
}

fn names(fleet: &Fleet, prefix: &str) -> Vec<String> {
    let names = fleet.targets().keys();
    names
        .filter(|name| name.starts_with(prefix))
        .cloned()
        .collect()
}

fn pick(names: &[String], count: usize, rng: &mut ChaCha8Rng) -> Vec<String> {
    names.choose_multiple(rng, count).cloned().collect()
}
