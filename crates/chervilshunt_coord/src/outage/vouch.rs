//! Collects the vouches without which no lease may be marked lapsed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};

use super::message::HoldMessage;
use crate::config::{Elector, Electorate};
use crate::holder::Holder;

/// How long an unanswered question for a vouch is waited for.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// What is to be done for vouches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VouchAction {
    /// Send a question to an instance, which may be this one.
    Send(InstanceId, HoldMessage),
}

/// The vouches about one holder whose lease has run out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Case {
    /// The electorates that the holder may count on; each needs a majority.
    electorates: Vec<Electorate>,
    asked: BTreeMap<u64, (Elector, Moment)>,
    vouched_until: BTreeMap<Elector, Moment>,
    ask_at: Moment,
}

/// Collects vouches about holders whose lease has run out.
///
/// Once, at one moment, a majority of the holder's electors had no promise outstanding, the holder
/// is not extending its lease and never can again without the platform: its extension needs a
/// majority of promises at every moment, and the two majorities would share an elector.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vouching {
    cases: BTreeMap<Holder, Case>,
    number: u64,
}

impl Vouching {
    /// Starts without a holder to collect vouches about.
    ///
    /// Questions are numbered from `first_number`, which should be drawn at random.
    pub const fn new(first_number: u64) -> Self {
        Self {
            cases: BTreeMap::new(),
            number: first_number,
        }
    }

    /// Begins, or goes on, to collect vouches about a holder.
    pub fn begin(&mut self, holder: Holder, electorates: Vec<Electorate>, now: Moment) {
        let case = self.cases.entry(holder).or_insert_with(|| Case {
            electorates: Vec::new(),
            asked: BTreeMap::new(),
            vouched_until: BTreeMap::new(),
            ask_at: now,
        });
        case.electorates = electorates;
    }

    /// Ends the collection, as the holder has renewed its lease or it has ended.
    pub fn end(&mut self, holder: &Holder) {
        self.cases.remove(holder);
    }

    /// Returns when [`Self::ask`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.cases.values().map(|case| case.ask_at).min()
    }

    /// Asks the electors, if it is time.
    pub fn ask(&mut self, now: Moment) -> Vec<VouchAction> {
        let mut actions = Vec::new();
        for (holder, case) in &mut self.cases {
            if now < case.ask_at {
                continue;
            }
            case.ask_at = now + ASK_EVERY;
            case.asked
                .retain(|_, (_, at)| now.since(*at) < ASK_EVERY * 4);
            let electors: BTreeSet<_> = case
                .electorates
                .iter()
                .flat_map(|electorate| &electorate.electors)
                .cloned()
                .collect();
            for elector in electors {
                self.number = self.number.wrapping_add(1);
                let message = HoldMessage::AskVouch {
                    number: self.number,
                    address: elector.address,
                    about: holder.clone(),
                };
                actions.push(VouchAction::Send(elector.instance.clone(), message));
                case.asked.insert(self.number, (elector, now));
            }
        }
        actions
    }

    /// Takes the answer of an elector; returns whether a majority of each electorate now vouches.
    ///
    /// `dead` are the instances that the platform's list has long ceased to show; their promises
    /// have run out.
    pub fn answered(
        &mut self,
        about: &Holder,
        number: u64,
        for_ms: u64,
        dead: impl Fn(&InstanceId) -> bool,
        now: Moment,
    ) -> bool {
        let Some(case) = self.cases.get_mut(about) else {
            return false;
        };
        let Some((elector, asked_at)) = case.asked.remove(&number) else {
            return false;
        };
        let until = asked_at + Duration::from_millis(for_ms);
        case.vouched_until.insert(elector, until);
        let vouches = |elector: &Elector| {
            let until = case.vouched_until.get(elector);
            until.is_some_and(|until| now < *until) || dead(&elector.instance)
        };
        case.electorates.iter().all(|electorate| {
            let vouching = electorate
                .electors
                .iter()
                .filter(|elector| vouches(elector));
            vouching.count() * 2 > electorate.electors.len()
        })
    }
}
