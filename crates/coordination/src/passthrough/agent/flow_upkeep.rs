//! Upkeep of the flow table: idle flows, flows of a previous run of the backend server, and flows that
//! the catalogue routes to other services.

use {
    super::{Action, Agent, Phase},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::MAX_REROUTED_ADDRESSES,
    log::info,
    std::net::SocketAddrV4,
};

impl Agent {
    /// Removes flows that have ended or are older than any flow. An open flow that has been idle for
    /// longer than the idle timeout becomes dormant: it no longer counts as load, but only the backend
    /// server knows whether it has discarded it.
    pub(super) fn expire_flows(&mut self, now: Time) {
        let options = &self.options;
        let idle_span = Span(self.catalogue.idle_timeout().0 + options.idle_flow_margin.0);
        self.flows.retain(|entry| {
            let idle = now.since(entry.last_used);
            if matches!(entry.phase, Phase::Open) && entry.caller_acknowledgment.is_some() {
                entry.is_dormant = idle > idle_span;
                !entry.is_dormant || now.since(entry.opened) <= options.max_flow_duration
            } else {
                idle <= options.closed_flow_retention
            }
        });
        self.expire_requests(now);
    }

    /// Determines the addresses that the host holds flows to although the catalogue routes them to
    /// other services. Balancers learn them by the next announcement.
    pub(super) fn update_rerouted_addresses(&mut self) {
        let mut addresses: Vec<SocketAddrV4> = self.flows.held_addresses().into_iter().collect();
        addresses.retain(|address| {
            self.catalogue.has_route(*address)
                && !self.catalogue.has_target(*address, &self.identity.service)
        });
        let held = addresses.len();
        addresses.truncate(MAX_REROUTED_ADDRESSES);
        if addresses == self.control.rerouted_addresses {
            return;
        }
        info!(
            event = "rerouted_addresses", held, announced = addresses.len(),
            catalogue:% = self.catalogue.version();
            "set of addresses changed that the host holds flows to and that are routed to other services"
        );
        self.control.rerouted_addresses = addresses;
        self.control.next_announcement = Time::ZERO;
    }

    /// Resets the flows that were opened before the last report of the previous run. Later ones may
    /// belong to the current run; if they do not, the backend server returns their packets.
    pub(super) fn reset_flows(&mut self, previous_report: Time, actions: &mut Vec<Action>) {
        self.work_times.reset();
        let lost = self
            .flows
            .extract_if(|entry| entry.is_active() && entry.opened < previous_report);
        let resets = lost.into_iter().filter_map(|(flow, entry)| {
            matches!(entry.phase, Phase::Open)
                .then_some(entry.caller_acknowledgment)
                .flatten()
                .map(|sequence| Action::Reset { flow, sequence })
        });
        actions.extend(resets);
    }
}
