//! A small deployment: store, hosts, the project's processes, routers and clients.

use crate::{
    client::{Clients, Outcome, Routers},
    fleet::{Fleet, Layout, Node, service_name},
    host::Host,
    record::Record,
    store::Store,
};
use std::{
    io::{Error, Result},
    net::SocketAddrV4,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Interval of the heartbeats of hosts.
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// Time between the starts of the first and the last machine.
const START_SPREAD: Duration = Duration::from_millis(200);

/// Size of a deployment.
pub struct Plan {
    pub balancers: u8,
    /// Hosts of each service.
    pub hosts: Vec<u8>,
    /// Seeds of all processes; the first balancers, where there are none.
    pub seeds: Option<Vec<SocketAddrV4>>,
    /// Age of the store's answers that may be old.
    pub replica_lag: Duration,
    /// Bytes a second on the link of an edge machine to the store.
    pub link: Option<usize>,
    /// Whether the hosts start before the processes beside them; both orders are allowed.
    pub are_hosts_first: bool,
    /// Whether a collector reads the logs of the processes from pipes.
    pub has_collector: bool,
    /// First configuration.
    pub config: String,
}

/// A running deployment.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub balancers: Vec<Node>,
    /// Agents, in the order of `hosts`.
    pub agents: Vec<Node>,
    pub hosts: Vec<Host>,
    pub routers: Arc<Routers>,
    pub clients: Arc<Clients>,
    /// Removes the settings and logs when it is dropped, after the processes.
    _fleet: Fleet,
}

impl Site {
    /// Starts the deployment.
    pub fn start(root: &Path, layout: Layout, plan: Plan, record: &Record) -> Result<Self> {
        let store = Store::new(plan.replica_lag);
        store.listen(layout.store("edge"), plan.link)?;
        store.listen(layout.store("side"), None)?;
        store.put("config", "main", &plan.config);
        let mut fleet = Fleet::new(root, layout)?;
        fleet.seeds = plan.seeds.unwrap_or_else(|| {
            let seeds =
                (0..plan.balancers.min(3)).map(|index| layout.control_plane(layout.edge(index)));
            seeds.collect()
        });
        let zone = |index: u8| ZONES[usize::from(index) % ZONES.len()];
        let mut balancers = Vec::new();
        for index in 0..plan.balancers {
            balancers.push(fleet.balancer(index, zone(index))?);
        }
        let mut plans = Vec::new();
        for (service, count) in (0..).zip(&plan.hosts) {
            plans.extend(
                (0..*count).map(|index| layout.host(service, index, zone(index), HEARTBEAT)),
            );
        }
        let mut agents = Vec::new();
        for host in &plans {
            agents.push(fleet.agent(host)?);
        }
        let start_hosts = || -> Result<Vec<Host>> {
            let hosts = plans.iter().map(|host| Host::start(host.clone(), record));
            hosts.collect()
        };
        let mut hosts = Vec::new();
        if plan.are_hosts_first {
            hosts = start_hosts()?;
            thread::sleep(START_SPREAD);
        }
        for node in balancers.iter_mut().chain(&mut agents) {
            node.is_collector_stalled = plan.has_collector.then(Arc::default);
            node.start(record)?;
        }
        if !plan.are_hosts_first {
            thread::sleep(START_SPREAD);
            hosts = start_hosts()?;
        }
        let routers = fleet.routers(plan.balancers, record);
        let clients = Clients::new(layout.network, layout.port, routers.clone(), record);
        Ok(Self {
            record: record.clone(),
            store,
            balancers,
            agents,
            hosts,
            routers,
            clients: Arc::new(clients),
            _fleet: fleet,
        })
    }

    /// Waits until a request on a route is answered.
    pub fn wait_until_served(&self, route: SocketAddrV4) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let mut flow = self.clients.flow(route)?;
            if flow.open() == Outcome::Opened
                && matches!(
                    flow.request("GET", "/warm", Duration::from_secs(1)),
                    Outcome::Answered(_)
                )
            {
                flow.close();
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(Error::other("no request is served at the start"))
    }

    /// Writes what the processes logged for some events to the record.
    pub fn record_logs(&self, events: &[&str]) {
        for node in self.balancers.iter().chain(&self.agents) {
            for line in node.log_lines(events) {
                self.record.line(&line);
            }
        }
    }
}

/// Requests on flows of their own, at a fixed rate, until `stop` is called.
pub struct Traffic {
    /// Start and success of each request.
    results: Arc<Mutex<Vec<(Instant, bool)>>>,
    is_running: Arc<Mutex<bool>>,
}

impl Traffic {
    /// Starts requests to a route.
    pub fn start(clients: &Arc<Clients>, route: SocketAddrV4, interval: Duration) -> Self {
        let traffic = Self {
            results: Arc::default(),
            is_running: Arc::new(Mutex::new(true)),
        };
        let (results, is_running) = (traffic.results.clone(), traffic.is_running.clone());
        let clients = clients.clone();
        thread::spawn(move || {
            while *is_running.lock().expect("no panics") {
                if let Ok(mut flow) = clients.flow(route) {
                    let results = results.clone();
                    thread::spawn(move || {
                        let started = Instant::now();
                        let is_served = flow.open() == Outcome::Opened
                            && matches!(
                                flow.request("GET", "/list", Duration::from_secs(2)),
                                Outcome::Answered(_)
                            );
                        let mut results = results.lock().expect("no panics");
                        results.push((started, is_served));
                        drop(results);
                        flow.close();
                    });
                }
                thread::sleep(interval);
            }
        });
        traffic
    }

    /// Ends the traffic and waits for the last answers.
    pub fn stop(&self) {
        *self.is_running.lock().expect("no panics") = false;
        thread::sleep(Duration::from_millis(3_500));
    }

    /// Returns the numbers of served and of all requests that were sent in a span.
    pub fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let results = self.results.lock().expect("no panics");
        let sent = results
            .iter()
            .filter(|(started, _)| (from..to).contains(started));
        let (mut served, mut all) = (0, 0);
        for (_, is_served) in sent {
            all += 1;
            served += usize::from(*is_served);
        }
        (served, all)
    }
}

/// Returns a configuration. A route has its weighted services, or one.
pub fn config(
    layout: &Layout,
    version: u64,
    routes: &[(u8, &str, Vec<(u8, u32)>)],
    idle_timeout_ms: u64,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(number, kind, targets)| {
            let address = layout.route(*number);
            let target = match &targets[..] {
                [(service, _)] => format!("\"service\":\"{}\"", service_name(*service)),
                several => {
                    let backends: Vec<String> = several
                        .iter()
                        .map(|(service, weight)| {
                            let name = service_name(*service);
                            format!("{{\"service\":\"{name}\",\"weight\":{weight}}}")
                        })
                        .collect();
                    format!("\"backends\":[{}]", backends.join(","))
                }
            };
            format!(
                "{{\"name\":\"r-{number}\",\"hostname\":\"{}\",\"path_prefix\":\"/{}/\",\
                 \"type\":\"{kind}\",\"timeout_ms\":1500,\"latency_goal_ms\":200,\"priority\":1,\
                 {target},\"attempts\":2}}",
                address.ip(),
                address.port()
            )
        })
        .collect();
    let services: Vec<String> = (0..2)
        .map(|service| {
            format!(
                "{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":2000,\
                 \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":42.0}}",
                service_name(service)
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":{idle_timeout_ms}}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a configuration with further routes, each at an address of its own.
pub fn grown_config(
    layout: &Layout,
    version: u64,
    routes: &[(u8, &str, Vec<(u8, u32)>)],
    count: u32,
) -> String {
    let mut text = config(layout, version, routes, 15_000);
    let further: String = (0..count)
        .map(|number| {
            let [_, _, high, low] = number.to_be_bytes();
            format!(
                "{{\"name\":\"r-more-{number:05}\",\"hostname\":\"127.19.{high}.{low}\",\
                 \"path_prefix\":\"/8443/\",\"type\":\"safe\",\"timeout_ms\":1500,\
                 \"latency_goal_ms\":200,\"priority\":2,\"service\":\"{}\",\"attempts\":2}},",
                service_name(0)
            )
        })
        .collect();
    let start = "\"routes\":[";
    text = text.replacen(start, &format!("{start}{further}"), 1);
    text
}
