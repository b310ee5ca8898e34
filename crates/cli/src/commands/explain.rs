//! `explain`: why a flow goes where it goes.

use {
    crate::{
        arguments::ExplainOptions,
        context::{Context, parse_address},
        output::{Output, cell, table},
        processes::{self, Answered},
    },
    cardamomloom_core::error::{Error, ErrorKind, Result},
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
    let agree = explained
        .iter()
        .all(|other| other["candidates"] == first["candidates"]);
    Ok(Output {
        text: text(&answers, first, agree),
        json: json!({
            "agree": agree,
            "balancers": answers.iter().map(shown).collect::<Vec<_>>(),
        }),
    })
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

fn text(answers: &[Answered], first: &Value, agree: bool) -> String {
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
        "service {} (id {}), bucket {}\n{}\n\n{}\n{}\n{}",
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
