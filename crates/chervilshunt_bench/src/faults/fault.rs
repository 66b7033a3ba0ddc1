//! The faults: how each is drawn, injected and healed.

use chervilshunt_standin::fleet::{Fleet, FleetError, Link, LinkMode};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Instances that have to stay untouched, so that load goes on.
const SPARED: usize = 2;

/// What can be done to a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// An instance is killed; later one under a new id takes its place.
    Kill,
    /// An instance is killed and starts again under its own id.
    Restart,
    /// An instance is paused for longer than its lease, and wakes.
    Freeze,
    /// An instance is asked to end; one under a new id takes its place.
    Terminate,
    /// The link between two instances is cut.
    CutLink,
    /// The link between two instances takes bytes and carries none.
    BlackHole,
    /// All links of an instance are slow.
    SlowLinks,
    /// An instance loses all its peers.
    LosePeers,
    /// An instance loses the platform.
    LosePlatform,
    /// An instance loses its peers and the platform.
    LoseBoth,
    /// The platform refuses connections.
    PlatformDown,
    /// The platform answers 503.
    PlatformUnavailable,
    /// The platform hangs.
    PlatformFrozen,
    /// The platform is slow.
    PlatformSlow,
    /// Answers of the platform are lost after the write took effect.
    LostAnswers,
    /// Watches miss changes, then expire.
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
    /// Half of the loads of all engines fail.
    LoadsFail,
    /// Loads are slow, and orders' answers are lost.
    LostOrders,
    /// Streams of an engine break off.
    CutStreams,
    /// The plain service runs calls and loses their answers.
    PlainLosesAnswers,
    /// The plain service cuts calls off before and while it answers.
    PlainCuts,
    /// The coldest adapters turn into the busiest.
    PopularityShift,
    /// Two operators change the same objects at once, at two instances.
    OperatorRace,
}

impl Kind {
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

    /// Reads a name as reports write it.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the name that reports write.
    pub(crate) fn name(self) -> String {
        let name = serde_json::to_value(self).unwrap_or_default();
        name.as_str().unwrap_or_default().to_owned()
    }
}

/// A fault in force, with what it was done to.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    /// Instances or targets, by name.
    pub(crate) on: Vec<String>,
}

impl Fault {
    /// Draws what a fault is done to, away from the instances that other faults hold.
    ///
    /// Returns nothing if too few instances are left.
    pub(crate) fn draw(
        kind: Kind,
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
        let on = match kind {
            Kind::CutLink | Kind::BlackHole => pick(&ids, 2, rng),
            Kind::Kill
            | Kind::Restart
            | Kind::Freeze
            | Kind::Terminate
            | Kind::SlowLinks
            | Kind::LosePeers
            | Kind::LosePlatform
            | Kind::LoseBoth => {
                if free.len() <= SPARED {
                    return None;
                }
                pick(&free, 1, rng)
            }
            Kind::EngineRestart | Kind::EngineDown | Kind::EngineFrozen | Kind::CutStreams => {
                pick(&engines, 1, rng)
            }
            Kind::AllEnginesRestart | Kind::LoadsFail | Kind::LostOrders => engines,
            Kind::PlainLosesAnswers | Kind::PlainCuts => names(fleet, "desk"),
            Kind::PlatformDown
            | Kind::PlatformUnavailable
            | Kind::PlatformFrozen
            | Kind::PlatformSlow
            | Kind::LostAnswers
            | Kind::WatchGap
            | Kind::StaleReads
            | Kind::PopularityShift
            | Kind::OperatorRace => Vec::new(),
        };
        Some(Self { kind, on })
    }

    /// Says whether the fault takes its instances out of reach of each other.
    pub(crate) const fn holds_instances(&self) -> bool {
        matches!(
            self.kind,
            Kind::Kill
                | Kind::Restart
                | Kind::Freeze
                | Kind::Terminate
                | Kind::LosePeers
                | Kind::LosePlatform
                | Kind::LoseBoth
        )
    }

    /// Throws switches of a stand-in or cuts a link; what needs more is done by the run.
    pub(crate) async fn inject(
        &self,
        fleet: &Fleet,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), FleetError> {
        let (first, second) = (self.on.first(), self.on.get(1));
        let slow = LinkMode::Delay(Duration::from_millis(rng.random_range(50..400)));
        match (self.kind, first, second) {
            (Kind::CutLink, Some(a), Some(b)) => fleet.set_link(Link::between(a, b), LinkMode::Cut),
            (Kind::BlackHole, Some(a), Some(b)) => {
                fleet.set_link(Link::between(a, b), LinkMode::BlackHole);
            }
            (Kind::SlowLinks, Some(id), _) => fleet.set_link(Link::all_of(id), slow),
            (Kind::LosePeers | Kind::LoseBoth, Some(id), _) => {
                fleet.set_link(Link::all_of(id), LinkMode::Cut);
            }
            (Kind::Freeze, Some(id), _) => fleet.freeze(id)?,
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
            let on = self.on.iter();
            on.map(|name| (name.clone(), switches.clone())).collect()
        };
        let some = rng.random_range(1..4);
        match self.kind {
            Kind::LosePlatform | Kind::LoseBoth => platform(json!({"cut": self.on})),
            Kind::PlatformDown => platform(json!({"down": "refuse"})),
            Kind::PlatformUnavailable => platform(json!({"down": "unavailable"})),
            Kind::PlatformFrozen => platform(json!({"freeze": true})),
            Kind::PlatformSlow => platform(json!({"slow_ms": rng.random_range(100..1_500)})),
            Kind::LostAnswers => platform(json!({"lose_answer_after_write": some * 2})),
            Kind::WatchGap => platform(json!({"watch_gap": some, "expire_watches": true})),
            Kind::StaleReads => platform(json!({"stale_reads": some, "stale_gets": some})),
            Kind::EngineRestart | Kind::AllEnginesRestart => each(json!({"restart": true})),
            Kind::EngineDown => each(json!({"down": true})),
            Kind::EngineFrozen => each(json!({"freeze": true})),
            Kind::LoadsFail => each(json!({"load_fails": 0.5})),
            Kind::LostOrders => each(json!({"lose_order_answers": true, "load_slow_ms": 300})),
            Kind::CutStreams => each(json!({"cut_after_tokens": some})),
            Kind::PlainLosesAnswers => each(json!({"lose_answers": some * 3})),
            Kind::PlainCuts => {
                each(json!({"cut_before_run": some, "cut_answers": some, "refuse": some}))
            }
            Kind::Kill
            | Kind::Restart
            | Kind::Freeze
            | Kind::Terminate
            | Kind::CutLink
            | Kind::BlackHole
            | Kind::SlowLinks
            | Kind::LosePeers
            | Kind::PopularityShift
            | Kind::OperatorRace => Vec::new(),
        }
    }
}

/// Takes back every switch and link, and wakes every paused instance.
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
            "lose_order_answers": false, "cut_after_tokens": -1,
        });
        fleet.set_faults(&engine, switches).await?;
    }
    for desk in names(fleet, "desk") {
        let switches = json!({
            "lose_answers": 0, "cut_before_run": 0, "cut_answers": 0, "refuse": 0,
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
