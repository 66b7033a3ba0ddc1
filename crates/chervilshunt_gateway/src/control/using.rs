//! Reports of this instance to the placer, and dispatch of messages from peers.

use chervilshunt_coord::{ExclusiveLeaseEvent, HeldLease};
use chervilshunt_core::ResidencyEvent;
use chervilshunt_mesh::InboundMessage;
use chervilshunt_model::{InstanceId, StoreRevision};

use super::actor::Control;
use super::presence::InstanceStatus;
use crate::dialect::Kind;
use crate::peers::{PeerMessage, PlatformView};

impl Control {
    /// Reports this instance's open requests to the placer.
    pub(super) fn report_usage(&mut self) {
        let uses = self.shared.dispatch().report_uses();
        let grants = self.shared.grants.open();
        let spent = self.shared.quota_shares().take_unreported();
        let settled = self.shared.retries().take_settled();
        let limits = self.known_limits();
        self.publish_paces();
        if self.placer.is_some() {
            self.plan_rate_limits(&limits);
            let brittle = self.shared.dispatch().brittle_services();
            self.plan(ResidencyEvent::BrittleServices(brittle));
            self.record_spent(&spent);
            self.settle_retries(settled.as_ref());
            self.publish_quota_levels();
            self.publish_queues();
            let me = self.own_id().clone();
            self.plan(ResidencyEvent::UsageReported(me, uses, grants));
            self.apply_own_status();
            self.choose_relays();
            self.offer_transit_to_self();
            self.use_known_peers();
            return;
        }
        if self.shared.is_placer_silent(self.now()) {
            self.shared.set_recorded_by_placer(false);
        }
        self.report_to_deputy(&spent);
        self.use_known_peers();
        let Some(placer) = self.shared.placer.load_full() else {
            return;
        };
        if placer.instance == *self.own_id() {
            return;
        }
        let status = self.own_status();
        let message = PeerMessage::UsageReport {
            address: status.address,
            reaches_platform: status.reaches_platform,
            processor_share: status.processor_share,
            uses,
            grants,
            spent,
            zone: status.zone,
            cut_off: status.cut_off,
            needs_transit: status.needs_transit,
            settled_retries: settled,
        };
        if let Err(error) = self.shared.mesh.send(&placer, message) {
            slog::debug!(self.shared.log, "message to placer not sent"; "reason" => error.to_string());
        }
    }

    /// Handles a message from another instance, or from this instance's own traffic.
    pub(super) fn handle_message(&mut self, message: InboundMessage<PeerMessage>) {
        let InboundMessage {
            from,
            message,
            received_at,
            reply,
        } = message;
        match message {
            PeerMessage::UsageReport {
                address,
                reaches_platform,
                processor_share,
                uses,
                grants,
                spent,
                zone,
                cut_off,
                needs_transit,
                settled_retries,
            } => {
                self.record_spent(&spent);
                self.settle_retries(settled_retries.as_ref());
                let status = InstanceStatus {
                    address,
                    reaches_platform,
                    processor_share,
                    zone,
                    cut_off,
                    needs_transit,
                };
                self.handle_usage_report(&from, status, (uses, grants));
            }
            PeerMessage::PlacementRequest(want, within) => {
                // If the message waited here longer than its request waits for an answer, the load
                // would serve nobody. A placer that is behind would start ever more useless loads
                // and answer no request.
                let Some(within) = within.checked_sub(received_at.elapsed()) else {
                    return slog::info!(self.shared.log, "placement request handled too late"; "peer" => from.as_str());
                };
                let event = |question| ResidencyEvent::PlacementRequested {
                    request_id: question,
                    from,
                    request: want,
                    within,
                };
                self.handle_placement_request(event, reply, None);
            }
            PeerMessage::ChargedPlacementRequest(request, within, charge) => {
                let Some(within) = within.checked_sub(received_at.elapsed()) else {
                    return slog::info!(self.shared.log, "placement request handled too late"; "peer" => from.as_str());
                };
                self.handle_charged_placement(from, request, within, &charge, reply);
            }
            PeerMessage::AdmitRequest(request) => {
                self.handle_admit(&from, request, received_at.elapsed(), reply);
            }
            PeerMessage::Charge(charge) => self.handle_charge(&from, &charge, reply),
            PeerMessage::WithoutPlacer(spent) => {
                let now = self.now();
                if let Some(deputy) = self.deputy_ledger(now) {
                    deputy.record_member(&from, &spent, now);
                }
            }
            PeerMessage::Uncharge(number) => self.handle_uncharge(number),
            PeerMessage::Progress(mut progress) => {
                self.record_streams(std::mem::take(&mut progress.streams));
                self.plan(ResidencyEvent::GrantsProgressed(progress));
            }
            PeerMessage::StreamsBegan(begun) => self.record_streams(begun),
            PeerMessage::StreamOriginRequest(key) => self.answer_stream_origin(key, reply),
            PeerMessage::NotHeld(target, weights) => {
                self.plan(ResidencyEvent::NotHeld(target, weights));
            }
            PeerMessage::Unreachable(target) => {
                self.plan(ResidencyEvent::Unreachable(from, target));
            }
            PeerMessage::RateLimit(report) => self.handle_limit_report(&report, &from),
            PeerMessage::SendPermitRequest(target, within) => {
                self.handle_send_permit(&target, within, reply);
            }
            PeerMessage::RetryRequest(service) => self.handle_retry_request(&service, &from, reply),
            PeerMessage::Leaving(target, started) => self.handle_leaving(&target, started, &from),
            PeerMessage::Snapshots(snapshots) => self.handle_snapshots(&from, snapshots),
            PeerMessage::PlacerStatus {
                knows_targets,
                estimates,
                instances,
                platform,
                lease,
                deputy,
                limits,
                transit,
                admits,
                grants_retries,
                records_streams,
            } if self.is_placer(&from) => {
                self.tell_restarted_placer(&from);
                self.shared.set_placer_admits(admits);
                self.shared.set_placer_grants_retries(grants_retries);
                self.shared.set_retry_ledger(lease.map(|it| it.term));
                self.shared.set_recorded_by_placer(records_streams);
                self.apply_transit_offers(transit);
                self.apply_deputy(deputy);
                for report in &limits {
                    self.apply_limit(report, "placer");
                }
                self.estimates = estimates.or(self.estimates);
                self.handle_holder_report(lease, platform);
                self.apply_status(knows_targets, instances);
            }
            PeerMessage::Changed(batch) if self.is_placer(&from) => self.apply_batch(batch),
            PeerMessage::TransitRequest(services) => self.issue_ticket(&from, &services, reply),
            PeerMessage::RelayLeaseCall(call) => self.call_lease_for_placer(call, reply),
            PeerMessage::RelayRead(read) => self.read_for_placer(read, reply),
            // The sender is no longer the placer, or is not known as the placer yet.
            PeerMessage::PlacerStatus { .. }
            | PeerMessage::Changed(_)
            | PeerMessage::PlacementAnswer(..)
            | PeerMessage::ChargedPlacementAnswer(..)
            | PeerMessage::ChargeAnswer(..)
            | PeerMessage::AdmitAnswer(_)
            | PeerMessage::SendPermitAnswer(_)
            | PeerMessage::RetryAnswer(_)
            | PeerMessage::TransitTicket(..)
            | PeerMessage::StreamOriginAnswer(_)
            | PeerMessage::LeaseCallResult(_)
            | PeerMessage::ReadResult(..) => {}
        }
    }

    /// Handles the loss of a connection; messages that the placer sent meanwhile are lost.
    pub(super) fn peer_lost(&mut self, peer: &InstanceId) {
        if self.placer.is_some() {
            // The instance has most likely ended, and its requests with it. One that is alive
            // reports its open requests again within half a second.
            self.plan(ResidencyEvent::InstanceGone(peer.clone()));
        }
        self.keeper_lost(peer);
        if self.is_placer(peer) {
            self.shared.dispatch().placer_lost();
            self.shared.set_placer_lost();
            self.follow_modes.placer_lost();
        }
    }

    /// Applies whether the placer is placing, and the number of instances.
    pub(super) fn apply_status(&self, knows_targets: bool, instances: u32) {
        let now = self.now();
        self.shared.set_placer_heard();
        self.shared
            .dispatch()
            .placer_status_reported(knows_targets, now);
        if knows_targets {
            self.shared.set_placer_decided();
        }
        self.shared.set_instances(instances as usize);
    }

    /// Applies the placer's report of its lease and its view of the platform.
    fn handle_holder_report(&mut self, lease: Option<HeldLease>, platform: Option<PlatformView>) {
        let now = self.now();
        if let Some(lease) = lease.filter(|it| self.keeper.term() == Some(it.term)) {
            self.lease_event(ExclusiveLeaseEvent::HolderReported(lease));
            self.follow_modes
                .guide(Kind::Lease)
                .notified(StoreRevision::default(), now, now);
        }
        if let Some(view) = platform {
            self.apply_view(view, now);
        }
    }

    fn is_placer(&self, peer: &InstanceId) -> bool {
        let placer = self.shared.placer.load();
        placer.as_ref().is_some_and(|it| it.instance == *peer)
    }
}
