//! Command `status`: versions in force, balancers that lag, and what is degraded.

use {
    crate::{
        context::Context,
        output::{Output, format_cell, format_table},
        processes::{self, ProcessAnswer, ReportedVersion},
    },
    cardamomloom_core::{Alert, ObjectVersion, error::Result},
    cardamomloom_protocol::object::{DOMAINS_PREFIX, SERVICES_PREFIX},
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// Answer of a balancer, and how its versions in force compare with those of the store.
struct BalancerStatus<'a> {
    answered: &'a ProcessAnswer,
    state: &'static str,
    /// Objects of which an older version is in force: key, version in force and expected version.
    lags: Vec<(String, ReportedVersion, ReportedVersion)>,
}

/// Compares the versions in force at every balancer with those of the store. With pass-through
/// delivery, the newest version that any balancer reports takes the place of the store's.
pub async fn status(context: &Context) -> Result<Output> {
    let endpoints = processes::balancer_endpoints(context).await?;
    let answers = processes::query_all(context, endpoints, "/status", &[]).await;
    let stored = match newest_pass_through_versions(&answers) {
        Some(newest) => Ok(newest),
        None => stored_versions(context).await,
    };
    let no_versions = BTreeMap::new();
    let expected = stored.as_ref().unwrap_or(&no_versions);
    let balancers: Vec<BalancerStatus> = answers
        .iter()
        .map(|answered| compare_versions(answered, expected))
        .collect();
    let mut degradations = find_degradations(&balancers);
    if let Err(error) = &stored {
        let message = format!("store: {}", error.message);
        let alert = Alert::StoreUnavailable;
        degradations.insert(0, Degradation { alert, message });
    }
    let expected_numbers: BTreeMap<&String, ObjectVersion> = expected
        .iter()
        .map(|(key, expected)| (key, expected.version))
        .collect();
    Ok(Output {
        text: format_text(&balancers, expected, &degradations),
        json: json!({
            "objects": expected_numbers,
            "balancers": balancers.iter().map(balancer_json).collect::<Vec<_>>(),
            "degraded": degradations.iter().map(Degradation::to_json).collect::<Vec<_>>(),
        }),
    })
}

/// Returns the version of each service and failure domain in the store.
async fn stored_versions(context: &Context) -> Result<BTreeMap<String, ReportedVersion>> {
    let mut versions = BTreeMap::new();
    for prefix in [SERVICES_PREFIX, DOMAINS_PREFIX] {
        let list = context.store.list(prefix).await?;
        versions.extend(
            list.objects
                .iter()
                .map(|object| (object.key.to_string(), object.version.into())),
        );
    }
    Ok(versions)
}

/// Returns the newest versions that processes with pass-through delivery report, or `None` if no
/// process uses it. The store of such an installation does not hold the objects that this command
/// reads.
fn newest_pass_through_versions(
    answers: &[ProcessAnswer],
) -> Option<BTreeMap<String, ReportedVersion>> {
    let statuses = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .filter(|status| status["delivery"] == "pass_through");
    let mut newest = None;
    for status in statuses {
        let newest = newest.get_or_insert_with(BTreeMap::new);
        for (key, version) in processes::versions_in_force(status) {
            let newest_version = newest.entry(key).or_insert(version);
            *newest_version = version.max(*newest_version);
        }
    }
    newest
}

/// Determines the state of a balancer, and the objects of which it has no version or an older one
/// than expected.
fn compare_versions<'a>(
    answered: &'a ProcessAnswer,
    expected: &BTreeMap<String, ReportedVersion>,
) -> BalancerStatus<'a> {
    let Ok(status) = &answered.answer else {
        return BalancerStatus {
            answered,
            state: "no answer",
            lags: Vec::new(),
        };
    };
    let versions = processes::versions_in_force(status);
    let lags = expected
        .iter()
        .filter_map(|(key, version)| {
            let in_force = versions.get(key).copied().unwrap_or_default();
            (in_force < *version).then(|| (key.clone(), in_force, *version))
        })
        .collect();
    BalancerStatus {
        answered,
        state: if status["stopping"] == true {
            "stopping"
        } else {
            "running"
        },
        lags,
    }
}

/// Alert about a balancer or the store, with a message for operators.
struct Degradation {
    alert: Alert,
    message: String,
}

impl Degradation {
    fn to_json(&self) -> Value {
        json!({"alert": self.alert.entry().name, "message": self.message})
    }
}

/// Returns the alerts about each balancer, those from its status before its version lags.
fn find_degradations(balancers: &[BalancerStatus]) -> Vec<Degradation> {
    let mut degradations = Vec::new();
    for balancer in balancers {
        let name = &balancer.answered.name;
        let mut add = |alert, message: String| {
            let message = format!("{name}: {message}");
            degradations.push(Degradation { alert, message });
        };
        match &balancer.answered.answer {
            Err(error) => add(Alert::BalancerUnreachable, error.message.to_string()),
            Ok(status) => {
                let freshness_state = status["standing"].as_str().unwrap_or_default();
                if freshness_state.eq_ignore_ascii_case("isolated") {
                    let message = "serves its last configuration, which nobody confirms";
                    add(Alert::Isolated, message.to_owned());
                }
                for object in array_items(&status["objects_invalid"]) {
                    let [key, version, reason] =
                        ["key", "version", "reason"].map(|field| format_cell(&object[field]));
                    add(
                        Alert::ObjectInvalid,
                        format!("{key} version {version} is invalid and not in force: {reason}"),
                    );
                }
                for problem in array_items(&status["problems"]) {
                    add(Alert::ClaimNotInForce, format_cell(problem));
                }
                for domain in array_items(&status["domains_out"]) {
                    let message = format!("failure domain {} is out", format_cell(domain));
                    add(Alert::DomainOut, message);
                }
            }
        }
        for (key, in_force, expected) in &balancer.lags {
            add(
                Alert::VersionLag,
                format!("lags: {key} has version {in_force}, the store has {expected}"),
            );
        }
    }
    degradations
}

/// Returns the elements of a JSON array; any other value has none.
fn array_items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn balancer_json(balancer: &BalancerStatus) -> Value {
    let lags: Vec<Value> = balancer
        .lags
        .iter()
        .map(|(key, in_force, expected)| {
            json!({
                "key": key, "version": in_force.version, "stored": expected.version,
                "era": in_force.era, "stored_era": expected.era,
            })
        })
        .collect();
    json!({
        "node": balancer.answered.name,
        "domain": balancer.answered.domain,
        "http_address": balancer.answered.address,
        "state": balancer.state,
        "lags": lags,
        "status": balancer.answered.answer.as_ref().ok(),
    })
}

/// Formats a table of balancers, a table of objects with the number of balancers at which they are in
/// force, and the alerts.
fn format_text(
    balancers: &[BalancerStatus],
    expected: &BTreeMap<String, ReportedVersion>,
    degradations: &[Degradation],
) -> String {
    let rows: Vec<Vec<String>> = balancers
        .iter()
        .map(|balancer| {
            let status = balancer.answered.answer.as_ref();
            let hosts = status.map_or(0, |status| array_items(&status["hosts"]).len());
            vec![
                balancer.answered.name.clone(),
                balancer.answered.domain.clone(),
                balancer.answered.address.to_string(),
                balancer.state.to_owned(),
                hosts.to_string(),
                if status.is_err() {
                    "unknown".to_owned()
                } else {
                    balancer.lags.len().to_string()
                },
            ]
        })
        .collect();
    let objects: Vec<Vec<String>> = expected
        .iter()
        .map(|(key, version)| {
            let is_current = |balancer: &&BalancerStatus| {
                let status = balancer.answered.answer.as_ref();
                status.is_ok_and(|status| {
                    processes::versions_in_force(status)
                        .get(key)
                        .is_some_and(|in_force| in_force >= version)
                })
            };
            let count = balancers.iter().filter(is_current).count();
            vec![
                key.clone(),
                version.to_string(),
                format!("{count} of {}", balancers.len()),
            ]
        })
        .collect();
    let degraded = if degradations.is_empty() {
        "nothing is degraded\n".to_owned()
    } else {
        let lines = degradations
            .iter()
            .map(|degradation| format!("  {} [{}]\n", degradation.message, degradation.alert));
        format!("degraded:\n{}", lines.collect::<String>())
    };
    format!(
        "{}\n{}\n{degraded}",
        format_table(
            &["BALANCER", "DOMAIN", "ENDPOINT", "STATE", "HOSTS", "LAGS"],
            &rows
        ),
        format_table(&["OBJECT", "VERSION", "IN FORCE AT"], &objects),
    )
}
