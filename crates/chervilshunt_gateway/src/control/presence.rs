//! The instances that the placer hears of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::Peer;
use chervilshunt_model::{InstanceId, Moment};

/// The silence after which an instance counts as gone, and its requests with it: several times
/// the interval at which instances tell what they use.
const SILENCE: Duration = Duration::from_secs(3);

/// The instances that the placer hears of.
#[derive(Debug, Default)]
pub(super) struct Presence {
    heard: HashMap<InstanceId, (SocketAddr, Moment)>,
}

impl Presence {
    /// Takes note of a sign of life.
    pub(super) fn heard(&mut self, instance: &InstanceId, address: SocketAddr, now: Moment) {
        self.heard.insert(instance.clone(), (address, now));
    }

    /// Forgets silent instances and returns them.
    pub(super) fn forget_silent(&mut self, now: Moment) -> Vec<InstanceId> {
        let silent = self.heard.iter();
        let silent = silent.filter(|(_, (_, at))| now.since(*at) > SILENCE);
        let silent: Vec<InstanceId> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in &silent {
            self.heard.remove(instance);
        }
        silent
    }

    /// Returns all instances that are there.
    pub(super) fn peers(&self) -> impl Iterator<Item = Peer> {
        self.heard.iter().map(|(instance, (address, _))| Peer {
            instance: instance.clone(),
            address: *address,
        })
    }

    /// Returns how many instances are there, the placer's own included.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.heard.len() + 1).unwrap_or(u32::MAX)
    }
}
