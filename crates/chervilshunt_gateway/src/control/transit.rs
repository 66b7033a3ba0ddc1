//! Finds instances that pass on this one's requests, and offers them to others.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_engine::EngineClient;
use chervilshunt_mesh::{Peer, Reply};
use chervilshunt_model::{InstanceId, ServiceName};

use super::actor::Control;
use super::presence::InstanceStatus;
use crate::peers::{PeerMessage, TransitOffer};
use crate::shared::Shared;
use crate::transit::TransitRoute;

/// Maximum number of instances that are offered to one.
const MAX_OFFERS: usize = 4;
/// Number of offers below which the placer also offers itself. It has more to do than others.
const MIN_OTHERS: usize = 2;
/// Number of instances that are remembered for a time without a placer.
const MAX_KNOWN_PEERS: usize = 8;
/// Timeout of the request for a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_millis(300);

impl Control {
    /// Returns what this instance reports about itself.
    pub(super) fn own_status(&self) -> InstanceStatus {
        let now = self.now();
        let dispatch = self.shared.dispatch();
        InstanceStatus {
            address: self.shared.settings.addresses.peers,
            reaches_platform: self.reaches_platform,
            processor_share: self.processor_share(),
            zone: Some(self.shared.settings.instance.zone.clone()),
            cut_off: dispatch
                .cut_off_services()
                .map(|(service, _)| service.clone())
                .collect(),
            needs_transit: dispatch.needs_transit(now),
        }
    }

    /// Returns instances that may pass on the requests of another one, which needs that now.
    pub(super) fn transit_offers(&self, to: &InstanceId) -> Vec<TransitOffer> {
        let Some(placer) = &self.placer else {
            return Vec::new();
        };
        let Some(status) = placer.presence.status(to) else {
            return Vec::new();
        };
        let (zone, cut_off) = (status.zone.as_ref(), &status.cut_off);
        let mut offers = placer
            .presence
            .transit_offers(to, zone, cut_off, MAX_OFFERS);
        let own = self.own_status();
        if offers.len() < MIN_OTHERS && own.cut_off.is_empty() {
            offers.push(TransitOffer {
                instance: self.own_id().clone(),
                address: own.address,
                is_near: own.zone.as_ref() == zone,
            });
        }
        offers
    }

    /// Uses instances that report to this one, the placer, if it needs its requests passed on.
    pub(super) fn offer_transit_to_self(&mut self) {
        let own = self.own_status();
        let Some(placer) = self.placer.as_ref().filter(|_| own.needs_transit) else {
            return;
        };
        let offers = placer.presence.transit_offers(
            self.own_id(),
            own.zone.as_ref(),
            &own.cut_off,
            MAX_OFFERS,
        );
        self.apply_transit_offers(offers);
    }

    /// Asks instances that were offered before, and the deputy, if this instance needs its requests
    /// passed on and has no route: the placer may be gone, or not know yet who is cut off.
    pub(super) fn use_known_peers(&self) {
        let now = self.now();
        if self.shared.transit_routes.is_available(now) || !self.needs_transit() {
            return;
        }
        let deputy = self.shared.deputy.load_full();
        let deputy = deputy.map(|it| TransitOffer {
            instance: it.instance.clone(),
            address: it.address,
            is_near: false,
        });
        self.request_tickets(self.known_peers.iter().cloned().chain(deputy));
    }

    /// Remembers instances that were offered, and asks them for a ticket if this instance needs its
    /// requests passed on.
    pub(super) fn apply_transit_offers(&mut self, offers: Vec<TransitOffer>) {
        for offer in &offers {
            self.known_peers.retain(|it| it.instance != offer.instance);
            self.known_peers.push(offer.clone());
        }
        let surplus = self.known_peers.len().saturating_sub(MAX_KNOWN_PEERS);
        self.known_peers.drain(..surplus);
        if self.needs_transit() {
            self.request_tickets(offers);
        }
    }

    fn needs_transit(&self) -> bool {
        let now = self.now();
        self.shared.dispatch().needs_transit(now)
    }

    /// Asks instances for a ticket that have issued none to this one.
    fn request_tickets(&self, offers: impl IntoIterator<Item = TransitOffer>) {
        let now = self.now();
        for offer in offers {
            if offer.instance == *self.own_id()
                || self.shared.transit_routes.renew(&offer.instance, now)
            {
                continue;
            }
            let lost = self.own_status().cut_off;
            tokio::spawn(request_ticket(Arc::clone(&self.shared), offer, lost));
        }
    }

    /// Lets another instance, which does not reach these services, have its requests passed on.
    pub(super) fn issue_ticket(
        &self,
        to: &InstanceId,
        services: &[ServiceName],
        reply: Option<Reply<PeerMessage>>,
    ) {
        let own = self.own_status();
        let reaches = |service| !own.cut_off.contains(service);
        // Dropping the reply tells the other instance at once that there is no ticket.
        let is_able = !self.shared.is_stopping() && services.iter().all(reaches);
        let Some(reply) = reply.filter(|_| is_able) else {
            return;
        };
        let ticket = self.shared.issued_tickets.issue(to);
        let address = self.shared.settings.addresses.transit;
        if let Err(error) = reply.send(PeerMessage::TransitTicket(address, ticket)) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}

/// Asks an instance for a ticket, to have requests passed on for targets of the lost services.
async fn request_ticket(shared: Arc<Shared>, offer: TransitOffer, lost: Vec<ServiceName>) {
    let peer = Peer {
        instance: offer.instance,
        address: offer.address,
    };
    let message = PeerMessage::TransitRequest(lost);
    match shared.mesh.request(&peer, message, TICKET_TIMEOUT).await {
        Ok(PeerMessage::TransitTicket(address, ticket)) => {
            slog::info!(shared.log, "transit route added";
                "via" => peer.instance.as_str(), "near" => offer.is_near);
            let now = shared.clock.now();
            let client = EngineClient::with_id_header(address, shared.dialect.headers.id_header());
            let route = TransitRoute::new(peer.instance, client, ticket, offer.is_near, now);
            shared.transit_routes.add(route);
        }
        // An older version does not know the message.
        Ok(_) => {}
        Err(error) => slog::info!(shared.log, "no transit route";
            "via" => peer.instance.as_str(), "reason" => error.to_string()),
    }
}
