//! Explains why a flow goes where it goes, from the table that the packet loop reads.

use {
    arc_swap::ArcSwap,
    cardamomloom_core::error::{Error, ErrorKind, Result},
    cardamomloom_protocol::packet::FlowKey,
    cardamomloom_state::{candidates::Candidate, routing::RoutingTable},
    serde_json::{Value, json},
    std::sync::Arc,
};

/// Returns service, bucket, candidates and the host that gets the next packet of a flow.
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
    let candidates: Vec<Value> = table.candidates_of(bucket).map(shown).collect();
    let (opening, other) = (table.first(bucket, true), table.first(bucket, false));
    Ok(json!({
        "caller": flow.caller,
        "service_address": flow.service,
        "service": routing.name(table.service()),
        "service_id": table.service(),
        "table": table.version().to_string(),
        "bucket": bucket,
        "hosts": table.hosts().len(),
        "candidates": candidates,
        "new_flow_to": opening.map(|candidate| candidate.host.to_string()),
        "other_packets_to": other.map(|candidate| candidate.host.to_string()),
        "why": why(opening, other),
    }))
}

fn shown(candidate: &Candidate) -> Value {
    json!({
        "host": candidate.host.to_string(),
        "domain": candidate.domain,
        "data_address": candidate.data_address,
        "weight": candidate.weight,
        "accepts_new": candidate.accepts_new,
    })
}

fn why(opening: Option<&Candidate>, other: Option<&Candidate>) -> String {
    let (Some(opening), Some(other)) = (opening, other) else {
        return "the service has no host that is ready or draining in a failure domain that is in; packets are dropped".to_owned();
    };
    let new_flow = if opening.host != other.host {
        format!(
            "; it takes no new flows, so a new flow goes to {}",
            opening.host
        )
    } else if opening.accepts_new {
        String::new()
    } else {
        "; no candidate takes new flows, so a new flow is refused".to_owned()
    };
    format!(
        "host {} ranks first for the bucket and owns the flow or knows or finds its owner{new_flow}",
        other.host
    )
}

fn not_found(message: &str) -> Error {
    Error::new(ErrorKind::NotFound, format!("explain: {message}"))
}
