//! Metrics and log lines about the order and the rejection of new flows.

use {
    cardamomloom_coordination::passthrough::agent::{Agent, FlowRejection, SynClass},
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::FlowId,
    log::info,
};

/// Logs the rejection of a flow with the inputs of the decision.
pub fn log(flow: &FlowId, rejection: &FlowRejection) {
    info!(
        event = "flow_rejected", flow:%, cause = rejection.cause.label(), route = &*rejection.route,
        age_ms = rejection.age.as_millis(), goal_ms = rejection.goal.as_millis(),
        timeout_ms = rejection.timeout.map(Span::as_millis),
        wait_ms = rejection.wait.as_millis(),
        service_wait_ms = rejection.service_wait.wait().map(Span::as_millis);
        "new flow rejected: no host of the service can answer it in time"
    );
}

/// Counts a rejected flow.
pub fn count(rejection: &FlowRejection) {
    let (cause, route) = (rejection.cause.label(), rejection.route.to_string());
    metrics::counter!("cardamomloom_rejected_flows_total", "cause" => cause, "route" => route)
        .increment(1);
}

/// Publishes the numbers of queued SYNs by class.
pub fn publish_queue(agent: &Agent, now: Time) {
    for (class, label) in [
        (SynClass::InGoal, "in_goal"),
        (SynClass::Late, "late"),
        (SynClass::WithoutGoal, "without_goal"),
    ] {
        let queued = agent.queued_syns_of(now, class);
        metrics::gauge!("cardamomloom_queued_syns", "class" => label).set(queued as f64);
    }
}
