//! `explain`: why a flow goes where it goes.

use {
    crate::{
        arguments::ExplainOptions,
        context::{Context, parse_address},
        output::{Output, cell, table},
        processes::{self, Answered},
    },
    cardamomloom_core::{
        HostId,
        error::{Error, ErrorKind, Result},
    },
    serde_json::{Value, json},
};

/// Asks every balancer about a flow and tells whether they agree.
pub async fn explain(context: &Context, options: &ExplainOptions) -> Result<Output> {
    let caller = parse_address("caller", &options.caller)?;
    let service = parse_address("service", &options.service)?;
    let query = [
        ("caller", caller.to_string()),
        ("service", service.to_string()),
    ];
    let nodes = processes::balancers(context).await?;
    let answers = processes::ask(context, nodes, "/explain", &query).await;
    if answers.is_empty() {
        return Err(Error::new(
            ErrorKind::NotFound,
            "explain: no balancer is registered; name one with --nodes",
        ));
    }
    let explained: Vec<&Value> = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .collect();
    let Some(first) = explained.first() else {
        return Err(common_error(&answers));
    };
    let answered = answers.iter().find(|answered| answered.answer.is_ok());
    let left_out = match answered {
        Some(balancer) => left_out(context, balancer, first).await,
        None => Vec::new(),
    };
    let agree = explained
        .iter()
        .all(|other| other["candidates"] == first["candidates"]);
    Ok(Output {
        text: text(&answers, first, &left_out, agree),
        json: json!({
            "agree": agree,
            "left_out": left_out,
            "balancers": answers.iter().map(shown).collect::<Vec<_>>(),
        }),
    })
}

/// Returns the known hosts of the service that are in no candidate list, with the reason.
async fn left_out(context: &Context, balancer: &Answered, explanation: &Value) -> Vec<Value> {
    let status = context.inspect.get(balancer.address, "/status", &[]).await;
    let Ok(status) = status else {
        return Vec::new();
    };
    let out = status["domains_out"].as_array();
    let reason = |host: &Value| match host["state"].as_str() {
        _ if out.is_some_and(|out| out.contains(&host["domain"])) => {
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

fn common_error(answers: &[Answered]) -> Error {
    let errors = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().err());
    errors
        .min_by_key(|error| error.kind)
        .cloned()
        .unwrap_or_else(|| Error::new(ErrorKind::Timeout, "explain: no balancer answered"))
}

fn shown(answered: &Answered) -> Value {
    match &answered.answer {
        Ok(answer) => json!({"node": answered.name, "explanation": answer}),
        Err(error) => json!({"node": answered.name, "error": error.to_string()}),
    }
}

fn left_out_table(left_out: &[Value]) -> String {
    if left_out.is_empty() {
        return String::new();
    }
    let rows: Vec<Vec<String>> = left_out
        .iter()
        .map(|host| {
            ["host", "domain", "why"]
                .map(|field| cell(&host[field]))
                .to_vec()
        })
        .collect();
    table(&["NOT A CANDIDATE", "DOMAIN", "WHY"], &rows) + "\n"
}

fn text(answers: &[Answered], first: &Value, left_out: &[Value], agree: bool) -> String {
    let candidates = first["candidates"].as_array().into_iter().flatten();
    let candidates: Vec<Vec<String>> = candidates
        .enumerate()
        .map(|(rank, candidate)| {
            let mut row = vec![(rank + 1).to_string()];
            row.extend(
                ["host", "domain", "data_address", "weight", "accepts_new"]
                    .map(|field| cell(&candidate[field])),
            );
            row
        })
        .collect();
    let rows: Vec<Vec<String>> = answers
        .iter()
        .map(|answered| {
            let field = |name: &str| match &answered.answer {
                Ok(answer) => cell(&answer[name]),
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
        cell(&first["service"]),
        cell(&first["service_id"]),
        cell(&first["bucket"]),
        cell(&first["why"]),
        table(
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
        left_out_table(left_out),
        table(
            &[
                "BALANCER",
                "TABLE",
                "NEW FLOW TO",
                "OTHER PACKETS TO",
                "ERROR"
            ],
            &rows
        ),
        if agree {
            "all balancers that answered agree"
        } else {
            "balancers disagree; their tables are settling, or one lags: see `cardamomloom status`"
        }
    )
}
