//! The instances that report to the placer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::Peer;
use chervilshunt_model::{InstanceId, Moment, ServiceName, ZoneName};
use rand::seq::{IteratorRandom as _, SliceRandom as _};

use crate::peers::TransitOffer;

/// Time without a report after which an instance counts as gone, together with its requests:
/// several times the reporting interval.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a report after which an instance may be cut off: it has missed three.
const QUIET_AFTER: Duration = Duration::from_millis(1_300);
/// Time for which an instance that does not report counts as absent. An instance that was replaced
/// never reports again.
const ABSENT_FOR: Duration = Duration::from_secs(30);

/// What an instance reports about itself.
#[derive(Clone, Debug)]
pub(super) struct InstanceStatus {
    /// Address for messages from peers.
    pub(super) address: SocketAddr,
    /// Whether the platform answered the instance's last call.
    pub(super) reaches_platform: bool,
    /// Its share of a processor core.
    pub(super) processor_share: f32,
    /// Its availability zone, if it has reported one.
    pub(super) zone: Option<ZoneName>,
    /// The services whose targets it does not reach.
    pub(super) cut_off: Vec<ServiceName>,
    /// Whether it needs other instances to pass on its requests.
    pub(super) needs_transit: bool,
}

impl InstanceStatus {
    /// Returns whether the instance may pass on requests for all services. One that reports no zone
    /// is older than requests in transit.
    fn is_able(&self) -> bool {
        self.zone.is_some() && self.cut_off.is_empty()
    }

    fn offer(&self, instance: &InstanceId, zone: Option<&ZoneName>) -> TransitOffer {
        TransitOffer {
            instance: instance.clone(),
            address: self.address,
            is_near: self.zone.as_ref() == zone,
        }
    }

    /// Returns the given instance as a peer at the reported address.
    pub(super) fn peer(&self, instance: &InstanceId) -> Peer {
        Peer {
            instance: instance.clone(),
            address: self.address,
        }
    }
}

/// The instances that report to the placer.
#[derive(Debug, Default)]
pub(super) struct Presence {
    instances: HashMap<InstanceId, (InstanceStatus, Moment)>,
    /// Instances that stopped reporting, with the times at which that was noticed.
    absent: HashMap<InstanceId, Moment>,
    deputy: Option<InstanceId>,
    /// The instance that reported last and reaches all services.
    last_able: Option<InstanceId>,
}

impl Presence {
    /// Records a report.
    pub(super) fn record_report(
        &mut self,
        instance: &InstanceId,
        status: InstanceStatus,
        now: Moment,
    ) {
        self.absent.remove(instance);
        if status.is_able() {
            self.last_able = Some(instance.clone());
        }
        self.instances.insert(instance.clone(), (status, now));
    }

    /// Removes instances that have not reported in time and returns them.
    pub(super) fn remove_unreachable(&mut self, now: Moment) -> Vec<InstanceId> {
        let unreachable = self
            .instances
            .extract_if(|_, (_, at)| now.since(*at) > REPORT_TIMEOUT);
        let unreachable: Vec<_> = unreachable.map(|(instance, _)| instance).collect();
        let absent = unreachable.iter().map(|instance| (instance.clone(), now));
        self.absent.extend(absent);
        self.absent
            .retain(|_, since| now.since(*since) < ABSENT_FOR);
        unreachable
    }

    /// Returns the part of the instances, from 0 to 1, that stopped reporting and may still run.
    pub(super) fn absent_part(&self, now: Moment) -> f64 {
        let reports = self.instances.values();
        let quiet = reports.filter(|(_, at)| now.since(*at) > QUIET_AFTER);
        let all = self.absent.len() + self.count() as usize;
        (self.absent.len() + quiet.count()) as f64 / all as f64
    }

    /// Returns all known instances.
    pub(super) fn peers(&self) -> impl Iterator<Item = Peer> {
        self.instances
            .iter()
            .map(|(instance, (status, _))| status.peer(instance))
    }

    /// Returns up to `most` random instances that reach the platform.
    pub(super) fn with_platform_access(&self, most: usize) -> Vec<Peer> {
        let reaching = self
            .instances
            .iter()
            .filter(|(_, (it, _))| it.reaches_platform);
        let peers = reaching.map(|(instance, (status, _))| status.peer(instance));
        peers.choose_multiple(&mut rand::rng(), most)
    }

    /// Returns what an instance has reported last.
    pub(super) fn status(&self, instance: &InstanceId) -> Option<&InstanceStatus> {
        self.instances.get(instance).map(|(status, _)| status)
    }

    /// Returns up to `most` instances that may pass on the requests of another one in `zone`: those
    /// that reach all services, in the same zone first.
    ///
    /// If none does, those are returned that reach a service which the other one does not reach.
    pub(super) fn transit_offers(
        &self,
        instance: &InstanceId,
        zone: Option<&ZoneName>,
        cut_off: &[ServiceName],
        most: usize,
    ) -> Vec<TransitOffer> {
        let others = self.instances.iter().filter(|(id, _)| *id != instance);
        let others: Vec<(&InstanceId, &InstanceStatus)> =
            others.map(|(id, (status, _))| (id, status)).collect();
        let mut able: Vec<_> = others.clone();
        able.retain(|(_, it)| it.is_able());
        if able.is_empty() {
            able = others;
            able.retain(|(_, it)| {
                it.zone.is_some() && cut_off.iter().any(|service| !it.cut_off.contains(service))
            });
        }
        able.shuffle(&mut rand::rng());
        able.sort_by_key(|(_, it)| it.zone.as_ref() != zone);
        let offers = able.into_iter().take(most);
        offers.map(|(id, status)| status.offer(id, zone)).collect()
    }

    /// Returns an instance that another one in `zone` should know of: the one that reported before
    /// it. It takes the same time however many there are, since every report is answered with one.
    pub(super) fn offer_to_know(
        &self,
        to: &InstanceId,
        zone: Option<&ZoneName>,
    ) -> Option<TransitOffer> {
        let last = self.last_able.as_ref().filter(|it| *it != to)?;
        let (status, _) = self.instances.get(last)?;
        status.is_able().then(|| status.offer(last, zone))
    }

    /// Returns whether another instance reaches the targets of a service.
    pub(super) fn is_reached(&self, service: &ServiceName) -> bool {
        let mut statuses = self.instances.values();
        statuses.any(|(status, _)| !status.cut_off.contains(service))
    }

    /// Returns the largest share of a processor core among the other instances.
    pub(super) fn largest_share(&self) -> f32 {
        let shares = self
            .instances
            .values()
            .map(|(status, _)| status.processor_share);
        shares.fold(0.0, f32::max)
    }

    /// Returns the instance that keeps the account of teams' quotas after the placer: the one named
    /// before while it reports, since all instances have to name the same one.
    pub(super) fn deputy(&mut self) -> Option<Peer> {
        let named = self.deputy.as_ref();
        if named.is_none_or(|it| !self.instances.contains_key(it)) {
            let by_share =
                |(a_id, (a, _)): &(&InstanceId, &(InstanceStatus, Moment)),
                 (b_id, (b, _)): &(&InstanceId, &(InstanceStatus, Moment))| {
                    let by_share = a.processor_share.total_cmp(&b.processor_share);
                    by_share.then_with(|| b_id.cmp(a_id))
                };
            let largest = self.instances.iter().max_by(by_share);
            self.deputy = largest.map(|(instance, _)| instance.clone());
        }
        let named = self.deputy.as_ref()?;
        let (status, _) = self.instances.get(named)?;
        Some(status.peer(named))
    }

    /// Returns the number of instances, including the placer's own.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.instances.len() + 1).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
