//! Metrics of an agent.

use {
    cardamomloom_coordination::{
        admission::AdmissionStatus,
        agent::{Agent, AgentCounters},
        handover::HandoverStatus,
    },
    metrics::{Counter, Gauge},
};

/// Metrics that the packet loop of an agent publishes.
pub struct AgentMetrics {
    open_flows: Gauge,
    trusted: Gauge,
    directory_entries: Gauge,
    opened: Counter,
    redirected: Counter,
    forwarded: Counter,
    refused: Counter,
    connect_failures: Counter,
    published: AgentCounters,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self {
            open_flows: metrics::gauge!("cardamomloom_open_flows"),
            trusted: metrics::gauge!("cardamomloom_trusted_connections"),
            directory_entries: metrics::gauge!("cardamomloom_handover_directory_entries"),
            opened: metrics::counter!("cardamomloom_opened_flows_total"),
            redirected: metrics::counter!("cardamomloom_redirected_flows_total"),
            forwarded: metrics::counter!("cardamomloom_forwarded_packets_total"),
            refused: metrics::counter!("cardamomloom_refused_flows_total"),
            connect_failures: metrics::counter!("cardamomloom_connect_failures_total"),
            published: AgentCounters::default(),
        }
    }
}

impl AgentMetrics {
    /// Publishes the state of the agent and what its counters gained since the last call.
    pub fn publish(
        &mut self,
        agent: &Agent,
        admission: &AdmissionStatus,
        handover: &HandoverStatus,
    ) {
        let (counters, last) = (agent.counters(), self.published);
        self.open_flows.set(agent.flow_count() as f64);
        self.trusted.set(f64::from(admission.adaptive_limit));
        self.directory_entries
            .set(handover.directory_entries as f64);
        self.opened.increment(counters.opened - last.opened);
        self.redirected
            .increment(counters.redirected - last.redirected);
        self.forwarded
            .increment(counters.forwarded - last.forwarded);
        self.refused.increment(counters.refused - last.refused);
        self.connect_failures
            .increment(counters.connect_failures - last.connect_failures);
        self.published = counters;
    }
}
