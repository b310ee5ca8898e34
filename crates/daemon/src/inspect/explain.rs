//! Explains the forwarding decision for a flow, from the routing table that the packet loop reads.

use {
    arc_swap::ArcSwap,
    cardamomloom_core::error::{Error, ErrorKind, Result},
    cardamomloom_protocol::packet::FlowKey,
    cardamomloom_state::{candidates::Candidate, routing::RoutingTable},
    serde_json::{Value, json},
    std::sync::Arc,
};

/// Returns the service, bucket and candidates of a flow, and the host that its next packet is
/// forwarded to.
pub fn explain(routing: Option<&Arc<ArcSwap<RoutingTable>>>, flow: &FlowKey) -> Result<Value> {
    let Some(routing) = routing else {
        return Err(not_found("this process routes no packets; ask a balancer"));
    };
    let routing = routing.load();
    let Some(table) = routing.lookup(&flow.service) else {
        return Err(not_found(&format!(
            "no service has {}; its packets are dropped",
            flow.service
        )));
    };
    let bucket = table.bucket_of(flow);
    let candidates: Vec<Value> = table.candidates_of(bucket).map(candidate_json).collect();
    let (new_flow_host, other_host) = (table.first(bucket, true), table.first(bucket, false));
    Ok(json!({
        "caller": flow.caller,
        "service_address": flow.service,
        "service": routing.name(table.service()),
        "service_id": table.service(),
        "table": table.version().to_string(),
        "bucket": bucket,
        "hosts": table.hosts().len(),
        "candidates": candidates,
        "new_flow_to": new_flow_host.map(|candidate| candidate.host.to_string()),
        "other_packets_to": other_host.map(|candidate| candidate.host.to_string()),
        "why": reason(new_flow_host, other_host),
    }))
}

fn candidate_json(candidate: &Candidate) -> Value {
    json!({
        "host": candidate.host.to_string(),
        "domain": candidate.domain,
        "data_address": candidate.data_address,
        "weight": candidate.weight,
        "accepts_new": candidate.accepts_new,
    })
}

fn reason(new_flow_host: Option<&Candidate>, other_host: Option<&Candidate>) -> String {
    let (Some(new_flow_host), Some(other_host)) = (new_flow_host, other_host) else {
        return "the service has no ready or draining host in a failure domain that is in; packets are dropped".to_owned();
    };
    let new_flow_reason = if new_flow_host.host != other_host.host {
        format!(
            "; it accepts no new flows, so a new flow goes to {}",
            new_flow_host.host
        )
    } else if new_flow_host.accepts_new {
        String::new()
    } else {
        "; no candidate accepts new flows, so a new flow is refused".to_owned()
    };
    format!(
        "host {} ranks first for the bucket: it owns the flow, knows its owner or looks it up{new_flow_reason}",
        other_host.host
    )
}

fn not_found(message: &str) -> Error {
    Error::new(ErrorKind::NotFound, format!("explain: {message}"))
}
