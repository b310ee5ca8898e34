//! What balancers and agents report on their endpoints.

use {
    crate::context::Context,
    cardamomloom_core::{
        ObjectVersion, ServiceId,
        error::{Error, ErrorKind, Result},
    },
    cardamomloom_protocol::object::{self, NODES_PREFIX, NodeSpec},
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{self, Instant},
    },
};

/// Pause between two looks at the balancers.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Most calls to processes at the same time.
const CONCURRENT_CALLS: usize = 64;

/// A process and its answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Identity, or the address when the process is not registered.
    pub name: String,
    /// Failure domain, when known.
    pub domain: String,
    /// Address of the endpoints.
    pub address: SocketAddr,
    /// The answer, or why there is none.
    pub answer: Result<Value>,
}

/// Returns name, failure domain and endpoint of each balancer.
///
/// # Errors
///
/// Fails with kind `store_unavailable` when the registrations cannot be read.
pub async fn balancers(context: &Context) -> Result<Vec<(String, String, SocketAddr)>> {
    if let Some(nodes) = &context.nodes {
        let unregistered = |address: &SocketAddr| (address.to_string(), "-".to_owned(), *address);
        return Ok(nodes.iter().map(unregistered).collect());
    }
    let list = context.store.list(NODES_PREFIX).await?;
    let specs = list
        .objects
        .iter()
        .filter_map(|object| object::decode::<NodeSpec>(&object.key, object.value.as_ref()?).ok());
    Ok(specs
        .map(|spec| {
            let name = spec.node.to_string();
            (name, spec.domain.to_string(), spec.http_address)
        })
        .collect())
}

/// Asks processes at the same time; the answers come in the order of the processes.
pub async fn ask(
    context: &Context,
    processes: Vec<(String, String, SocketAddr)>,
    path: &'static str,
    query: &[(&'static str, String)],
) -> Vec<Answered> {
    let mut answers = BTreeMap::new();
    let mut calls = JoinSet::new();
    for (index, (name, domain, address)) in processes.into_iter().enumerate() {
        if calls.len() >= CONCURRENT_CALLS {
            collect(&mut answers, calls.join_next().await);
        }
        let (client, query) = (context.inspect.clone(), query.to_vec());
        calls.spawn(async move {
            let answer = client.get(address, path, &query).await;
            let answered = Answered {
                name,
                domain,
                address,
                answer,
            };
            (index, answered)
        });
    }
    while let Some(answer) = calls.join_next().await {
        collect(&mut answers, Some(answer));
    }
    answers.into_values().collect()
}

type Joined = std::result::Result<(usize, Answered), tokio::task::JoinError>;

fn collect(answers: &mut BTreeMap<usize, Answered>, joined: Option<Joined>) {
    if let Some(Ok((index, answered))) = joined {
        answers.insert(index, answered);
    }
}

/// Returns the versions in force that a process reports.
pub fn versions(status: &Value) -> BTreeMap<String, ObjectVersion> {
    let objects = status["objects"].as_array().into_iter().flatten();
    objects
        .filter_map(|object| {
            let key = object["key"].as_str()?.to_owned();
            Some((key, ObjectVersion(object["version"].as_u64()?)))
        })
        .collect()
}

/// Returns the processes that do not have a version of an object in force, with the reason.
pub fn lacking(answers: &[Answered], key: &str, target: ObjectVersion) -> Vec<String> {
    let lacks = |answered: &Answered| match &answered.answer {
        Err(error) => Some(format!("{} ({})", answered.name, error.message)),
        Ok(status) => match versions(status).get(key) {
            Some(version) if *version >= target => None,
            Some(version) => Some(format!("{} (has version {version})", answered.name)),
            None => Some(format!("{} (has no version)", answered.name)),
        },
    };
    answers.iter().filter_map(lacks).collect()
}

/// Waits until every balancer has a version of an object in force; returns their number.
///
/// # Errors
///
/// Fails with kind `not_yet_in_force` when the time is over; the message names who lacks it.
pub async fn wait_in_force(
    context: &Context,
    key: &str,
    target: ObjectVersion,
    timeout: Duration,
) -> Result<usize> {
    let deadline = Instant::now() + timeout;
    let mut lacking = vec!["every balancer (none answered in time)".to_owned()];
    loop {
        match time::timeout_at(deadline, look(context, key, target)).await {
            Ok(Ok((count, none))) if none.is_empty() => return Ok(count),
            Ok(Ok((_, some))) => lacking = some,
            Ok(Err(error)) => lacking = vec![format!("every balancer ({})", error.message)],
            Err(_) => {}
        }
        if Instant::now() + WAIT_INTERVAL >= deadline {
            return Err(Error::new(
                ErrorKind::NotYetInForce,
                format!(
                    "change: {key:?} is accepted; version {target} or later is not yet in force at: {}",
                    lacking.join(", ")
                ),
            ));
        }
        time::sleep(WAIT_INTERVAL).await;
    }
}

/// Returns the number of balancers, and those that lack a version.
async fn look(context: &Context, key: &str, target: ObjectVersion) -> Result<(usize, Vec<String>)> {
    let nodes = balancers(context).await?;
    let answers = ask(context, nodes, "/status", &[]).await;
    Ok((answers.len(), lacking(&answers, key, target)))
}

/// Returns the most open flows on one host for each service whose hosts all reported.
pub async fn most_used(context: &Context) -> BTreeMap<ServiceId, u64> {
    let Ok(nodes) = balancers(context).await else {
        return BTreeMap::new();
    };
    let statuses = ask(context, nodes, "/status", &[]).await;
    let hosts = known_hosts(&statuses);
    let agents = context.agents.iter().map(|address| {
        let name = address.to_string();
        (name, "-".to_owned(), *address)
    });
    let reports = ask(context, agents.collect(), "/status", &[]).await;
    let mut reported: BTreeMap<ServiceId, BTreeMap<u64, u64>> = BTreeMap::new();
    for status in reports
        .iter()
        .filter_map(|report| report.answer.as_ref().ok())
    {
        if let (Some(service), Some(host), Some(open)) = (
            service_of(&status["host"]),
            status["host"]["host"].as_u64(),
            status["open_flows"].as_u64(),
        ) {
            reported.entry(service).or_default().insert(host, open);
        }
    }
    hosts
        .into_iter()
        .filter_map(|(service, hosts)| {
            let reported = reported.remove(&service).unwrap_or_default();
            let is_complete = hosts.iter().all(|host| reported.contains_key(host));
            let most = reported.values().copied().max().unwrap_or_default();
            is_complete.then_some((service, most))
        })
        .collect()
}

/// Returns the hosts of each service that balancers know and that are not gone.
fn known_hosts(statuses: &[Answered]) -> BTreeMap<ServiceId, BTreeSet<u64>> {
    let mut known: BTreeMap<ServiceId, BTreeSet<u64>> = BTreeMap::new();
    let answers = statuses
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok());
    for host in answers
        .filter_map(|status| status["hosts"].as_array())
        .flatten()
    {
        if let (Some(service), Some(id)) = (service_of(host), host["host"].as_u64())
            && host["state"] != "Gone"
        {
            known.entry(service).or_default().insert(id);
        }
    }
    known
}

fn service_of(host: &Value) -> Option<ServiceId> {
    let id = host["service"].as_u64()?;
    u32::try_from(id).ok().map(ServiceId)
}
