//! What both roles share: sockets, events, peers and the loop.

use {
    super::{
        Result, endpoints, registry,
        sockets::Port,
        store_reader::{ReadMode, StoreReader},
    },
    crate::settings::{AnySettings, PassThroughRole, PassThroughSettings, load},
    cardamomloom_coordination::passthrough::OutgoingMessage,
    cardamomloom_core::error::{Error, io},
    cardamomloom_platform::store::ObjectStore,
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{
            CatalogueDocument, DomainStatus, FlowOwner, HostReport, PeerMessage, Registration,
            Snapshot, open, seal,
        },
    },
    cardamomloom_transport::{clock::MonotonicClock, udp::ReceiveBatch},
    log::{info, warn},
    stakker::{Fwd, Stakker},
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        path::Path,
        rc::Rc,
        sync::{Arc, atomic::AtomicBool},
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{mpsc, oneshot, watch},
    },
};

/// Events that may wait for the actor; later ones are dropped and repeated by their senders.
const EVENT_QUEUE: usize = 1_024;

/// Interval at which an actor does what is due.
pub const TICK: Duration = Duration::from_millis(50);

/// Longest wait of the loop, so that it sees a pause of the process.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Limit of one call to the store, many times its usual 4 ms, and short enough that two readers
/// that are cut off are replaced within the 3 s of a configuration change.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Limit of copying from a peer.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// An event for the actor of a process.
#[derive(Debug)]
pub enum Event {
    /// Packets of callers or other processes wait at the packet socket.
    PacketsReady,
    /// Packets of the backend server wait.
    ServerPacketsReady,
    /// Control messages wait.
    ControlReady,
    /// The store answered with its catalogue.
    Catalogue(CatalogueDocument),
    /// The store answered with the failure domains that are out.
    Standing(DomainStatus),
    /// The store confirmed everything that was sent before.
    StoreConfirmed,
    /// The store answered with the balancers that are registered.
    Registry(Vec<Registration>),
    /// A peer answered.
    Copied(Option<Box<Snapshot>>),
    /// A process asks for what this one knows.
    SnapshotRequest(oneshot::Sender<Snapshot>),
    /// An operator asks for the state.
    StatusRequest(oneshot::Sender<serde_json::Value>),
    /// The backend server reported.
    Report(HostReport, oneshot::Sender<bool>),
    /// The backend server left.
    Departure(Arc<str>, oneshot::Sender<bool>),
    /// The settings name other processes that may be balancers.
    Seeds(Vec<Ipv4Addr>),
    /// The process is asked to stop.
    Stop,
}

/// What the actor of either role works with.
pub struct Shell {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Socket of packets.
    pub data: Rc<Port>,
    /// Sends and receives control messages.
    pub control: Rc<ControlPort>,
    /// Whether the routers may send packets.
    pub is_ready: Arc<AtomicBool>,
    /// What is read from the store.
    pub read_mode: watch::Sender<ReadMode>,
    /// Copies from peers.
    pub copier: Copier,
    /// Client of the store.
    pub store: ObjectStore,
}

impl Shell {
    /// Binds sockets and starts the tasks that produce events; returns the events too.
    pub async fn start(
        path: &Path,
        settings: &PassThroughSettings,
    ) -> Result<(Self, mpsc::Receiver<Event>)> {
        let clock = MonotonicClock::start();
        let address = settings.address();
        let data = Rc::new(Port::bind(settings.data_address)?);
        let control = Rc::new(ControlPort {
            port: Port::bind(SocketAddrV4::new(address, settings.control_port))?,
            key: settings.key()?,
            peer_port: settings.control_port,
        });
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let is_ready = Arc::new(AtomicBool::new(false));
        endpoints::start(settings, is_ready.clone(), events.clone()).await?;
        let (read_mode, modes) = watch::channel(ReadMode::Idle);
        let store = ObjectStore::new(settings.store_address, STORE_TIMEOUT)?;
        StoreReader::start(&store, &modes, &events);
        match settings.role {
            PassThroughRole::Balancer { .. } => {
                let kept = registry::keep(store.clone(), address, modes, events.clone());
                tokio::spawn(kept);
            }
            PassThroughRole::Agent(_) => {
                tokio::spawn(registry::discover(store.clone(), events.clone()));
            }
        }
        spawn_signals(&events)?;
        spawn_reload(path.into(), settings, &events)?;
        info!(
            event = "started", node = &*settings.node, address:%, data_address:% = settings.data_address;
            "sockets are bound"
        );
        let shell = Self {
            clock,
            data,
            control,
            is_ready,
            read_mode,
            copier: Copier::new(settings.http_port, events)?,
            store,
        };
        Ok((shell, inbox))
    }

    /// Starts or ends the reading of the store.
    pub fn set_reading(&self, should_read: bool) {
        let mode = if should_read {
            ReadMode::Watch
        } else {
            ReadMode::Idle
        };
        self.read_mode.send_if_modified(|present| {
            let is_change = *present != mode;
            *present = mode;
            is_change
        });
    }
}

/// Sends and receives control messages.
#[derive(Debug)]
pub struct ControlPort {
    port: Port,
    key: DatagramKey,
    peer_port: u16,
}

impl ControlPort {
    /// Waits until a message may be there.
    pub async fn ready(&self) {
        self.port.ready().await;
    }

    /// Returns the messages that wait.
    pub fn receive(&self, batch: &mut ReceiveBatch) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        let mut may_have_more = true;
        while may_have_more {
            may_have_more = self.port.receive(batch);
            for (datagram, _) in batch.datagrams() {
                match open(self.key, datagram) {
                    Ok(message) => messages.push(message),
                    Err(error) => {
                        metrics::counter!("cardamomloom_control_rejected_total").increment(1);
                        log::debug!(event = "control_rejected"; "{error}");
                    }
                }
            }
        }
        messages
    }

    /// Sends messages; a lost one is repeated by its protocol.
    pub fn send(&self, outgoing: Vec<OutgoingMessage>) {
        let mut last: Option<(PeerMessage, Vec<u8>)> = None;
        for OutgoingMessage { to, message } in outgoing {
            if last
                .as_ref()
                .is_none_or(|(previous, _)| *previous != message)
            {
                match seal(self.key, &message) {
                    Ok(datagram) => last = Some((message, datagram)),
                    Err(error) => {
                        warn!(event = "control_encode_failed", to:%; "{error}");
                        continue;
                    }
                }
            }
            if let Some((_, datagram)) = &last {
                self.port
                    .send(SocketAddrV4::new(to, self.peer_port), datagram);
            }
        }
    }

    /// Tells a process who owns a flow.
    pub fn send_owner(&self, to: Ipv4Addr, owner: FlowOwner) {
        self.send(vec![OutgoingMessage {
            to,
            message: PeerMessage::Owner(owner),
        }]);
    }
}

/// Copies from one peer at a time.
#[derive(Debug)]
pub struct Copier {
    client: reqwest::Client,
    port: u16,
    events: mpsc::Sender<Event>,
    is_busy: bool,
}

impl Copier {
    fn new(port: u16, events: mpsc::Sender<Event>) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(SNAPSHOT_TIMEOUT)
            .build()
            .map_err(|error| io(format!("snapshot: {error}")))?;
        Ok(Self {
            client,
            port,
            events,
            is_busy: false,
        })
    }

    /// Notes that an answer arrived.
    pub const fn finish(&mut self) {
        self.is_busy = false;
    }

    /// Begins to copy from the peer that `source` names, unless a copy is under way.
    pub fn start(&mut self, source: impl FnOnce() -> Option<Ipv4Addr>) {
        if self.is_busy {
            return;
        }
        let Some(peer) = source() else { return };
        self.is_busy = true;
        let request = self
            .client
            .get(format!("http://{peer}:{}/snapshot", self.port));
        let events = self.events.clone();
        tokio::spawn(async move {
            let answer = async { request.send().await?.error_for_status()?.bytes().await };
            let snapshot = match answer.await {
                Ok(body) => serde_json::from_slice(&body)
                    .map_err(|error| warn!(event = "snapshot_malformed", peer:%; "{error}"))
                    .ok(),
                Err(error) => {
                    warn!(event = "snapshot_failed", peer:%; "{}", error.without_url());
                    None
                }
            };
            // The actor is gone only when the process stops.
            let _ = events.send(Event::Copied(snapshot)).await;
        });
    }
}

/// Runs the actors until one of them shuts the system down.
pub async fn run_loop(
    stakker: &mut Stakker,
    handler: &Fwd<Event>,
    data: &Port,
    control: &ControlPort,
    from_server: Option<&Port>,
    inbox: &mut mpsc::Receiver<Event>,
) {
    loop {
        let now = Instant::now();
        stakker.run(now, false);
        if !stakker.not_shutdown() {
            return;
        }
        let wait = stakker.next_wait_max(now, MAX_WAIT, false);
        let server_ready = async {
            match from_server {
                Some(port) => port.ready().await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            biased;
            () = server_ready => Some(Event::ServerPacketsReady),
            () = data.ready() => Some(Event::PacketsReady),
            () = control.ready() => Some(Event::ControlReady),
            event = inbox.recv() => event,
            () = tokio::time::sleep(wait) => None,
        };
        if let Some(event) = event {
            handler.fwd(event);
        }
    }
}

/// Interval at which the settings file is read again, because it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings again, on a signal and from time to time. Only the seeds can change without
/// a restart; another change is logged.
fn spawn_reload(
    path: Arc<Path>,
    settings: &PassThroughSettings,
    events: &mpsc::Sender<Event>,
) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())
        .map_err(|error| io(format!("runtime: cannot handle signals: {error}")))?;
    let (events, mut present) = (events.clone(), settings.clone());
    let mut rejected: Option<Error> = None;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = hangup.recv() => info!(event = "reload"; "settings are read again"),
                () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
            }
            let next = match load(&path).and_then(AnySettings::into_pass_through) {
                Ok(next) => next,
                Err(error) => {
                    if rejected.as_ref() != Some(&error) {
                        warn!(event = "settings_rejected"; "{error}");
                    }
                    rejected = Some(error);
                    continue;
                }
            };
            rejected = None;
            if next == present {
                continue;
            }
            let seeds = next.seed_addresses();
            let needs_restart = present
                != PassThroughSettings {
                    seeds: present.seeds.clone(),
                    ..next.clone()
                };
            info!(event = "settings_changed", seeds = seeds.len(), needs_restart; "settings changed");
            present = next;
            if events.send(Event::Seeds(seeds)).await.is_err() {
                return;
            }
        }
    });
    Ok(())
}

fn spawn_signals(events: &mpsc::Sender<Event>) -> Result<()> {
    let listen =
        |kind| signal(kind).map_err(|error| io(format!("runtime: cannot handle signals: {error}")));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let events = events.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if events.send(Event::Stop).await.is_err() {
                return;
            }
        }
    });
    Ok(())
}
