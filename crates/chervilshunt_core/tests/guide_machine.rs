//! Followers that are told what changes, under random losses, delays, cuts and looks.
//!
//! A platform with objects that change, a placer that sees it and tells followers what has changed and
//! up to where they have to know it, and followers that look for themselves when their guide says so.
//! Messages are lost, doubled, late and out of order; the placer is cut off from the platform, or
//! replaced by another instance, and followers join. Checked after each step: what a follower believes
//! is never older than what it believed before, and is what the platform held at the revision that it
//! takes for seen; and it is behind by no more than the trust that it gives the placer, once it has had
//! a moment to look.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_core::{Continuity, Guide, Pace};
use chervilshunt_model::{Moment, StoreRevision};
use proptest::collection::vec;
use proptest::prelude::*;

const TRUST: Duration = Duration::from_millis(1_000);
const LONGEST_REST: Duration = Duration::from_secs(60);
const FOLLOWERS: usize = 4;
const OBJECTS: u64 = 5;
/// The longest step of time. A follower looks in the step after its guide says so.
const LONGEST_STEP_MS: u64 = 200;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// An object changes.
    Change(u64),
    /// The placer looks at the platform and tells what has changed.
    PlacerLooks,
    /// The placer tells a follower regularly.
    Tell(usize),
    /// A message under way arrives, or is lost, or arrives and stays under way.
    Deliver(usize),
    Lose(usize),
    Double(usize),
    /// The placer reaches the platform, or does not.
    Reach(bool),
    /// Another instance places from now on, with what it knows itself.
    Replace,
    /// A follower starts again and knows nothing.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..=LONGEST_STEP_MS).prop_map(Step::Pass),
        3 => (0..OBJECTS).prop_map(Step::Change),
        4 => Just(Step::PlacerLooks),
        4 => (0..FOLLOWERS).prop_map(Step::Tell),
        6 => (0..64_usize).prop_map(Step::Deliver),
        2 => (0..64_usize).prop_map(Step::Lose),
        1 => (0..64_usize).prop_map(Step::Double),
        1 => any::<bool>().prop_map(Step::Reach),
        1 => Just(Step::Replace),
        1 => (0..FOLLOWERS).prop_map(Step::Restart),
    ]
}

/// What each object was last changed at.
type Picture = BTreeMap<u64, u64>;

fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

#[derive(Clone, Debug)]
enum Message {
    /// Everything up to a revision has been seen at a moment.
    View { changed_at: u64, as_of: Moment },
    /// Changes between two revisions.
    ChangeBatch {
        after: u64,
        up_to: u64,
        changed: Picture,
    },
}

#[derive(Clone, Debug)]
struct Follower {
    guide: Guide,
    believes: Picture,
    /// Since when the guide has wanted a look.
    wants_look_since: Option<Moment>,
}

impl Follower {
    fn new() -> Self {
        Self {
            guide: Guide::new(TRUST, LONGEST_REST),
            believes: Picture::new(),
            wants_look_since: None,
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::View { changed_at, as_of } => self.guide.told(rev(changed_at), as_of),
            Message::ChangeBatch {
                after,
                up_to,
                changed,
            } => {
                self.guide.changed(rev(up_to));
                if self.guide.follows(rev(after), rev(up_to)) == Continuity::Next {
                    for (object, revision) in changed {
                        let known = self.believes.entry(object).or_default();
                        *known = revision.max(*known);
                    }
                    self.guide.caught_up(rev(up_to));
                }
            }
        }
    }
}

struct World {
    now: Moment,
    revision: u64,
    platform: Picture,
    /// When each revision was made.
    made_at: Vec<Moment>,
    placer_reaches: bool,
    placer: Picture,
    placer_seen: u64,
    placer_seen_at: Option<Moment>,
    told: u64,
    followers: Vec<Follower>,
    under_way: Vec<(usize, Message)>,
}

impl World {
    fn new() -> Self {
        let now = Moment::from_millis(50_000);
        Self {
            now,
            revision: 0,
            platform: Picture::new(),
            made_at: vec![now],
            placer_reaches: true,
            placer: Picture::new(),
            placer_seen: 0,
            placer_seen_at: None,
            told: 0,
            followers: vec![Follower::new(); FOLLOWERS],
            under_way: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => self.pass(Duration::from_millis(millis)),
            Step::Change(object) => {
                self.revision += 1;
                self.platform.insert(object, self.revision);
                self.made_at.push(self.now);
            }
            Step::PlacerLooks if self.placer_reaches => self.placer_looks(),
            Step::PlacerLooks => {}
            Step::Tell(follower) => {
                if let Some(as_of) = self.placer_seen_at {
                    let changed_at = self.placer.values().copied().max().unwrap_or(0);
                    let view = Message::View { changed_at, as_of };
                    self.under_way.push((follower, view));
                }
            }
            Step::Deliver(index) => {
                if let Some(index) = index.checked_rem(self.under_way.len()) {
                    let (follower, message) = self.under_way.remove(index);
                    self.followers[follower].take(message);
                }
            }
            Step::Lose(index) => {
                if let Some(index) = index.checked_rem(self.under_way.len()) {
                    self.under_way.remove(index);
                }
            }
            Step::Double(index) => {
                if let Some(index) = index.checked_rem(self.under_way.len()) {
                    let message = self.under_way[index].clone();
                    self.under_way.push(message);
                }
            }
            Step::Reach(reaches) => self.placer_reaches = reaches,
            Step::Replace => {
                // The next placer has looked at everything before it tells anything.
                self.placer_reaches = true;
                self.placer_looks();
                self.told = self.placer.values().copied().max().unwrap_or(0);
            }
            Step::Restart(follower) => {
                self.followers[follower] = Follower::new();
                self.under_way.retain(|(to, _)| *to != follower);
            }
        }
    }

    fn placer_looks(&mut self) {
        let seen = self.placer_seen;
        let changed = self.platform.iter().filter(|(_, at)| **at > seen);
        let changed: Picture = changed.map(|(object, at)| (*object, *at)).collect();
        self.placer_seen = self.revision;
        self.placer_seen_at = Some(self.now);
        self.placer.extend(&changed);
        let up_to = self.placer.values().copied().max().unwrap_or(0);
        let after = std::mem::replace(&mut self.told, up_to);
        if up_to > after {
            for follower in 0..FOLLOWERS {
                let changed = changed.clone();
                let news = Message::ChangeBatch {
                    after,
                    up_to,
                    changed,
                };
                self.under_way.push((follower, news));
            }
        }
    }

    /// Lets time pass; followers look that have wanted to since before.
    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for follower in &mut self.followers {
            let looks = match follower.guide.pace(self.now) {
                Pace::Rest => {
                    follower.wants_look_since = None;
                    false
                }
                Pace::Alone | Pace::Look => follower.wants_look_since.replace(self.now).is_some(),
            };
            if looks {
                follower.believes = self.platform.clone();
                follower.guide.looked(rev(self.revision), self.now);
                follower.wants_look_since = None;
            }
        }
    }

    /// Returns what is wrong with a follower, if anything is.
    fn fault(&self, before: &Follower, follower: &Follower) -> Option<String> {
        let older = before.believes.iter().find(|(object, at)| {
            let known = follower.believes.get(*object);
            known.is_some_and(|known| known < *at)
        });
        if let Some((object, at)) = older {
            return Some(format!("object {object} was known at {at}"));
        }
        // A look comes in the second step after the guide wants it, and the guide wants it once what it
        // was told is older than the trust that it gives.
        let bound = TRUST + Duration::from_millis(2 * LONGEST_STEP_MS);
        let missed: BTreeSet<u64> = self
            .platform
            .iter()
            .filter(|(object, at)| follower.believes.get(*object) != Some(*at))
            .map(|(_, at)| *at)
            .collect();
        let late = missed.iter().find(|revision| {
            let made_at = self.made_at[usize::try_from(**revision).expect("a small number")];
            self.now.since(made_at) > bound
        });
        late.map(|revision| format!("the change at {revision} is missed"))
    }
}

proptest! {
    #[test]
    fn followers_know_what_changes_in_time_and_nothing_older_replaces_it(
        steps in vec(step(), 1..400)
    ) {
        let mut world = World::new();
        for step in steps {
            let before = world.followers.clone();
            let restarted = match step {
                Step::Restart(follower) => Some(follower),
                _ => None,
            };
            world.take(step.clone());
            for (index, (before, follower)) in before.iter().zip(&world.followers).enumerate() {
                // One that has just started is not ready for callers before its first look.
                if restarted == Some(index) || follower.believes.is_empty() {
                    continue;
                }
                let fault = world.fault(before, follower);
                prop_assert!(fault.is_none(), "after {step:?}: {fault:?}, {follower:?}");
            }
        }
    }
}
