//! Collects the acknowledgements of one change.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::InstanceId;

use crate::config::message::ConfigMessage;
use crate::holder::Holder;
use crate::lease::LeaseRecord;

/// The instances that have to acknowledge a change, and the answers received so far.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Acknowledgements {
    /// `None` until the live instances have been listed.
    live: Option<BTreeSet<Holder>>,
    acknowledged: BTreeSet<Holder>,
    refusals: BTreeMap<Holder, String>,
}

impl Acknowledgements {
    /// Sets the live instances from the leases listed after the change was written into the head.
    ///
    /// Leases that record `generation` or a later one count as acknowledgements.
    pub(super) fn set_live(&mut self, leases: &[LeaseRecord], generation: u64) {
        let live = leases.iter().filter(|lease| lease.state.is_live());
        self.live = Some(live.clone().map(|lease| lease.holder.clone()).collect());
        let by_lease = live.filter(|lease| lease.acknowledged >= Some(generation));
        self.acknowledged
            .extend(by_lease.map(|lease| lease.holder.clone()));
    }

    pub(super) fn acknowledge(&mut self, holder: Holder, refusal: Option<String>) {
        match refusal {
            Some(reason) => {
                self.refusals.insert(holder, reason);
            }
            None => {
                self.acknowledged.insert(holder);
            }
        }
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Holder> {
        self.live.iter().flatten()
    }

    /// Returns the live instances that have not answered.
    pub(super) fn missing(&self) -> impl Iterator<Item = &Holder> {
        self.live().filter(|holder| {
            !self.acknowledged.contains(*holder) && !self.refusals.contains_key(*holder)
        })
    }

    /// Returns whether all live instances have acknowledged the change and none has refused.
    pub(super) fn is_complete(&self) -> bool {
        self.live.is_some() && self.refusals.is_empty() && self.missing().next().is_none()
    }

    /// Returns the first live instance that refused, with its reason.
    pub(super) fn refusal(&self) -> Option<(&Holder, &String)> {
        self.refusals
            .iter()
            .find(|(holder, _)| self.live().any(|live| live == *holder))
    }
}

/// Returns the messages to send so that `message` reaches all of `to`.
///
/// Up to `direct_at_most` instances are contacted directly. For larger sets, about the square root
/// of their number act as relays, and each forwards the message to as many others: with 370
/// instances, none contacts more than 40.
pub(super) fn fan_out<C: Clone>(
    message: &ConfigMessage<C>,
    to: &[InstanceId],
    direct_at_most: usize,
) -> Vec<(InstanceId, ConfigMessage<C>)> {
    if to.len() <= direct_at_most {
        return to
            .iter()
            .map(|instance| (instance.clone(), message.clone()))
            .collect();
    }
    let group = to.len().isqrt().max(1);
    let mut sends = Vec::new();
    for instances in to.chunks(group) {
        let Some((relay, rest)) = instances.split_first() else {
            continue;
        };
        sends.push((relay.clone(), message.clone()));
        if !rest.is_empty() {
            let forward = ConfigMessage::Forward {
                to: rest.to_vec(),
                message: Box::new(message.clone()),
            };
            sends.push((relay.clone(), forward));
        }
    }
    sends
}
