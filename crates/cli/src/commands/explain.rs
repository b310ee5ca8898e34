//! Command `explain`: which host each balancer sends a flow to, and why.

use {
    super::explain_placement::explain_placement,
    crate::{
        arguments::ExplainOptions,
        context::{Context, parse_address},
        output::{Output, format_cell, format_table},
        processes::{self, ProcessAnswer},
    },
    cardamomloom_core::{
        HostId,
        error::{Error, ErrorKind, Result, invalid_argument},
    },
    serde_json::{Value, json},
};

/// Queries every balancer for the candidates of a flow, and reports whether those that answer have
/// the same candidate list.
pub async fn explain(context: &Context, options: &ExplainOptions) -> Result<Output> {
    if let Some(service) = &options.service {
        let from = options.from.as_deref().ok_or_else(|| {
            invalid_argument(
                "explain: field \"--from\" is not set; allowed is the failure domain of the caller",
            )
        })?;
        let agent = options.agent.as_deref();
        let agent = agent
            .map(|text| parse_address("--agent", text))
            .transpose()?;
        return explain_placement(context, service, from, agent).await;
    }
    let required = |field: &str, value: &Option<String>| {
        let text = value.as_deref().ok_or_else(|| {
            invalid_argument(format!(
                "explain: field {field:?} is not set; allowed are CALLER and SERVICE, or --service and --from"
            ))
        });
        text.and_then(|text| parse_address(field, text))
    };
    let caller = required("caller", &options.caller)?;
    let service = required("service", &options.address)?;
    let query = [
        ("caller", caller.to_string()),
        ("service", service.to_string()),
    ];
    let endpoints = processes::balancer_endpoints(context).await?;
    let answers = processes::query_all(context, endpoints, "/explain", &query).await;
    if answers.is_empty() {
        return Err(Error::new(
            ErrorKind::NotFound,
            "explain: no balancer is registered; name one with --nodes",
        ));
    }
    let explanations: Vec<&Value> = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .collect();
    let Some(explanation) = explanations.first() else {
        return Err(lowest_kind_error(&answers));
    };
    let answered = answers.iter().find(|answered| answered.answer.is_ok());
    let excluded_hosts = match answered {
        Some(balancer) => find_excluded_hosts(context, balancer, explanation).await,
        None => Vec::new(),
    };
    let is_unanimous = explanations
        .iter()
        .all(|other| other["candidates"] == explanation["candidates"]);
    Ok(Output {
        text: format_text(&answers, explanation, &excluded_hosts, is_unanimous),
        json: json!({
            "agree": is_unanimous,
            "left_out": excluded_hosts,
            "balancers": answers.iter().map(answer_json).collect::<Vec<_>>(),
        }),
    })
}

/// Returns the hosts of the service that a balancer knows and that cannot be candidates, each with
/// the reason: its failure domain is out, or its state is neither ready nor draining. Returns none
/// if the balancer does not answer.
async fn find_excluded_hosts(
    context: &Context,
    balancer: &ProcessAnswer,
    explanation: &Value,
) -> Vec<Value> {
    let status = context.inspect.get(balancer.address, "/status", &[]).await;
    let Ok(status) = status else {
        return Vec::new();
    };
    let domains_out = status["domains_out"].as_array();
    let reason = |host: &Value| match host["state"].as_str() {
        _ if domains_out.is_some_and(|domains| domains.contains(&host["domain"])) => {
            Some("its failure domain is out".to_owned())
        }
        Some("Ready" | "Draining") | None => None,
        Some(state) => Some(format!("its state is {}", state.to_lowercase())),
    };
    let hosts = status["hosts"].as_array().into_iter().flatten();
    hosts
        .filter(|host| host["service"] == explanation["service_id"])
        .filter_map(|host| {
            let id = u32::try_from(host["host"].as_u64()?).ok()?;
            let (id, why) = (HostId(id).to_string(), reason(host)?);
            Some(json!({"host": id, "domain": host["domain"], "why": why}))
        })
        .collect()
}

/// Returns the error whose kind comes first in the order of [`ErrorKind`].
fn lowest_kind_error(answers: &[ProcessAnswer]) -> Error {
    let errors = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().err());
    errors
        .min_by_key(|error| error.kind)
        .cloned()
        .unwrap_or_else(|| Error::new(ErrorKind::Timeout, "explain: no balancer answered"))
}

fn answer_json(answered: &ProcessAnswer) -> Value {
    match &answered.answer {
        Ok(answer) => json!({"node": answered.name, "explanation": answer}),
        Err(error) => json!({"node": answered.name, "error": error.to_string()}),
    }
}

/// Formats the hosts that cannot be candidates; the text is empty if there are none.
fn format_excluded_hosts(excluded_hosts: &[Value]) -> String {
    if excluded_hosts.is_empty() {
        return String::new();
    }
    let rows: Vec<Vec<String>> = excluded_hosts
        .iter()
        .map(|host| {
            ["host", "domain", "why"]
                .map(|field| format_cell(&host[field]))
                .to_vec()
        })
        .collect();
    format_table(&["NOT A CANDIDATE", "DOMAIN", "WHY"], &rows) + "\n"
}

/// Formats the candidates of one balancer, the hosts that cannot be candidates, and the decision of
/// every balancer.
fn format_text(
    answers: &[ProcessAnswer],
    explanation: &Value,
    excluded_hosts: &[Value],
    is_unanimous: bool,
) -> String {
    let candidates = explanation["candidates"].as_array().into_iter().flatten();
    let candidates: Vec<Vec<String>> = candidates
        .enumerate()
        .map(|(rank, candidate)| {
            let mut row = vec![(rank + 1).to_string()];
            row.extend(
                ["host", "domain", "data_address", "weight", "accepts_new"]
                    .map(|field| format_cell(&candidate[field])),
            );
            row
        })
        .collect();
    let rows: Vec<Vec<String>> = answers
        .iter()
        .map(|answered| {
            let field = |name: &str| match &answered.answer {
                Ok(answer) => format_cell(&answer[name]),
                Err(_) => "-".to_owned(),
            };
            let error = answered.answer.as_ref().err();
            vec![
                answered.name.clone(),
                field("table"),
                field("new_flow_to"),
                field("other_packets_to"),
                error.map(ToString::to_string).unwrap_or_default(),
            ]
        })
        .collect();
    format!(
        "service {} (id {}), bucket {}\n{}\n\n{}\n{}{}\n{}",
        format_cell(&explanation["service"]),
        format_cell(&explanation["service_id"]),
        format_cell(&explanation["bucket"]),
        format_cell(&explanation["why"]),
        format_table(
            &[
                "RANK",
                "HOST",
                "DOMAIN",
                "DATA ADDRESS",
                "WEIGHT",
                "NEW FLOWS"
            ],
            &candidates
        ),
        format_excluded_hosts(excluded_hosts),
        format_table(
            &[
                "BALANCER",
                "TABLE",
                "NEW FLOW TO",
                "OTHER PACKETS TO",
                "ERROR"
            ],
            &rows
        ),
        if is_unanimous {
            "all balancers that answered agree"
        } else {
            "balancers disagree: their tables have not converged yet, or a balancer lags; see `cardamomloom status`"
        }
    )
}
