//! Command `explain --service`: where a new flow goes now with pass-through delivery, and why.

use {
    crate::{
        context::Context,
        output::{Output, format_cell, format_table},
        processes::{self, ProcessAnswer, ProcessEndpoint},
    },
    cardamomloom_core::error::{Error, ErrorKind, Result, invalid_argument},
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Fields of a candidate that the table of a balancer shows, with their headers.
const CANDIDATE_COLUMNS: [(&str, &str); 8] = [
    ("agent", "AGENT"),
    ("domain", "DOMAIN"),
    ("usable", "USABLE"),
    ("wait_ms", "WAIT MS"),
    ("work_ms", "WORK MS"),
    ("age_ms", "AGE MS"),
    ("round_trip_us", "ROUND TRIP US"),
    ("response_ms", "RESPONSE MS"),
];

/// Fields of an agent's answer that its table shows, with their headers.
const AGENT_COLUMNS: [(&str, &str); 9] = [
    ("callers_in_progress", "CALLERS"),
    ("max_callers", "MAX CALLERS"),
    ("slots", "SLOTS"),
    ("queued_syns", "QUEUED"),
    ("active_flows", "FLOWS"),
    ("max_flows", "MAX FLOWS"),
    ("cold_flows_per_s", "COLD FLOWS/S"),
    ("admitted_share", "SHARE"),
    ("other_hosts", "OTHER HOSTS"),
];

/// Queries the balancers named with `--nodes` and the agents named with `--agent` and `--agents`.
pub async fn explain_placement(
    context: &Context,
    service: &str,
    from: &str,
    agent: Option<SocketAddr>,
) -> Result<Output> {
    let unregistered = |address: &SocketAddr| -> ProcessEndpoint {
        (address.to_string(), "-".to_owned(), *address)
    };
    let balancers = context.nodes.iter().flatten();
    let agents = agent.iter().chain(&context.agents);
    let endpoints: Vec<ProcessEndpoint> = balancers.chain(agents).map(unregistered).collect();
    if endpoints.is_empty() {
        return Err(invalid_argument(
            "explain: neither \"--nodes\" nor \"--agent\" is set; allowed are endpoints (address:port) of processes with pass-through delivery",
        ));
    }
    let query = [("service", service.to_owned()), ("from", from.to_owned())];
    let answers = processes::query_all(context, endpoints, "/explain", &query).await;
    if answers.iter().all(|answered| answered.answer.is_err()) {
        let errors = answers
            .iter()
            .filter_map(|answered| answered.answer.as_ref().err());
        let error = errors.min_by_key(|error| error.kind).cloned();
        return Err(
            error.unwrap_or_else(|| Error::new(ErrorKind::Timeout, "explain: no process answered"))
        );
    }
    let sections: Vec<String> = answers.iter().map(format_answer).collect();
    Ok(Output {
        text: format!(
            "new flow of {service} from {from}\n\n{}",
            sections.join("\n")
        ),
        json: json!({
            "service": service,
            "from": from,
            "processes": answers.iter().map(answer_json).collect::<Vec<_>>(),
        }),
    })
}

fn answer_json(answered: &ProcessAnswer) -> Value {
    match &answered.answer {
        Ok(answer) => json!({"node": answered.name, "explanation": answer}),
        Err(error) => json!({"node": answered.name, "error": error.to_string()}),
    }
}

/// Formats the answer of a process: a sentence that says what decides, and a table.
fn format_answer(answered: &ProcessAnswer) -> String {
    let name = &answered.name;
    let answer = match &answered.answer {
        Ok(answer) => answer,
        Err(error) => return format!("{name}: {error}\n"),
    };
    let why = format_cell(&answer["why"]);
    if answer["role"] == "agent" {
        let decision = format_cell(&answer["decision"]);
        let table = table(&AGENT_COLUMNS, std::slice::from_ref(answer));
        return format!("agent {name}: {decision}: {why}\n{table}");
    }
    let rule = format_cell(&answer["rule"]);
    let candidates = answer["candidates"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let table = table(&CANDIDATE_COLUMNS, candidates);
    format!("balancer {name}: {rule}: {why}\n{table}")
}

fn table(columns: &[(&str, &str)], documents: &[Value]) -> String {
    let header: Vec<&str> = columns.iter().map(|(_, header)| *header).collect();
    let cell = |value: &Value| match value {
        Value::Null => "-".to_owned(),
        value => format_cell(value),
    };
    let rows: Vec<Vec<String>> = documents
        .iter()
        .map(|document| {
            columns
                .iter()
                .map(|(field, _)| cell(&document[field]))
                .collect()
        })
        .collect();
    format_table(&header, &rows)
}
