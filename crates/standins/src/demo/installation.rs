//! Processes of one installation.

use {
    super::{Result, customers::SERVICE_PORT},
    crate::{
        demo::{Customer, ServicePlan},
        fabric::{Links, Target},
        processes::{Process, field},
        store::Faults,
    },
    cardamomloom_core::ObjectVersion,
    cardamomloom_protocol::object::DOMAINS_PREFIX,
    cardamomloom_transport::store::{StoreClient, StoreOptions},
    nix::sys::signal::Signal,
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        fs,
        io::Error,
        net::SocketAddr,
        path::{Path, PathBuf},
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

const DATAGRAM_KEY: &str = "00112233445566778899aabbccddeeff";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the callers of one service do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of flows.
    pub flows: usize,
    /// Requests of a flow.
    pub requests_per_flow: u32,
    /// Time between two requests of a flow.
    pub interval_ms: u64,
    /// Time over which the flows are opened.
    pub open_over_ms: u64,
    /// Time after which an unanswered flow counts as broken.
    pub timeout_ms: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            flows: 120,
            requests_per_flow: 12,
            interval_ms: 700,
            open_over_ms: 4_000,
            timeout_ms: 15_000,
        }
    }
}

/// A daemon with the addresses that it printed.
pub struct MemberProcess {
    /// The process.
    pub process: Process,
    /// Packet socket and operator endpoints.
    pub target: Target,
    /// Control socket.
    pub control_address: SocketAddr,
}

pub(super) struct Host {
    agent: MemberProcess,
    _backend: Process,
    /// Control listener of the backend server.
    pub(super) backend_address: SocketAddr,
}

/// The running processes; all are killed when the value is dropped.
pub struct Installation {
    customer: Customer,
    folder: PathBuf,
    runtime: Runtime,
    http: reqwest::Client,
    store: Process,
    store_url: String,
    _fabric: Process,
    fabric_ingress: SocketAddr,
    fabric_egress: SocketAddr,
    fabric_control: SocketAddr,
    balancers: Vec<MemberProcess>,
    pub(super) hosts: Vec<Vec<Host>>,
    started_callers: u32,
    settings_written: u32,
}

impl Installation {
    /// Starts everything and waits until every balancer knows every host.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub fn start(customer: Customer, folder: &Path) -> Result<Self> {
        let catalogue = customer.catalogue().map_err(Error::other)?;
        Self::start_with(customer, folder, catalogue)
    }

    /// Starts everything with the given keys and values of the catalogue, which must have the
    /// customer's services and failure domains.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub fn start_with(
        customer: Customer,
        folder: &Path,
        catalogue: Vec<(String, Value)>,
    ) -> Result<Self> {
        fs::create_dir_all(folder)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let store = Process::start("store", "standin-store", [""; 0])?;
        let store_address: SocketAddr = field(&store.wait_for_event("bound")?, "http_address")?;
        let fabric = Process::start("fabric", "standin-fabric", [""; 0])?;
        let fabric_bound = fabric.wait_for_event("bound")?;
        let mut installation = Self {
            customer,
            folder: folder.to_owned(),
            runtime,
            http: reqwest::Client::new(),
            store,
            store_url: format!("http://{store_address}"),
            _fabric: fabric,
            fabric_ingress: field(&fabric_bound, "ingress_address")?,
            fabric_egress: field(&fabric_bound, "egress_address")?,
            fabric_control: field(&fabric_bound, "http_address")?,
            balancers: Vec::new(),
            hosts: Vec::new(),
            started_callers: 0,
            settings_written: 0,
        };
        installation.write_catalogue(catalogue)?;
        for domain in customer.domains() {
            let balancer = installation.start_balancer(domain)?;
            installation.balancers.push(balancer);
        }
        installation.set_targets()?;
        for plan in customer.services() {
            let hosts = installation.start_hosts(plan)?;
            installation.hosts.push(hosts);
        }
        installation.wait_until_known()?;
        Ok(installation)
    }

    /// Returns the services.
    #[must_use]
    pub const fn services(&self) -> [ServicePlan; 2] {
        self.customer.services()
    }

    /// Returns the base URL of the store.
    #[must_use]
    pub fn store_url(&self) -> &str {
        &self.store_url
    }

    /// Returns a balancer.
    ///
    /// # Errors
    ///
    /// Fails when there is none with this index.
    pub fn balancer(&self, index: usize) -> Result<&Process> {
        self.balancers
            .get(index)
            .map(|member| &member.process)
            .ok_or_else(|| Error::other(format!("no balancer {index}")))
    }

    /// Returns the agent of a host.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes.
    pub fn agent(&self, service: usize, host: usize) -> Result<&Process> {
        self.hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| &host.agent.process)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))
    }

    fn write_catalogue(&self, catalogue: Vec<(String, Value)>) -> Result<()> {
        let store =
            StoreClient::new(&self.store_url, StoreOptions::default()).map_err(Error::other)?;
        for (key, value) in catalogue {
            self.runtime
                .block_on(store.put(&key, ObjectVersion(0), &value))
                .map_err(Error::other)?;
        }
        Ok(())
    }

    fn start_daemon(&mut self, name: &str, domain: &str, role: &Value) -> Result<MemberProcess> {
        let settings = json!({
            "domain": domain,
            "data_address": "127.0.0.1:0",
            "control_address": "127.0.0.1:0",
            "http_address": "127.0.0.1:0",
            "store_url": self.store_url,
            "datagram_key": DATAGRAM_KEY,
            "role": role,
        });
        self.settings_written += 1;
        let path = self
            .folder
            .join(format!("{name}-{}.json", self.settings_written));
        fs::write(&path, settings.to_string())?;
        let process = Process::start(
            name,
            "cardamomloomd",
            ["--settings".as_ref(), path.as_os_str()],
        )?;
        let bound = process.wait_for_event("bound")?;
        Ok(MemberProcess {
            process,
            target: Target {
                data_address: field(&bound, "data_address")?,
                http_address: field(&bound, "http_address")?,
            },
            control_address: field(&bound, "control_address")?,
        })
    }

    fn start_balancer(&mut self, domain: &str) -> Result<MemberProcess> {
        self.start_daemon("balancer", domain, &json!({ "balancer": {} }))
    }

    fn start_hosts(&mut self, plan: ServicePlan) -> Result<Vec<Host>> {
        let domains = self.customer.domains();
        (0..plan.hosts)
            .map(|index| self.start_host(plan, domains[index % domains.len()]))
            .collect()
    }

    fn start_host(&mut self, plan: ServicePlan, domain: &str) -> Result<Host> {
        let backend = Process::start("backend", "standin-backend", ["--service", plan.name])?;
        let bound = backend.wait_for_event("bound")?;
        let backend_address: SocketAddr = field(&bound, "http_address")?;
        let control_address: SocketAddr = field(&bound, "control_address")?;
        let role = json!({ "agent": {
            "service": plan.name,
            "backend_address": backend_address,
            "load_url": format!("http://{control_address}/load"),
            "return_address": self.fabric_egress,
        }});
        Ok(Host {
            agent: self.start_daemon("agent", domain, &role)?,
            _backend: backend,
            backend_address: control_address,
        })
    }

    /// Starts one more host of a service in a failure domain.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn add_host(&mut self, service: usize, domain: &str) -> Result<()> {
        let host = self.start_host(self.services()[service], domain)?;
        self.hosts[service].push(host);
        Ok(())
    }

    /// Returns the operator endpoints of the agents.
    #[must_use]
    pub fn agent_endpoints(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().flatten();
        hosts.map(|host| host.agent.target.http_address).collect()
    }

    /// Returns the addresses of every UDP socket and every operator endpoint of all daemons.
    #[must_use]
    pub fn daemon_addresses(&self) -> Vec<SocketAddr> {
        let agents = self.hosts.iter().flatten().map(|host| &host.agent);
        self.balancers
            .iter()
            .chain(agents)
            .flat_map(|member| {
                [
                    member.target.data_address,
                    member.control_address,
                    member.target.http_address,
                ]
            })
            .collect()
    }

    /// Returns the process of the store.
    #[must_use]
    pub const fn store(&self) -> &Process {
        &self.store
    }

    /// Returns the state that an agent shows.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes, or it does not answer.
    pub fn agent_status(&self, service: usize, host: usize) -> Result<Value> {
        let address = self
            .hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| host.agent.target.http_address)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))?;
        self.get_json(&format!("http://{address}/status"))
    }

    /// Waits until an agent has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `timeout`, or not with success.
    pub fn wait_for_agent(&mut self, service: usize, host: usize, timeout: Duration) -> Result<()> {
        let status = self.hosts[service][host].agent.process.wait(timeout)?;
        if !status.success() {
            return Err(Error::other(format!("agent ended with {status}")));
        }
        Ok(())
    }

    /// Tells the fabric which balancers exist.
    fn set_targets(&self) -> Result<()> {
        let targets: Vec<Target> = self.balancers.iter().map(|member| member.target).collect();
        self.put_json(&format!("http://{}/targets", self.fabric_control), &targets)
    }

    /// Sets loss and delay of the links.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub fn set_links(&self, links: Links) -> Result<()> {
        self.put_json(&format!("http://{}/links", self.fabric_control), &links)
    }

    /// Sets the faults of the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub fn set_store_faults(&self, faults: Faults) -> Result<()> {
        self.put_json(&format!("{}/faults", self.store_url), &faults)
    }

    /// Takes a failure domain out or brings it back, and returns when the store accepted it.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or does not have the failure domain.
    pub fn set_domain(&self, name: &str, out: bool) -> Result<()> {
        let store =
            StoreClient::new(&self.store_url, StoreOptions::default()).map_err(Error::other)?;
        let key = format!("{DOMAINS_PREFIX}{name}");
        let object = self
            .runtime
            .block_on(store.get(&key))
            .map_err(Error::other)?
            .ok_or_else(|| Error::other(format!("no failure domain {name}")))?;
        let mut value = object.value.unwrap_or_default();
        value["state"] = json!(if out { "out" } else { "in" });
        self.runtime
            .block_on(store.put(&key, object.version, &value))
            .map_err(Error::other)?;
        Ok(())
    }

    /// Returns the sum of the counters of a daemon whose line starts with `prefix`; member 0 of
    /// `None` is the first balancer, and of a service its first agent.
    ///
    /// # Errors
    ///
    /// Fails when there is no such member, or it does not answer.
    pub fn metric(&self, service: Option<usize>, member: usize, prefix: &str) -> Result<f64> {
        let found = match service {
            None => self.balancers.get(member),
            Some(service) => self.hosts[service].get(member).map(|host| &host.agent),
        };
        let target = found
            .ok_or_else(|| Error::other(format!("no member {member}")))?
            .target;
        let request = self
            .http
            .get(format!("http://{}/metrics", target.http_address));
        let text = self
            .runtime
            .block_on(async { request.send().await?.text().await })
            .map_err(Error::other)?;
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        Ok(lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum())
    }

    pub(super) fn put_json<T: Serialize>(&self, url: &str, body: &T) -> Result<()> {
        let request = self.http.put(url).json(body);
        self.runtime
            .block_on(async { request.send().await?.error_for_status() })
            .map_err(Error::other)?;
        Ok(())
    }

    pub(super) fn post(&self, url: &str) -> Result<()> {
        let request = self.http.post(url);
        self.runtime
            .block_on(async { request.send().await?.error_for_status() })
            .map_err(Error::other)?;
        Ok(())
    }

    /// Waits until every balancer is ready and knows every host as ready.
    fn wait_until_known(&self) -> Result<()> {
        let expected: usize = self.hosts.iter().map(Vec::len).sum();
        let deadline = Instant::now() + READY_TIMEOUT;
        for balancer in &self.balancers {
            while self.known_hosts(balancer) < expected {
                if Instant::now() >= deadline {
                    return Err(Error::other("balancers do not know all hosts"));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn known_hosts(&self, balancer: &MemberProcess) -> usize {
        let url = format!("http://{}/status", balancer.target.http_address);
        let status: Value = self.get_json(&url).unwrap_or_default();
        status["hosts"].as_array().map_or(0, |hosts| {
            hosts.iter().filter(|host| host["state"] == "Ready").count()
        })
    }

    pub(super) fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T> {
        let request = self.http.get(url);
        self.runtime
            .block_on(async { request.send().await?.json().await })
            .map_err(Error::other)
    }

    /// Stops a balancer and starts another in its place.
    ///
    /// # Errors
    ///
    /// Fails when the balancer does not stop or the new one does not start.
    pub fn restart_balancer(&mut self, index: usize) -> Result<()> {
        let domains = self.customer.domains();
        let successor = self.start_balancer(domains[index % domains.len()])?;
        let mut old = std::mem::replace(&mut self.balancers[index], successor);
        self.set_targets()?;
        old.process.signal(Signal::SIGTERM)?;
        let status = old.process.wait(STOP_TIMEOUT)?;
        if !status.success() {
            return Err(Error::other(format!("balancer ended with {status}")));
        }
        Ok(())
    }

    /// Starts callers of a service.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_callers(&mut self, service: usize, load: &Load) -> Result<Process> {
        let plan = self.services()[service];
        self.started_callers += 1;
        let arguments = [
            format!("--fabric={}", self.fabric_ingress),
            format!("--target={}:{SERVICE_PORT}", plan.address),
            format!("--service={}", plan.name),
            format!("--flows={}", load.flows),
            format!("--requests={}", load.requests_per_flow),
            format!("--interval-ms={}", load.interval_ms),
            format!("--open-over-ms={}", load.open_over_ms),
            format!("--timeout-ms={}", load.timeout_ms),
            format!("--address=198.51.100.{}", self.started_callers),
            format!("--seed={}", self.started_callers),
        ];
        Process::start("callers", "standin-caller", arguments)
    }
}
