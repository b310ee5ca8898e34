//! Metrics of the load control.

use {
    cardamomloom_coordination::passthrough::{agent::Agent, balancer::Balancer},
    cardamomloom_core::{Span, Time},
};

/// Publishes the load of the host of an agent, if load control is on. The wait of a host that takes no
/// new flows is infinite, and an unknown work time is 0.
pub fn publish_host_load(agent: &Agent, now: Time) {
    let Some(load) = agent.load_summary(now) else {
        return;
    };
    let seconds = |span: Span| span.to_duration().as_secs_f64();
    metrics::gauge!("cardamomloom_expected_wait_seconds")
        .set(load.wait.map_or(f64::INFINITY, seconds));
    metrics::gauge!("cardamomloom_work_time_seconds").set(load.work.map_or(0.0, seconds));
    metrics::gauge!("cardamomloom_callers_in_progress").set(load.callers_in_progress as f64);
}

/// Publishes the number of hosts whose loads a balancer knows, if load control is on.
pub fn publish_known_loads(balancer: &Balancer, now: Time) {
    if balancer.uses_loads() {
        metrics::gauge!("cardamomloom_known_loads").set(balancer.loads().known(now) as f64);
    }
}
