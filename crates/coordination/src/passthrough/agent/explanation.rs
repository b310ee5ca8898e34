//! Explanation for operators what the agent would do with a new flow now.

use {
    super::Agent,
    crate::passthrough::{AdmissionDecision, AdmissionExplanation, FlowQuery},
    cardamomloom_core::Time,
};

impl Agent {
    /// Returns what the agent would do with the SYN of a new flow now. It changes nothing.
    #[must_use]
    pub fn explain(&self, now: Time, query: &FlowQuery) -> AdmissionExplanation {
        let own_address = self.identity.address;
        let others = self.service_hosts.iter();
        let other_hosts = others
            .filter(|host| host.accepts_new && host.agent != own_address)
            .count();
        let (decision, reason) = self.explain_decision(now, query, other_hosts > 0);
        let slots = self.host.as_ref().map(|host| host.slots);
        let limits = self.catalogue.service(&self.identity.service);
        AdmissionExplanation {
            decision,
            reason,
            callers_in_progress: self.flows.waiting(),
            max_callers: slots.unwrap_or_default() as usize * self.options.max_waiting_per_slot,
            slots,
            queued_syns: self.syn_queue.len(),
            active_flows: self.flows.active(),
            max_flows: limits.map(|limits| limits.max_connections),
            cold_flows_per_s: self.cold_flows_per_s(now),
            admitted_share: self.outcomes.admitted_share(now),
            other_hosts,
        }
    }

    /// Applies the conditions of [`Agent::on_syn`] in their order.
    fn explain_decision(
        &self,
        now: Time,
        query: &FlowQuery,
        has_others: bool,
    ) -> (AdmissionDecision, &'static str) {
        use AdmissionDecision::{Accept, Drop, Queue, Relay};
        if query.service != self.identity.service {
            return (Drop, "the host belongs to another service");
        }
        if self.catalogue.is_outdated(now) {
            return (Drop, "the catalogue of the agent is outdated");
        }
        match (self.accepts_flows(now), has_others) {
            (false, true) => return (Relay, "the host takes no new flows"),
            (false, false) => return (Drop, "neither the host nor another one takes new flows"),
            (true, _) => {}
        }
        match (self.is_within_cold_rate(now), has_others) {
            (false, true) => return (Relay, "the host is cold and has used its rate"),
            (false, false) => return (Queue, "the host is cold and has used its rate"),
            (true, _) => {}
        }
        if has_others && self.queue_excess().is_some() {
            return (Relay, "no slot is free");
        }
        if has_others && self.outcomes.admitted_share(now) < 1.0 {
            return (Relay, "the host fails requests and takes few new flows");
        }
        if !self.has_waiting_capacity() {
            return (Queue, "as many callers wait as the host can queue");
        }
        (Accept, "the host has room")
    }
}
