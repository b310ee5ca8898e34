//! Queries to the HTTP endpoints of balancers and agents.

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
        fmt,
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{self, Instant},
    },
};

/// Pause between two polls of the balancers while a command waits for a change to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of concurrent calls to endpoints.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Name, failure domain and endpoint of a balancer or an agent.
pub type ProcessEndpoint = (String, String, SocketAddr);

/// Answer of a balancer or an agent to one query.
#[derive(Clone, Debug)]
pub struct ProcessAnswer {
    /// Registered identity, or the address when the process is not registered.
    pub name: String,
    /// Failure domain, or `-` when the process is not registered.
    pub domain: String,
    /// Address of the HTTP endpoint.
    pub address: SocketAddr,
    /// JSON document that the process answered with, or why there is none.
    pub answer: Result<Value>,
}

/// Returns the endpoints of the balancers that are named with `--nodes`, or else of those that are
/// registered in the store. Invalid registrations are skipped.
///
/// # Errors
///
/// Fails with kind `store_unavailable` when the registrations cannot be read.
pub async fn balancer_endpoints(context: &Context) -> Result<Vec<ProcessEndpoint>> {
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

/// Queries several endpoints concurrently and returns the answers in the order of `endpoints`.
pub async fn query_all(
    context: &Context,
    endpoints: Vec<ProcessEndpoint>,
    path: &'static str,
    query: &[(&'static str, String)],
) -> Vec<ProcessAnswer> {
    let mut answers = BTreeMap::new();
    let mut calls = JoinSet::new();
    for (index, (name, domain, address)) in endpoints.into_iter().enumerate() {
        if calls.len() >= MAX_CONCURRENT_CALLS {
            collect_answer(&mut answers, calls.join_next().await);
        }
        let (client, query) = (context.inspect.clone(), query.to_vec());
        calls.spawn(async move {
            let answer = client.get(address, path, &query).await;
            let answered = ProcessAnswer {
                name,
                domain,
                address,
                answer,
            };
            (index, answered)
        });
    }
    while let Some(joined) = calls.join_next().await {
        collect_answer(&mut answers, Some(joined));
    }
    answers.into_values().collect()
}

/// Result of a spawned call: the index of the endpoint and its answer.
type JoinedCall = std::result::Result<(usize, ProcessAnswer), tokio::task::JoinError>;

/// Adds the answer of a call that has ended; a call that panicked is left out.
fn collect_answer(answers: &mut BTreeMap<usize, ProcessAnswer>, joined: Option<JoinedCall>) {
    if let Some(Ok((index, answered))) = joined {
        answers.insert(index, answered);
    }
}

/// Version of an object that a process or the store reports. A version of a later era is later,
/// whatever its number, because a restore of the store gives out numbers again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedVersion {
    /// Era of the store; 0 for objects without one.
    pub era: u64,
    /// Version within the era.
    pub version: ObjectVersion,
}

impl From<ObjectVersion> for ReportedVersion {
    fn from(version: ObjectVersion) -> Self {
        Self { era: 0, version }
    }
}

impl fmt::Display for ReportedVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.version)?;
        if self.era > 0 {
            write!(f, " of era {}", self.era)?;
        }
        Ok(())
    }
}

/// Returns the version in force of each object, by key, from the status of a process.
pub fn versions_in_force(status: &Value) -> BTreeMap<String, ReportedVersion> {
    let objects = status["objects"].as_array().into_iter().flatten();
    objects
        .filter_map(|object| {
            let key = object["key"].as_str()?.to_owned();
            let version = ObjectVersion(object["version"].as_u64()?);
            let era = object["era"].as_u64().unwrap_or_default();
            Some((key, ReportedVersion { era, version }))
        })
        .collect()
}

/// Returns each process at which neither `target_version` of an object nor a later one is in force,
/// as text with its name and the reason.
pub fn lagging_processes(
    answers: &[ProcessAnswer],
    key: &str,
    target_version: ObjectVersion,
) -> Vec<String> {
    let lag_reason = |answered: &ProcessAnswer| match &answered.answer {
        Err(error) => Some(format!("{} ({})", answered.name, error.message)),
        Ok(status) => match versions_in_force(status).get(key) {
            Some(version) if *version >= target_version.into() => None,
            Some(version) => Some(format!("{} (has version {version})", answered.name)),
            None => Some(format!("{} (has no version)", answered.name)),
        },
    };
    answers.iter().filter_map(lag_reason).collect()
}

/// Waits until `target_version` of an object or a later one is in force at every balancer, and
/// returns the number of balancers.
///
/// # Errors
///
/// Fails with kind `not_yet_in_force` when the timeout expires. The message names the balancers at
/// which the version is not in force.
pub async fn wait_in_force(
    context: &Context,
    key: &str,
    target_version: ObjectVersion,
    timeout: Duration,
) -> Result<usize> {
    let deadline = Instant::now() + timeout;
    let mut lagging = vec!["every balancer (none answered in time)".to_owned()];
    loop {
        match time::timeout_at(deadline, poll_in_force(context, key, target_version)).await {
            Ok(Ok((count, behind))) if behind.is_empty() => return Ok(count),
            Ok(Ok((_, behind))) => lagging = behind,
            Ok(Err(error)) => lagging = vec![format!("every balancer ({})", error.message)],
            Err(_) => {}
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(Error::new(
                ErrorKind::NotYetInForce,
                format!(
                    "change: {key:?} is accepted; version {target_version} or later is not yet in force at: {}",
                    lagging.join(", ")
                ),
            ));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of balancers, and those at which the version is not yet in force.
async fn poll_in_force(
    context: &Context,
    key: &str,
    target_version: ObjectVersion,
) -> Result<(usize, Vec<String>)> {
    let balancers = balancer_endpoints(context).await?;
    let answers = query_all(context, balancers, "/status", &[]).await;
    Ok((
        answers.len(),
        lagging_processes(&answers, key, target_version),
    ))
}

/// Returns the largest number of open flows on one host, for each service all of whose known hosts
/// reported through the agents named with `--agents`.
pub async fn max_open_flows(context: &Context) -> BTreeMap<ServiceId, u64> {
    let Ok(balancers) = balancer_endpoints(context).await else {
        return BTreeMap::new();
    };
    let statuses = query_all(context, balancers, "/status", &[]).await;
    let hosts = known_hosts(&statuses);
    let agents = context.agents.iter().map(|address| {
        let name = address.to_string();
        (name, "-".to_owned(), *address)
    });
    let agent_statuses = query_all(context, agents.collect(), "/status", &[]).await;
    let mut reported_flows: BTreeMap<ServiceId, BTreeMap<u64, u64>> = BTreeMap::new();
    for status in agent_statuses
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
    {
        if let (Some(service), Some(host), Some(open_flows)) = (
            service_id_of(&status["host"]),
            status["host"]["host"].as_u64(),
            status["open_flows"].as_u64(),
        ) {
            reported_flows
                .entry(service)
                .or_default()
                .insert(host, open_flows);
        }
    }
    hosts
        .into_iter()
        .filter_map(|(service, hosts)| {
            let open_flows = reported_flows.remove(&service).unwrap_or_default();
            let is_complete = hosts.iter().all(|host| open_flows.contains_key(host));
            let max = open_flows.values().copied().max().unwrap_or_default();
            is_complete.then_some((service, max))
        })
        .collect()
}

/// Returns the ids of the hosts of each service that at least one balancer knows and does not report
/// in state `Gone`.
fn known_hosts(statuses: &[ProcessAnswer]) -> BTreeMap<ServiceId, BTreeSet<u64>> {
    let mut hosts: BTreeMap<ServiceId, BTreeSet<u64>> = BTreeMap::new();
    let answers = statuses
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok());
    for host in answers
        .filter_map(|status| status["hosts"].as_array())
        .flatten()
    {
        if let (Some(service), Some(id)) = (service_id_of(host), host["host"].as_u64())
            && host["state"] != "Gone"
        {
            hosts.entry(service).or_default().insert(id);
        }
    }
    hosts
}

/// Returns the service id in a JSON document about a host.
fn service_id_of(host: &Value) -> Option<ServiceId> {
    let id = host["service"].as_u64()?;
    u32::try_from(id).ok().map(ServiceId)
}
