//! Starts, controls and observes the processes of one installation.

use {
    super::{Result, customers::SERVICE_PORT},
    crate::{
        demo::{Customer, Load, ServicePlan},
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

/// Key that all daemons of an installation share.
const DATAGRAM_KEY: &str = "00112233445566778899aabbccddeeff";

/// Longest wait until every balancer lists every host as ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for a replaced balancer to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of status requests while a balancer does not list every host as ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running balancer or agent with the addresses that it printed.
pub struct DaemonProcess {
    /// Child process that runs the daemon.
    pub process: Process,
    /// Addresses of the packet socket and of the operator endpoints.
    pub target: Target,
    /// Address of the control socket.
    pub control_address: SocketAddr,
}

/// An agent and its backend server.
pub(super) struct Host {
    agent: DaemonProcess,
    _backend: Process,
    /// Address of the control listener of the backend server.
    pub(super) backend_control_address: SocketAddr,
}

/// The processes of a running system: store, fabric, balancers and hosts. All of them are killed
/// when the value is dropped.
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
    balancers: Vec<DaemonProcess>,
    /// Hosts by service, in the order in which they were started.
    pub(super) hosts: Vec<Vec<Host>>,
    /// Number of caller processes so far, from which each gets its own address and seed.
    started_callers: u32,
    /// Number of settings files so far, which makes their names unique.
    settings_written: u32,
}

impl Installation {
    /// Starts all processes with the catalogue of the customer and waits until every balancer lists
    /// every host as ready.
    ///
    /// The settings of the daemons are written to `folder`.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub fn start(customer: Customer, folder: &Path) -> Result<Self> {
        let catalogue = customer.catalogue().map_err(Error::other)?;
        Self::start_with_catalogue(customer, folder, catalogue)
    }

    /// Starts all processes as [`Self::start`] does, with the given keys and values as catalogue.
    ///
    /// The catalogue must contain the services and failure domains of the customer.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub fn start_with_catalogue(
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
        installation.wait_until_hosts_ready()?;
        Ok(installation)
    }

    /// Returns the services of the customer; methods refer to a service by its index here.
    #[must_use]
    pub const fn services(&self) -> [ServicePlan; 2] {
        self.customer.services()
    }

    /// Returns the base URL of the store.
    #[must_use]
    pub fn store_url(&self) -> &str {
        &self.store_url
    }

    /// Returns the process of a balancer.
    ///
    /// # Errors
    ///
    /// Fails when no balancer has this index.
    pub fn balancer(&self, index: usize) -> Result<&Process> {
        self.balancers
            .get(index)
            .map(|daemon| &daemon.process)
            .ok_or_else(|| Error::other(format!("no balancer {index}")))
    }

    /// Returns the process of the agent of a host.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes.
    pub fn agent(&self, service: usize, host: usize) -> Result<&Process> {
        self.hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| &host.agent.process)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))
    }

    /// Creates the objects of the catalogue in the store.
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

    /// Writes the settings of a daemon, starts it and waits for its addresses.
    fn start_daemon(&mut self, name: &str, domain: &str, role: &Value) -> Result<DaemonProcess> {
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
        Ok(DaemonProcess {
            process,
            target: Target {
                data_address: field(&bound, "data_address")?,
                http_address: field(&bound, "http_address")?,
            },
            control_address: field(&bound, "control_address")?,
        })
    }

    fn start_balancer(&mut self, domain: &str) -> Result<DaemonProcess> {
        self.start_daemon("balancer", domain, &json!({ "balancer": {} }))
    }

    /// Starts the hosts of a service, spread over the failure domains in turn.
    fn start_hosts(&mut self, plan: ServicePlan) -> Result<Vec<Host>> {
        let domains = self.customer.domains();
        (0..plan.hosts)
            .map(|index| self.start_host(plan, domains[index % domains.len()]))
            .collect()
    }

    /// Starts a backend server and then its agent.
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
            backend_control_address: control_address,
        })
    }

    /// Starts one more host of a service in a failure domain, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn add_host(&mut self, service: usize, domain: &str) -> Result<()> {
        let host = self.start_host(self.services()[service], domain)?;
        self.hosts[service].push(host);
        Ok(())
    }

    /// Returns the HTTP addresses of the operator endpoints of all agents.
    #[must_use]
    pub fn agent_endpoints(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().flatten();
        hosts.map(|host| host.agent.target.http_address).collect()
    }

    /// Returns the addresses of the UDP sockets and operator endpoints of all daemons.
    #[must_use]
    pub fn daemon_addresses(&self) -> Vec<SocketAddr> {
        let agents = self.hosts.iter().flatten().map(|host| &host.agent);
        self.balancers
            .iter()
            .chain(agents)
            .flat_map(|daemon| {
                [
                    daemon.target.data_address,
                    daemon.control_address,
                    daemon.target.http_address,
                ]
            })
            .collect()
    }

    /// Returns the process of the store.
    #[must_use]
    pub const fn store(&self) -> &Process {
        &self.store
    }

    /// Returns the JSON document that the agent of a host serves at `/status`.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes or its agent does not answer.
    pub fn agent_status(&self, service: usize, host: usize) -> Result<Value> {
        let address = self
            .hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| host.agent.target.http_address)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))?;
        self.get_json(&format!("http://{address}/status"))
    }

    /// Waits until the agent of a host exits by itself.
    ///
    /// # Errors
    ///
    /// Fails when the agent is still running after `timeout` or exits with an error status.
    pub fn wait_for_agent(&mut self, service: usize, host: usize, timeout: Duration) -> Result<()> {
        let status = self.hosts[service][host].agent.process.wait(timeout)?;
        if !status.success() {
            return Err(Error::other(format!(
                "agent of host {host} of service {service} exited with {status}"
            )));
        }
        Ok(())
    }

    /// Sends the addresses of the current balancers to the fabric.
    fn set_targets(&self) -> Result<()> {
        let targets: Vec<Target> = self.balancers.iter().map(|daemon| daemon.target).collect();
        self.put_json(&format!("http://{}/targets", self.fabric_control), &targets)
    }

    /// Sets the loss and delay that the fabric applies to packets.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub fn set_links(&self, links: Links) -> Result<()> {
        self.put_json(&format!("http://{}/links", self.fabric_control), &links)
    }

    /// Sets the faults that the store applies to later calls.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub fn set_store_faults(&self, faults: Faults) -> Result<()> {
        self.put_json(&format!("{}/faults", self.store_url), &faults)
    }

    /// Takes a failure domain out, or in again, and returns once the store has accepted the write.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer, does not have the failure domain or rejects the write.
    pub fn set_domain_out(&self, name: &str, is_out: bool) -> Result<()> {
        let store =
            StoreClient::new(&self.store_url, StoreOptions::default()).map_err(Error::other)?;
        let key = format!("{DOMAINS_PREFIX}{name}");
        let object = self
            .runtime
            .block_on(store.get(&key))
            .map_err(Error::other)?
            .ok_or_else(|| Error::other(format!("store has no failure domain {name}")))?;
        let mut value = object.value.unwrap_or_default();
        value["state"] = json!(if is_out { "out" } else { "in" });
        self.runtime
            .block_on(store.put(&key, object.version, &value))
            .map_err(Error::other)?;
        Ok(())
    }

    /// Returns the sum of the metrics of a daemon whose lines start with `prefix`.
    ///
    /// `index` counts the agents of `service`, or the balancers when `service` is `None`.
    ///
    /// # Errors
    ///
    /// Fails when there is no such daemon or it does not answer.
    pub fn metric(&self, service: Option<usize>, index: usize, prefix: &str) -> Result<f64> {
        let daemon = match service {
            None => self.balancers.get(index),
            Some(service) => self.hosts[service].get(index).map(|host| &host.agent),
        };
        let target = daemon
            .ok_or_else(|| {
                Error::other(match service {
                    None => format!("no balancer {index}"),
                    Some(service) => format!("no host {index} of service {service}"),
                })
            })?
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

    /// Waits until every balancer lists every host as ready.
    fn wait_until_hosts_ready(&self) -> Result<()> {
        let expected: usize = self.hosts.iter().map(Vec::len).sum();
        let deadline = Instant::now() + READY_TIMEOUT;
        for balancer in &self.balancers {
            while self.count_ready_hosts(balancer) < expected {
                if Instant::now() >= deadline {
                    return Err(Error::other(format!(
                        "a balancer lists fewer than {expected} ready hosts after {READY_TIMEOUT:?}"
                    )));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Returns the number of hosts that a balancer lists as ready, or 0 when it does not answer.
    fn count_ready_hosts(&self, balancer: &DaemonProcess) -> usize {
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

    /// Starts a balancer that replaces another one in the fabric, then stops the other one.
    ///
    /// # Errors
    ///
    /// Fails when the new balancer does not start or the replaced one does not exit with success.
    pub fn replace_balancer(&mut self, index: usize) -> Result<()> {
        let domains = self.customer.domains();
        let successor = self.start_balancer(domains[index % domains.len()])?;
        let mut predecessor = std::mem::replace(&mut self.balancers[index], successor);
        self.set_targets()?;
        predecessor.process.signal(Signal::SIGTERM)?;
        let status = predecessor.process.wait(STOP_TIMEOUT)?;
        if !status.success() {
            return Err(Error::other(format!(
                "replaced balancer {index} exited with {status}"
            )));
        }
        Ok(())
    }

    /// Starts a process that simulates callers of a service.
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
