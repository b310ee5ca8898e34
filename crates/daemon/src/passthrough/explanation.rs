//! Documents of the endpoint `/explain`: where a new flow would go now, and why.

use {
    cardamomloom_coordination::passthrough::{
        AdmissionExplanation, FlowCandidate, FlowExplanation, FlowQuery,
    },
    cardamomloom_core::{
        Span,
        error::{Error, invalid_argument},
    },
    serde_json::{Value, json},
    std::{collections::HashMap, fmt, str::FromStr},
};

/// Parses the query parameters `service` and `from`.
///
/// # Errors
///
/// Fails with kind `invalid_argument` when one is missing or malformed. The message names the field, the
/// value and what is allowed.
pub fn parse_query(query: &HashMap<String, String>) -> Result<FlowQuery, Error> {
    Ok(FlowQuery {
        service: parse_name(query, "service")?,
        from: parse_name(query, "from")?,
    })
}

fn parse_name<T: FromStr<Err: fmt::Display>>(
    query: &HashMap<String, String>,
    field: &str,
) -> Result<T, Error> {
    let text = query.get(field).map_or("", String::as_str);
    text.parse().map_err(|error| {
        invalid_argument(format!(
            "explain: field {field:?} is {text:?}; allowed is a valid name: {error}"
        ))
    })
}

/// Returns the document of a balancer.
pub fn placement_json(query: &FlowQuery, explanation: &FlowExplanation) -> Value {
    let candidates = explanation.candidates.iter().map(candidate_json);
    json!({
        "role": "balancer",
        "service": query.service,
        "from": query.from,
        "rule": explanation.rule.label(),
        "why": explanation.rule.text(),
        "candidates": candidates.collect::<Vec<_>>(),
    })
}

fn candidate_json(candidate: &FlowCandidate) -> Value {
    let load = candidate.load;
    json!({
        "agent": candidate.agent,
        "domain": candidate.domain,
        "usable": candidate.is_usable,
        "wait_ms": load.and_then(|load| load.wait).map(Span::as_millis),
        "work_ms": load.and_then(|load| load.work).map(Span::as_millis),
        "age_ms": load.map(|load| load.age.as_millis()),
        "round_trip_us": candidate.round_trip.map(|span| span.0),
        "response_ms": candidate.response.map(Span::as_millis),
    })
}

/// Returns the document of an agent.
pub fn admission_json(query: &FlowQuery, explanation: &AdmissionExplanation) -> Value {
    json!({
        "role": "agent",
        "service": query.service,
        "from": query.from,
        "decision": explanation.decision.label(),
        "why": explanation.reason,
        "callers_in_progress": explanation.callers_in_progress,
        "max_callers": explanation.max_callers,
        "slots": explanation.slots,
        "queued_syns": explanation.queued_syns,
        "active_flows": explanation.active_flows,
        "max_flows": explanation.max_flows,
        "cold_flows_per_s": explanation.cold_flows_per_s,
        "admitted_share": explanation.admitted_share,
        "other_hosts": explanation.other_hosts,
    })
}
