//! `status`: versions in force, who lags and what is degraded.

use {
    crate::{
        context::Context,
        output::{Output, cell, table},
        processes::{self, Answered},
    },
    cardamomloom_core::{Alert, ObjectVersion, error::Result},
    cardamomloom_protocol::object::{DOMAINS_PREFIX, SERVICES_PREFIX},
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// A balancer with what it lacks.
struct Node<'a> {
    answered: &'a Answered,
    state: &'static str,
    /// Key, version in force and version of the store.
    lags: Vec<(String, ObjectVersion, ObjectVersion)>,
}

/// Compares the versions in force at every balancer with those of the store.
pub async fn status(context: &Context) -> Result<Output> {
    let nodes = processes::balancers(context).await?;
    let answers = processes::ask(context, nodes, "/status", &[]).await;
    let stored = match newest_of_pass_through(&answers) {
        Some(newest) => Ok(newest),
        None => stored(context).await,
    };
    let empty = BTreeMap::new();
    let wanted = stored.as_ref().unwrap_or(&empty);
    let nodes: Vec<Node> = answers
        .iter()
        .map(|answered| view(answered, wanted))
        .collect();
    let mut degraded = degraded(&nodes);
    if let Err(error) = &stored {
        let message = format!("store: {}", error.message);
        let alert = Alert::StoreUnavailable;
        degraded.insert(0, Degraded { alert, message });
    }
    Ok(Output {
        text: text(&nodes, wanted, &degraded),
        json: json!({
            "objects": wanted,
            "balancers": nodes.iter().map(shown).collect::<Vec<_>>(),
            "degraded": degraded.iter().map(Degraded::shown).collect::<Vec<_>>(),
        }),
    })
}

async fn stored(context: &Context) -> Result<BTreeMap<String, ObjectVersion>> {
    let mut versions = BTreeMap::new();
    for prefix in [SERVICES_PREFIX, DOMAINS_PREFIX] {
        let list = context.store.list(prefix).await?;
        versions.extend(
            list.objects
                .iter()
                .map(|object| (object.key.to_string(), object.version)),
        );
    }
    Ok(versions)
}

/// Returns the newest versions that any process has, when one uses pass-through delivery: their
/// store does not have the objects of this command.
fn newest_of_pass_through(answers: &[Answered]) -> Option<BTreeMap<String, ObjectVersion>> {
    let statuses = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .filter(|status| status["delivery"] == "pass_through");
    let mut newest = None;
    for status in statuses {
        let newest = newest.get_or_insert_with(BTreeMap::new);
        for (key, version) in processes::versions(status) {
            let present = newest.entry(key).or_insert(version);
            *present = version.max(*present);
        }
    }
    newest
}

fn view<'a>(answered: &'a Answered, wanted: &BTreeMap<String, ObjectVersion>) -> Node<'a> {
    let Ok(status) = &answered.answer else {
        return Node {
            answered,
            state: "no answer",
            lags: Vec::new(),
        };
    };
    let versions = processes::versions(status);
    let lags = wanted
        .iter()
        .filter_map(|(key, version)| {
            let present = versions.get(key).copied().unwrap_or_default();
            (present < *version).then(|| (key.clone(), present, *version))
        })
        .collect();
    Node {
        answered,
        state: if status["stopping"] == true {
            "stopping"
        } else {
            "running"
        },
        lags,
    }
}

/// Something that does not work as it should.
struct Degraded {
    alert: Alert,
    message: String,
}

impl Degraded {
    fn shown(&self) -> Value {
        json!({"alert": self.alert.entry().name, "message": self.message})
    }
}

fn degraded(nodes: &[Node]) -> Vec<Degraded> {
    let mut found = Vec::new();
    for node in nodes {
        let name = &node.answered.name;
        let mut add = |alert, message: String| {
            let message = format!("{name}: {message}");
            found.push(Degraded { alert, message });
        };
        match &node.answered.answer {
            Err(error) => add(Alert::BalancerUnreachable, error.message.to_string()),
            Ok(status) => {
                let standing = status["standing"].as_str().unwrap_or_default();
                if standing.eq_ignore_ascii_case("isolated") {
                    let message = "serves its last configuration, which nobody confirms";
                    add(Alert::Isolated, message.to_owned());
                }
                for object in list(&status["objects_invalid"]) {
                    let [key, version, reason] =
                        ["key", "version", "reason"].map(|field| cell(&object[field]));
                    add(
                        Alert::ObjectInvalid,
                        format!("{key} version {version} is invalid and not in force: {reason}"),
                    );
                }
                for problem in list(&status["problems"]) {
                    add(Alert::ClaimNotInForce, cell(problem));
                }
                for domain in list(&status["domains_out"]) {
                    let message = format!("failure domain {} is out", cell(domain));
                    add(Alert::DomainOut, message);
                }
            }
        }
        for (key, present, wanted) in &node.lags {
            add(
                Alert::VersionLag,
                format!("lags: {key} has version {present}, the store has {wanted}"),
            );
        }
    }
    found
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn shown(node: &Node) -> Value {
    let lags: Vec<Value> = node
        .lags
        .iter()
        .map(|(key, present, wanted)| json!({"key": key, "version": present, "stored": wanted}))
        .collect();
    json!({
        "node": node.answered.name,
        "domain": node.answered.domain,
        "http_address": node.answered.address,
        "state": node.state,
        "lags": lags,
        "status": node.answered.answer.as_ref().ok(),
    })
}

fn text(nodes: &[Node], wanted: &BTreeMap<String, ObjectVersion>, degraded: &[Degraded]) -> String {
    let rows: Vec<Vec<String>> = nodes
        .iter()
        .map(|node| {
            let status = node.answered.answer.as_ref();
            let hosts = status.map_or(0, |status| list(&status["hosts"]).len());
            vec![
                node.answered.name.clone(),
                node.answered.domain.clone(),
                node.answered.address.to_string(),
                node.state.to_owned(),
                hosts.to_string(),
                if status.is_err() {
                    "unknown".to_owned()
                } else {
                    node.lags.len().to_string()
                },
            ]
        })
        .collect();
    let objects: Vec<Vec<String>> = wanted
        .iter()
        .map(|(key, version)| {
            let has = |node: &&Node| {
                let status = node.answered.answer.as_ref();
                status.is_ok_and(|status| {
                    processes::versions(status)
                        .get(key)
                        .is_some_and(|present| present >= version)
                })
            };
            let count = nodes.iter().filter(has).count();
            vec![
                key.clone(),
                version.to_string(),
                format!("{count} of {}", nodes.len()),
            ]
        })
        .collect();
    let degraded = if degraded.is_empty() {
        "nothing is degraded\n".to_owned()
    } else {
        let lines = degraded
            .iter()
            .map(|degraded| format!("  {} [{}]\n", degraded.message, degraded.alert));
        format!("degraded:\n{}", lines.collect::<String>())
    };
    format!(
        "{}\n{}\n{degraded}",
        table(
            &["BALANCER", "DOMAIN", "ENDPOINT", "STATE", "HOSTS", "LAGS"],
            &rows
        ),
        table(&["OBJECT", "VERSION", "IN FORCE AT"], &objects),
    )
}
