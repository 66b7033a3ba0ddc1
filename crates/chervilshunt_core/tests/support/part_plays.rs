//! A model of instances in front of targets that crash on a part of prompts, or with their rack.

use std::collections::{HashMap, HashSet};

use chervilshunt_core::{
    CrashedRun, Fingerprint, PartId, Quarantine, QuarantineConfig, SettlingAnswers, StoredCrashes,
};
use chervilshunt_model::{Moment, TargetName};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

pub(crate) fn part(id: &str) -> Fingerprint {
    PartId::new(id).fingerprint()
}

pub(crate) fn parts(ids: &[&str]) -> Vec<Fingerprint> {
    ids.iter().map(|it| part(it)).collect()
}

pub(crate) fn target(number: usize) -> TargetName {
    TargetName::from(format!("t{number}").as_str())
}

pub(crate) fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineConfig::default())
}

const INSTANCES: usize = 5;
const TARGETS: usize = 9;
const STEP_MS: u64 = 20;
/// Time until an instance knows what another one has recorded.
const TOLD_AFTER_MS: u64 = 200;
/// Time from the beginning of an answer to the crash.
const CRASH_AFTER_MS: u64 = 60;
/// Time that an answer takes.
const ANSWER_MS: u64 = 900;
const RESTART_MS: u64 = 1_500;
const PLAY_MS: u64 = 40_000;

/// The longest time for which a request waits at a target, in plays in which requests wait.
const MAX_WAIT_MS: u64 = 2_000;

/// A request at a target.
#[derive(Clone)]
struct Open {
    instance: usize,
    parts: Vec<Fingerprint>,
    sent: u64,
    /// When the target begins to answer it.
    begins: u64,
    has_begun: bool,
}

/// Whether requests wait at targets, and whether the culprit leaves a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heads {
    /// Targets begin to answer each request at once, and crash a moment later.
    Sent,
    /// Requests wait, and a target crashes before any of the answer has left it.
    Missing,
}

/// Instances, and targets that crash on a part or with their rack.
pub(crate) struct Play {
    rng: ChaCha8Rng,
    culprit: Option<Fingerprint>,
    heads: Heads,
    instances: Vec<(Quarantine, SettlingAnswers)>,
    /// The target at each place, and when it serves again.
    targets: Vec<(TargetName, u64, Vec<Open>)>,
    started: usize,
    /// What instances are told, by the time at which they are.
    told: Vec<(u64, Told)>,
    /// The crashes under the culprit, and the requests with it that were sent.
    pub(crate) crashes: Vec<u64>,
    pub(crate) culprit_sent: Vec<u64>,
    /// How often each part came in sound requests after the fifth crash, first and last, and those that were
    /// sent to targets.
    pub(crate) asked: HashMap<Fingerprint, (usize, u64, u64)>,
    pub(crate) served: HashSet<Fingerprint>,
    pub(crate) refused: usize,
    /// The sound requests, refused or not, from six seconds after the fifth crash on.
    pub(crate) sound: usize,
}

#[derive(Clone)]
enum Told {
    Record(StoredCrashes),
    Released(Fingerprint),
}

impl Play {
    pub(crate) fn new(seed: u64, culprit: Option<&str>, heads: Heads) -> Self {
        let targets = (0..TARGETS).map(|it| (target(it), 0, Vec::new()));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            culprit: culprit.map(part),
            heads,
            instances: (0..INSTANCES)
                .map(|_| (quarantine(), SettlingAnswers::default()))
                .collect(),
            targets: targets.collect(),
            started: TARGETS,
            told: Vec::new(),
            crashes: Vec::new(),
            culprit_sent: Vec::new(),
            asked: HashMap::new(),
            served: HashSet::new(),
            refused: 0,
            sound: 0,
        }
    }

    /// Draws the shared parts of a request: a common one, a subject, and at times a document of the subject.
    fn draw(&mut self, with_culprit: bool) -> Vec<Fingerprint> {
        let subject = self.rng.random_range(0..30);
        let mut drawn = vec![part("common"), part(&format!("s{subject}"))];
        if self.rng.random_ratio(1, 3) {
            drawn.push(part(&format!(
                "s{subject}-d{}",
                self.rng.random_range(0..3)
            )));
        }
        if with_culprit {
            drawn.extend(self.culprit);
        }
        drawn
    }

    pub(crate) fn run(&mut self) {
        let mut now = 0;
        while now < PLAY_MS {
            self.tell(now);
            self.end_answers(now);
            // A rack of three, or all targets, fail for reasons of their own.
            let failing = match self.rng.random_range(0..4_000) {
                0..3 => 3,
                3 => TARGETS,
                _ => 0,
            };
            let mut places: Vec<usize> = (0..TARGETS).collect();
            places.shuffle(&mut self.rng);
            for place in &places[..failing] {
                self.crash(*place, now);
            }
            for _ in 0..2 {
                let with_culprit = self.culprit.is_some() && self.rng.random_ratio(1, 25);
                let drawn = self.draw(with_culprit);
                self.send(drawn, now);
            }
            now += STEP_MS;
        }
    }

    fn send(&mut self, drawn: Vec<Fingerprint>, now: u64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let is_culprit = self.culprit.is_some_and(|it| drawn.contains(&it));
        let fifth = self.crashes.get(4).or(self.crashes.last());
        let counts = !is_culprit && fifth.is_none_or(|it| now > it + 6_000);
        self.sound += usize::from(counts);
        for part in drawn.iter().filter(|_| counts) {
            let asked = self.asked.entry(*part).or_insert((0, now, now));
            *asked = (asked.0 + 1, asked.1, now);
        }
        let known = &mut self.instances[instance].0;
        known.record_request_parts(&drawn);
        let refused = known.refused_parts(&drawn, at(now));
        if !refused.is_empty() {
            // The first instance is the placer.
            let is_tried = instance == 0 && known.try_refused_parts(&refused, at(now));
            if !is_tried {
                self.refused += usize::from(counts);
                return;
            }
        }
        if counts {
            self.served.extend(drawn.iter().copied());
        }
        let serving = self.targets.iter().enumerate();
        let serving: Vec<usize> = serving
            .filter(|(_, (_, from, _))| *from <= now)
            .map(|(place, _)| place)
            .collect();
        let Some(place) = serving.choose(&mut self.rng) else {
            return;
        };
        if is_culprit {
            self.culprit_sent.push(now);
        }
        let wait = match self.heads {
            Heads::Sent => 0,
            Heads::Missing => self.rng.random_range(0..MAX_WAIT_MS),
        };
        self.targets[*place].2.push(Open {
            instance,
            parts: drawn,
            sent: now,
            begins: now + wait,
            has_begun: false,
        });
        self.begin_answers(*place, now);
    }

    /// Begins the answers that are due, but for those that crash the target first.
    fn begin_answers(&mut self, place: usize, now: u64) {
        let (name, _, open) = &mut self.targets[place];
        for it in open
            .iter_mut()
            .filter(|it| !it.has_begun && it.begins <= now)
        {
            let is_culprit = self.culprit.is_some_and(|part| it.parts.contains(&part));
            if self.heads == Heads::Sent || !is_culprit {
                it.has_begun = true;
                let settling = &mut self.instances[it.instance].1;
                settling.began(name, &it.parts, at(now));
            }
        }
    }

    fn end_answers(&mut self, now: u64) {
        let crash_after = match self.heads {
            Heads::Sent => CRASH_AFTER_MS,
            Heads::Missing => 0,
        };
        for place in 0..TARGETS {
            self.begin_answers(place, now);
            let culprit = self.culprit;
            let open = &mut self.targets[place].2;
            let crashes = open.iter().any(|it| {
                culprit.is_some_and(|culprit| it.parts.contains(&culprit))
                    && now >= it.begins + crash_after
            });
            open.retain(|it| now < it.begins + ANSWER_MS);
            if crashes {
                self.crashes.push(now);
                self.crash(place, now);
            }
        }
        for (known, settling) in &mut self.instances {
            // Every target that has not crashed is heard all the time.
            for (drawn, begun_at) in settling.take_settled(at(now), |_| Some(at(now))) {
                for released in known.record_parts_survived(&drawn, begun_at) {
                    known.release(released);
                    self.told
                        .push((now + TOLD_AFTER_MS, Told::Released(released)));
                }
            }
        }
    }

    fn crash(&mut self, place: usize, now: u64) {
        if self.targets[place].1 > now {
            return;
        }
        self.started += 1;
        let next = (target(self.started), now + RESTART_MS, Vec::new());
        let (name, _, open) = std::mem::replace(&mut self.targets[place], next);
        let run = CrashedRun::from(name.clone());
        for (number, (known, settling)) in self.instances.iter_mut().enumerate() {
            settling.connection_ended(&name);
            let mut suspected: Vec<&Open> = open
                .iter()
                .filter(|it| it.instance == number && now <= it.begins + 500)
                .collect();
            suspected.sort_by_key(|it| (!it.has_begun, it.sent));
            for it in suspected {
                for recorded in known.record_part_crash(&it.parts, &run, at(now)) {
                    let stored = known.record_to_store(recorded);
                    let told = stored.map(|it| (now + TOLD_AFTER_MS, Told::Record(it)));
                    self.told.extend(told);
                }
            }
        }
    }

    fn tell(&mut self, now: u64) {
        let (due, later) = self.told.drain(..).partition(|(at, _)| *at <= now);
        self.told = later;
        let due: Vec<(u64, Told)> = due;
        for (_, told) in due {
            for (known, _) in &mut self.instances {
                match &told {
                    Told::Record(stored) => {
                        known.merge_stored(stored.clone(), at(now));
                    }
                    Told::Released(part) => {
                        known.release(*part);
                    }
                }
            }
        }
    }
}
