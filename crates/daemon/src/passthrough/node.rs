//! Infrastructure of both roles: sockets, events, reloading of settings,
//! signals and the event loop.

use {
    super::{
        Result, endpoints,
        peer_client::PeerClient,
        registry::{self, RegistrationInputs},
        server_check::check_server,
        sockets::PacketSocket,
        store_reader::{ReadMode, StoreReader},
    },
    crate::settings::{AnySettings, PassThroughRole, PassThroughSettings, load},
    cardamomloom_coordination::passthrough::{
        CopyOutcome, CopyQuery, CopyResponse, FlowQuery, OutgoingMessage, StoreAccess,
        balancer::SnapshotContent,
    },
    cardamomloom_core::{
        Span, Time,
        error::{Error, io},
    },
    cardamomloom_platform::store::ObjectStore,
    cardamomloom_protocol::{
        forward::DatagramKey,
        passthrough::{
            CatalogueDocument, DomainStatus, FlowOwner, HostReport, PeerMessage, Registration,
            Snapshot, StoreEra, open, seal,
        },
    },
    cardamomloom_transport::{clock::MonotonicClock, udp::ReceiveBatch},
    log::{info, warn},
    stakker::{Fwd, Stakker},
    std::{
        mem::discriminant,
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

/// Capacity of the event queue in events. Senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Interval between ticks of an actor, which processes its expired timers then.
pub const TICK: Duration = Duration::from_millis(50);

/// Longest wait of the event loop. It runs the actors at least this often, so that they notice when
/// the process was paused.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Timeout of one call to the store. A call usually takes 4 ms. Two store readers that are cut off
/// from the store must be replaced within the 3 s in which a configuration change takes effect.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// An event for the actor of a process.
#[derive(Debug)]
pub enum Event {
    /// The packet socket has packets of callers or of other processes.
    PacketsReady,
    /// The socket for packets of the backend server has packets.
    ServerPacketsReady,
    /// The control socket has messages.
    ControlReady,
    /// The catalogue was read from the store.
    Catalogue(CatalogueDocument),
    /// The failure domains that are out were read from the store.
    DomainStatus(DomainStatus),
    /// The store has confirmed that the catalogue and the failure domains sent before are current.
    StoreConfirmed,
    /// The registered balancers were read from the store.
    RegisteredBalancers(Vec<Registration>),
    /// A fetch from a peer ended, with `None` when it failed.
    SnapshotFetched(Option<Box<Snapshot>>),
    /// A peer requests a snapshot of the state of this process.
    SnapshotRequest {
        /// Part of the state that the peer needs.
        content: SnapshotContent,
        /// Receives the snapshot.
        reply: oneshot::Sender<Snapshot>,
    },
    /// A request to a peer for a copy of the catalogue has ended.
    CopyFetched(Ipv4Addr, CopyOutcome),
    /// A peer requests a copy of the catalogue.
    CopyRequest {
        /// Address of the peer.
        receiver: Ipv4Addr,
        /// Version that the peer has, and the format that it reads.
        query: CopyQuery,
        /// Receives the answer.
        reply: oneshot::Sender<CopyResponse>,
    },
    /// An operator requests the status document.
    StatusRequest(oneshot::Sender<serde_json::Value>),
    /// An operator asks where a new flow would go.
    ExplainRequest(FlowQuery, oneshot::Sender<serde_json::Value>),
    /// The backend server sent a report; the reply says whether it is acknowledged.
    Report(HostReport, oneshot::Sender<bool>),
    /// The backend server instance with this id has left; the reply acknowledges it.
    Departure(Arc<str>, oneshot::Sender<bool>),
    /// A check whether the backend server runs has ended.
    ServerChecked {
        /// Time at which a connection was attempted.
        asked_at: Time,
        /// Whether the port of the backend server refused the connection.
        is_absent: bool,
    },
    /// The settings file was read again and names these seeds.
    Seeds(Vec<Ipv4Addr>),
    /// The process received a stop signal.
    Stop,
}

/// Sockets, clients and shared flags that the actor of either role uses.
pub struct NodeRuntime {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Socket for packets from and to the network.
    pub data: Rc<PacketSocket>,
    /// Socket for control messages between processes.
    pub control: Rc<ControlSocket>,
    /// Result of the readiness probe: whether the routers may send packets to this process.
    pub is_ready: Arc<AtomicBool>,
    /// Controls what the store readers read.
    pub read_mode: watch::Sender<ReadMode>,
    /// Era of the store, for the registration of a balancer.
    store_era: watch::Sender<Option<StoreEra>>,
    /// Requests snapshots and copies of the catalogue from peers.
    pub peers: PeerClient,
    /// Checks whether the backend server runs.
    pub server_checker: ServerChecker,
    /// Client of the store.
    pub store: ObjectStore,
    /// Events of the process, for tasks that the actor starts.
    pub events: mpsc::Sender<Event>,
}

impl NodeRuntime {
    /// Binds the sockets and starts the tasks that produce events. Returns the receiver of these
    /// events too.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when a socket, an endpoint, a client or a signal handler cannot be set
    /// up, and with `invalid_argument` when the datagram key is malformed.
    pub async fn start(
        path: &Path,
        settings: &PassThroughSettings,
    ) -> Result<(Self, mpsc::Receiver<Event>)> {
        let clock = MonotonicClock::start();
        let address = settings.address();
        let data = Rc::new(PacketSocket::bind(settings.data_address)?);
        let control = Rc::new(ControlSocket {
            socket: PacketSocket::bind(SocketAddrV4::new(address, settings.control_port))?,
            key: settings.key()?,
            peer_port: settings.control_port,
        });
        let (events, inbox) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let is_ready = Arc::new(AtomicBool::new(false));
        endpoints::start(settings, is_ready.clone(), events.clone()).await?;
        let (read_mode, modes) = watch::channel(ReadMode::Idle);
        let (store_era, eras) = watch::channel(None);
        let store = ObjectStore::new(settings.store_address, STORE_TIMEOUT)?;
        StoreReader::start(&store, &modes, &events);
        match settings.role {
            PassThroughRole::Balancer { .. } => {
                let inputs = RegistrationInputs { modes, eras };
                let registration =
                    registry::maintain_registration(store.clone(), address, inputs, events.clone());
                tokio::spawn(registration);
            }
            PassThroughRole::Agent(_) => {
                tokio::spawn(registry::list_balancers(store.clone(), events.clone()));
            }
        }
        spawn_signal_handler(&events)?;
        spawn_settings_reload(path.into(), settings, &events)?;
        info!(
            event = "started", node = &*settings.node, address:%, data_address:% = settings.data_address;
            "process started: all sockets are bound"
        );
        let runtime = Self {
            clock,
            data,
            control,
            is_ready,
            read_mode,
            store_era,
            peers: PeerClient::new(address, settings.http_port, events.clone())?,
            server_checker: ServerChecker {
                clock,
                events: events.clone(),
                is_busy: false,
            },
            store,
            events,
        };
        Ok((runtime, inbox))
    }

    /// Sets how the process reads the store, and logs a change. `confirmed_ago` is the time since the
    /// store last confirmed the catalogue.
    pub fn set_store_access(&self, access: StoreAccess, confirmed_ago: Option<Span>) {
        let mode = match access {
            StoreAccess::None => ReadMode::Idle,
            StoreAccess::Bootstrap => ReadMode::Bootstrap,
            StoreAccess::Follow { max_backoff } => ReadMode::Watch {
                max_backoff: max_backoff.to_duration(),
            },
        };
        self.read_mode.send_if_modified(|current| {
            if discriminant(current) != discriminant(&mode) {
                info!(
                    event = "store_access", access = access.label(),
                    confirmed_ago_ms = confirmed_ago.map(Span::as_millis);
                    "way in which this process reads the store changed"
                );
            }
            let is_change = *current != mode;
            *current = mode;
            is_change
        });
    }

    /// Answers the request of a peer for a copy of the catalogue. The peer gets no answer if the catalogue
    /// cannot be encoded.
    pub fn reply_copy(
        receiver: Ipv4Addr,
        response: std::result::Result<CopyResponse, Error>,
        reply: oneshot::Sender<CopyResponse>,
    ) {
        match response {
            Ok(response) => {
                if let CopyResponse::Copy(copy) = &response {
                    let bytes = copy.len() as u64;
                    metrics::counter!("cardamomloom_catalogue_copies_total").increment(1);
                    metrics::counter!("cardamomloom_catalogue_copy_bytes_total").increment(bytes);
                } else {
                    metrics::counter!("cardamomloom_catalogue_refusals_total").increment(1);
                }
                // Sending fails when the HTTP client has disconnected.
                let _ = reply.send(response);
            }
            Err(error) => warn!(
                event = "catalogue_encode_failed", receiver:%;
                "no copy of the catalogue sent: {error}"
            ),
        }
    }

    /// Publishes for how long this process has known that its catalogue is outdated.
    pub fn publish_catalogue_lag(behind_for: Option<Span>) {
        let lag = behind_for.unwrap_or(Span::ZERO).to_duration();
        metrics::gauge!("cardamomloom_catalogue_behind_seconds").set(lag.as_secs_f64());
    }

    /// Sets the era of the store, as far as it is known.
    pub fn set_store_era(&self, era: Option<StoreEra>) {
        self.store_era
            .send_if_modified(|current| std::mem::replace(current, era) != era);
    }
}

/// Socket for authenticated control messages between processes.
#[derive(Debug)]
pub struct ControlSocket {
    socket: PacketSocket,
    key: DatagramKey,
    peer_port: u16,
}

impl ControlSocket {
    /// Waits until a message may be available.
    pub async fn ready(&self) {
        self.socket.ready().await;
    }

    /// Receives all pending messages. Datagrams that cannot be authenticated or decoded are counted
    /// and dropped.
    pub fn receive(&self, batch: &mut ReceiveBatch) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        let mut may_have_more = true;
        while may_have_more {
            may_have_more = self.socket.receive(batch);
            for (datagram, _) in batch.datagrams() {
                match open(self.key, datagram) {
                    Ok(message) => messages.push(message),
                    Err(error) => {
                        metrics::counter!("cardamomloom_control_rejected_total").increment(1);
                        log::debug!(
                            event = "control_rejected";
                            "control datagram dropped: {error}"
                        );
                    }
                }
            }
        }
        messages
    }

    /// Sends messages without delivery guarantee: the protocols repeat lost ones. Consecutive equal
    /// messages are encoded once.
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
                        warn!(
                            event = "control_encode_failed", to:%;
                            "control message not sent: {error}"
                        );
                        continue;
                    }
                }
            }
            if let Some((_, datagram)) = &last {
                self.socket
                    .send(SocketAddrV4::new(to, self.peer_port), datagram);
            }
        }
    }

    /// Informs a process which agent owns a flow.
    pub fn send_flow_owner(&self, to: Ipv4Addr, owner: FlowOwner) {
        self.send(vec![OutgoingMessage {
            to,
            message: PeerMessage::Owner(owner),
        }]);
    }

    /// Sends a message to one process.
    pub fn send_one(&self, to: Ipv4Addr, message: PeerMessage) {
        self.send(vec![OutgoingMessage { to, message }]);
    }
}

/// Checks whether the backend server runs, one check at a time.
#[derive(Debug)]
pub struct ServerChecker {
    clock: MonotonicClock,
    events: mpsc::Sender<Event>,
    is_busy: bool,
}

impl ServerChecker {
    /// Records that the current check has ended, so that another one may start.
    pub const fn finish(&mut self) {
        self.is_busy = false;
    }

    /// Starts a check, unless one is in progress.
    pub fn start(&mut self, server: SocketAddrV4) {
        if std::mem::replace(&mut self.is_busy, true) {
            return;
        }
        tokio::spawn(check_server(server, self.clock, self.events.clone()));
    }
}

/// Runs the actors and passes events to `handler` until an actor shuts the system down.
///
/// Sockets take precedence over `inbox`; packets of the backend server come first.
pub async fn run_loop(
    stakker: &mut Stakker,
    handler: &Fwd<Event>,
    data: &PacketSocket,
    control: &ControlSocket,
    server_socket: Option<&PacketSocket>,
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
            match server_socket {
                Some(socket) => socket.ready().await,
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

/// Interval at which the settings file is read again, because it may change without a SIGHUP.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file again on SIGHUP and every [`SETTINGS_INTERVAL`]. Changed seeds take
/// effect at once; any other change needs a restart, which is logged.
fn spawn_settings_reload(
    path: Arc<Path>,
    settings: &PassThroughSettings,
    events: &mpsc::Sender<Event>,
) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())
        .map_err(|error| io(format!("runtime: cannot handle signals: {error}")))?;
    let (events, mut current) = (events.clone(), settings.clone());
    let mut last_error: Option<Error> = None;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = hangup.recv() => info!(
                    event = "reload";
                    "SIGHUP received: reading the settings file again"
                ),
                () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
            }
            let next = match load(&path).and_then(AnySettings::into_pass_through) {
                Ok(next) => next,
                Err(error) => {
                    if last_error.as_ref() != Some(&error) {
                        warn!(
                            event = "settings_rejected";
                            "changed settings rejected, the present ones stay in effect: {error}"
                        );
                    }
                    last_error = Some(error);
                    continue;
                }
            };
            last_error = None;
            if next == current {
                continue;
            }
            let seeds = next.seed_addresses();
            let needs_restart = current
                != PassThroughSettings {
                    seeds: current.seeds.clone(),
                    ..next.clone()
                };
            info!(
                event = "settings_changed", seeds = seeds.len(), needs_restart;
                "settings file changed: new seeds are in use, other changes need a restart"
            );
            current = next;
            if events.send(Event::Seeds(seeds)).await.is_err() {
                return;
            }
        }
    });
    Ok(())
}

/// Sends a stop event on every SIGTERM or SIGINT.
fn spawn_signal_handler(events: &mpsc::Sender<Event>) -> Result<()> {
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
