//! The project's programs as separate processes, with the commands and templates of the deploy file.

use crate::{client::Routers, host::HostPlan, record::Record};
use std::{
    fs::{self, File},
    io::{Error, Read, Result, Write},
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub const SIGTERM: i32 = 15;
const SIGKILL: usize = 9;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Addresses of a case: each machine has an address of its own, with the same ports.
#[derive(Clone, Copy)]
pub struct Layout {
    pub network: u8,
    pub port: u16,
}

impl Layout {
    /// Chooses free ports, and addresses by the process id.
    pub fn choose() -> Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = socket.local_addr()?.port().clamp(2_000, 65_000);
        let network = u8::try_from(1 + std::process::id() % 250).expect("below 251");
        Ok(Self { network, port })
    }

    pub fn edge(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 1, index + 1)
    }

    pub fn side(&self, service: u8, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 2 + service, index + 1)
    }

    /// Returns the address at which machines of a class reach the store.
    pub fn store(&self, class: &str) -> SocketAddrV4 {
        let end = if class == "edge" { 1 } else { 2 };
        SocketAddrV4::new(Ipv4Addr::new(127, self.network, 9, end), self.port)
    }

    pub fn data(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port)
    }

    pub fn app(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port + 1)
    }

    pub fn outbound(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port + 2)
    }

    pub fn control_plane(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port + 3)
    }

    pub fn readiness(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port + 4)
    }

    /// Returns the address and port of a route.
    pub fn route(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 1 + number), 443)
    }

    /// Returns what the host beside a side machine is.
    pub fn host(&self, service: u8, index: u8, zone: &str, heartbeat: Duration) -> HostPlan {
        let machine = self.side(service, index);
        HostPlan {
            id: format!("i-{service}-{index}"),
            service: service_name(service),
            zone: zone.into(),
            app: self.app(machine),
            outbound: self.outbound(machine),
            control_plane: self.control_plane(machine),
            heartbeat,
        }
    }
}

/// Returns the name of a service.
pub fn service_name(service: u8) -> String {
    ["bookings", "fixtures"][usize::from(service)].into()
}

/// A process of the project.
pub struct Node {
    name: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Set while the collector of the process's logs does not read them.
    pub is_collector_stalled: Option<Arc<AtomicBool>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self, record: &Record) -> Result<()> {
        let log = File::options().append(true).create(true).open(&self.log)?;
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CARDAMOMLOOM_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?);
        match &self.is_collector_stalled {
            Some(_) => command.stdout(Stdio::piped()),
            None => command.stdout(log.try_clone()?),
        };
        // SAFETY: the closure only calls `prctl`, which is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let mut child = command.spawn()?;
        if let (Some(is_stalled), Some(mut output)) =
            (self.is_collector_stalled.clone(), child.stdout.take())
        {
            thread::spawn(move || collect(&mut output, log, &is_stalled));
        }
        record.line(&format!("{} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It fails when the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32, record: &Record) {
        let Some(child) = &self.child else { return };
        let id = i32::try_from(child.id()).expect("process ids are small");
        record.line(&format!("{} gets signal {signal}", self.name));
        // SAFETY: `kill` takes two numbers; the process is a child that has not been waited for.
        unsafe { kill(id, signal) };
    }

    /// Waits for the process to end, at most so long. Returns whether it has ended.
    pub fn wait(&mut self, time: Duration) -> bool {
        let end = std::time::Instant::now() + time;
        while std::time::Instant::now() < end {
            let has_ended = match &mut self.child {
                Some(child) => matches!(child.try_wait(), Ok(Some(_))),
                None => true,
            };
            if has_ended {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns the lines that the process logged for one of these events.
    pub fn log_lines(&self, events: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let is_wanted = |line: &&str| {
            events
                .iter()
                .any(|event| line.contains(&format!("\"{event}\"")))
        };
        text.lines()
            .filter(is_wanted)
            .map(|line| format!("{}: {line}", self.name))
            .collect()
    }
}

/// Copies the output of a process to its log, but for the time in which the collector is stalled.
fn collect(output: &mut impl Read, mut log: File, is_stalled: &AtomicBool) {
    let mut buffer = [0; 4_096];
    loop {
        while is_stalled.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        match output.read(&mut buffer) {
            Ok(length) if length > 0 => {
                // A log that cannot be written is only missing in the record.
                let _ = log.write_all(&buffer[..length]);
            }
            _ => return,
        }
    }
}

/// Settings and processes of a case.
pub struct Fleet {
    pub layout: Layout,
    directory: PathBuf,
    root: PathBuf,
    /// `control_plane` addresses in the settings of all processes.
    pub seeds: Vec<SocketAddrV4>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The folder is temporary; what is left of it does no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    /// Prepares a temporary folder for settings and logs. `root` is the repository.
    pub fn new(root: &Path, layout: Layout) -> Result<Self> {
        let name = format!("cardamomloom-review-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        Ok(Self {
            layout,
            directory,
            root: root.into(),
            seeds: Vec::new(),
        })
    }

    /// Prepares the balancer on an edge machine.
    pub fn balancer(&self, index: u8, zone: &str) -> Result<Node> {
        let machine = self.layout.edge(index);
        self.node(
            "balancer",
            &format!("edge-{zone}-{index}"),
            machine,
            zone,
            None,
        )
    }

    /// Prepares the agent beside a host.
    pub fn agent(&self, host: &HostPlan) -> Result<Node> {
        let name = format!("side-{}", host.id);
        self.node("agent", &name, *host.app.ip(), &host.zone, Some(host))
    }

    /// Returns the routers' view of the first edge machines.
    pub fn routers(&self, count: u8, record: &Record) -> Arc<Routers> {
        let nodes = (0..count).map(|index| {
            let machine = self.layout.edge(index);
            (self.layout.data(machine), self.layout.readiness(machine))
        });
        Routers::start(nodes.collect(), record)
    }

    fn node(
        &self,
        role: &str,
        name: &str,
        machine: Ipv4Addr,
        zone: &str,
        host: Option<&HostPlan>,
    ) -> Result<Node> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let section = deploy
            .split("[roles.")
            .find_map(|section| section.strip_prefix(&format!("{role}]")))
            .ok_or_else(|| Error::other("the deploy file has no such role"))?;
        let value = |key: &str| -> Result<String> {
            section
                .lines()
                .find_map(|line| line.strip_prefix(&format!("{key} = \"")))
                .and_then(|rest| rest.strip_suffix('"'))
                .map(str::to_owned)
                .ok_or_else(|| Error::other(format!("the role has no {key}")))
        };
        let template = fs::read_to_string(self.root.join(value("template")?))?;
        let settings = self.directory.join(format!("{name}.jsonc"));
        fs::write(&settings, self.fill(&template, name, machine, zone, host)?)?;
        let run = value("run")?;
        let command: Vec<String> = run
            .split(' ')
            .map(|word| match word {
                "/etc/cardamomloom/boot.yaml" => settings.display().to_string(),
                word if word.starts_with("target/") => self.root.join(word).display().to_string(),
                word => word.into(),
            })
            .collect();
        Ok(Node {
            name: name.into(),
            command,
            log: self.directory.join(format!("{name}.log")),
            settings,
            child: None,
            is_collector_stalled: None,
        })
    }

    fn fill(
        &self,
        template: &str,
        name: &str,
        machine: Ipv4Addr,
        zone: &str,
        host: Option<&HostPlan>,
    ) -> Result<String> {
        let layout = &self.layout;
        let class = if host.is_none() { "edge" } else { "side" };
        let quoted = |text: String| format!("\"{text}\"");
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| quoted(seed.to_string()))
            .collect();
        let mut text = template
            .replace("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", &seeds.join(","))
            .replace("{{node_name|json}}", &quoted(name.into()))
            .replace("{{zone|json}}", &quoted(zone.into()))
            .replace(
                "{{listen.data_addr|json}}",
                &quoted(layout.data(machine).to_string()),
            )
            .replace(
                "{{listen.readiness|json}}",
                &quoted(layout.readiness(machine).to_string()),
            )
            .replace("{{internal_ports.0}}", &(layout.port + 5).to_string())
            .replace("{{internal_ports.1}}", &(layout.port + 6).to_string())
            .replace(
                "{{platform.address|json}}",
                &quoted(layout.store(class).to_string()),
            );
        if let Some(host) = host {
            text = text
                .replace("{{service|json}}", &quoted(host.service.clone()))
                .replace("{{app|json}}", &quoted(host.app.to_string()))
                .replace(
                    "{{listen.outbound|json}}",
                    &quoted(host.outbound.to_string()),
                )
                .replace(
                    "{{listen.control_plane|json}}",
                    &quoted(host.control_plane.to_string()),
                );
        }
        if text.contains("{{") {
            return Err(Error::other(
                "a placeholder of the template is not filled in",
            ));
        }
        Ok(text)
    }
}
