//! Finds instances that pass on this one's requests, and offers them to others.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::{Peer, Reply};
use chervilshunt_model::InstanceId;

use super::actor::Control;
use super::presence::InstanceStatus;
use crate::peers::{PeerMessage, TransitOffer};
use crate::transit::TransitRoute;

/// Maximum number of instances that are offered to one.
const MAX_OFFERS: usize = 4;
/// Number of offers below which the placer also offers itself. It has more to do than others.
const MIN_OTHERS: usize = 2;
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

    /// Returns instances that may pass on the requests of one that has reported that it needs that.
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
    pub(super) fn offer_transit_to_self(&self) {
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

    /// Uses the deputy if this instance needs its requests passed on, and no placer offers others.
    pub(super) fn use_deputy_for_transit(&self) {
        let now = self.now();
        if self.shared.transit_routes.is_available(now)
            || !self.shared.is_placer_silent(now)
            || !self.shared.dispatch().needs_transit(now)
        {
            return;
        }
        let deputy = self.shared.deputy.load_full();
        let offer = deputy.map(|it| TransitOffer {
            instance: it.instance.clone(),
            address: it.address,
            is_near: false,
        });
        self.apply_transit_offers(offer.into_iter().collect());
    }

    /// Asks instances for a ticket that have been offered and are not known yet.
    pub(super) fn apply_transit_offers(&self, offers: Vec<TransitOffer>) {
        let now = self.now();
        for offer in offers {
            if offer.instance == *self.own_id()
                || self.shared.transit_routes.renew(&offer.instance, now)
            {
                continue;
            }
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                let peer = Peer {
                    instance: offer.instance,
                    address: offer.address,
                };
                let answer = shared
                    .mesh
                    .request(&peer, PeerMessage::TransitRequest, TICKET_TIMEOUT)
                    .await;
                match answer {
                    Ok(PeerMessage::TransitTicket(address, ticket)) => {
                        slog::info!(shared.log, "transit route added";
                            "via" => peer.instance.as_str(), "near" => offer.is_near);
                        let now = shared.clock.now();
                        let route =
                            TransitRoute::new(peer.instance, address, ticket, offer.is_near, now);
                        shared.transit_routes.add(route);
                    }
                    // An older version does not know the message.
                    Ok(_) => {}
                    Err(error) => slog::info!(shared.log, "no transit route";
                        "via" => peer.instance.as_str(), "reason" => error.to_string()),
                }
            });
        }
    }

    /// Lets another instance have its requests passed on.
    pub(super) fn issue_ticket(&self, to: &InstanceId, reply: Option<Reply<PeerMessage>>) {
        let Some(reply) = reply.filter(|_| !self.shared.is_stopping()) else {
            return;
        };
        let ticket = self.shared.issued_tickets.issue(to);
        let address = self.shared.settings.addresses.transit;
        if let Err(error) = reply.send(PeerMessage::TransitTicket(address, ticket)) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}
