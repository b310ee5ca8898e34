//! Starts the sockets, threads, store client and operator endpoints that both roles need, and runs
//! the role of the settings.

mod registration;
mod server_load;
mod store_watch;

pub use {
    registration::Registration,
    server_load::poll_server_load,
    store_watch::{StoreReadMode, read_store},
};

use {
    crate::{
        agent, balancer,
        burn::SAMPLE_INTERVAL,
        control::{self, ControlSender, Event},
        inspect::DaemonInspect,
        settings::{Role, Settings},
    },
    cardamomloom_core::{
        Incarnation,
        error::{Error, ErrorKind, io},
    },
    cardamomloom_transport::{
        clock::MonotonicClock,
        http,
        store::{StoreClient, StoreOptions},
        tls::{TlsContext, TlsFiles},
        udp,
    },
    log::{info, warn},
    metrics_exporter_prometheus::PrometheusBuilder,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::TcpListener, runtime::Runtime},
};

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Interval at which the files of certificates and keys are checked for changes.
const TLS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Sockets, clients and shared state that both roles need.
pub struct DaemonRuntime {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Packet socket.
    pub data_socket: UdpSocket,
    /// Bound address of the packet socket.
    pub data_address: SocketAddr,
    /// Bound address of the control socket.
    pub control_address: SocketAddr,
    /// Bound address of the operator endpoints.
    pub http_address: SocketAddr,
    /// Listener for synchronizations over gRPC, on the port number of the control socket.
    pub sync_listener: TcpListener,
    /// Certificates and keys, if the settings name them.
    pub tls: Option<Arc<TlsContext>>,
    /// Sender of control messages.
    pub control: ControlSender,
    /// Receiver of events, for the control thread.
    pub events: Receiver<Event>,
    /// Sender of events for the control thread.
    pub event_sender: SyncSender<Event>,
    /// Readiness and status.
    pub inspect: Arc<DaemonInspect>,
    /// Client of the store.
    pub store: StoreClient,
    /// Runtime of the store client, the synchronizations and the endpoints.
    pub tokio: Runtime,
    /// Stop flag of the packet loop and the control receiver.
    pub stop: Arc<AtomicBool>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

/// Runs a balancer or an agent until it has stopped on request.
///
/// # Errors
///
/// Fails with kind `io` when a socket or thread cannot be set up, and with the errors of
/// [`balancer::run`], [`agent::run`], [`TlsContext::load`] and [`StoreClient::new`].
pub fn run(settings: &Settings) -> Result<()> {
    let runtime = DaemonRuntime::start(settings)?;
    let stop = runtime.stop.clone();
    let outcome = match &settings.role {
        Role::Balancer(balancer) => balancer::run(settings, balancer, runtime),
        Role::Agent(agent) => agent::run(settings, agent, runtime),
    };
    stop.store(true, Ordering::Relaxed);
    info!(event = "stopped"; "process stopped");
    outcome
}

impl DaemonRuntime {
    fn start(settings: &Settings) -> Result<Self> {
        let clock = MonotonicClock::start();
        let tls = load_tls(settings)?;
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .map_err(|error| io(format!("metrics: cannot install the recorder: {error}")))?;
        let inspect = Arc::new(DaemonInspect::new(metrics, clock));
        let tokio_runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .thread_name("runtime")
            .build()
            .map_err(|error| io(format!("runtime: cannot start tokio: {error}")))?;
        let data_socket = udp::bind(settings.data_address)?;
        let (control_socket, sync_listener) =
            tokio_runtime.block_on(bind_control(settings.control_address))?;
        let control_socket = Arc::new(control_socket);
        let listener = tokio_runtime.block_on(http::bind(settings.http_address))?;
        let address_error = |error| io(format!("runtime: a socket has no address: {error}"));
        let http_address = listener.local_addr().map_err(address_error)?;
        let data_address = data_socket.local_addr().map_err(address_error)?;
        let control_address = control_socket.local_addr().map_err(address_error)?;
        let sender = match &settings.role {
            Role::Balancer(_) => balancer::node_id(control_address).0,
            Role::Agent(agent) => u64::from(agent::host_id(agent, control_address).0),
        };
        let incarnation = incarnation_now()?;
        let key = settings.datagram_key();
        let (event_sender, events) = sync_channel(control::EVENT_QUEUE_CAPACITY);
        let stop = Arc::new(AtomicBool::new(false));
        control::spawn_receiver(
            control_socket.clone(),
            key,
            event_sender.clone(),
            stop.clone(),
        )?;
        spawn_signal_thread(event_sender.clone())?;
        tokio_runtime.spawn(http::serve(
            listener,
            inspect.clone(),
            std::future::pending(),
        ));
        tokio_runtime.spawn(sample_burn(inspect.clone()));
        if let Some(tls) = &tls {
            tokio_runtime.spawn(reload_tls(tls.clone()));
        }
        let store = StoreClient::new(&settings.store_url, StoreOptions::default())?;
        info!(
            event = "bound",
            data_address:%,
            control_address:%,
            http_address:%;
            "all sockets are bound"
        );
        Ok(Self {
            clock,
            data_socket,
            data_address,
            control_address,
            http_address,
            sync_listener,
            tls,
            control: ControlSender::new(control_socket, key, sender, incarnation),
            events,
            event_sender,
            inspect,
            store,
            tokio: tokio_runtime,
            stop,
            incarnation,
        })
    }
}

fn load_tls(settings: &Settings) -> Result<Option<Arc<TlsContext>>> {
    let Some(files) = &settings.tls else {
        return Ok(None);
    };
    let context = TlsContext::load(TlsFiles {
        authorities: files.authorities.clone(),
        certificate: files.certificate.clone(),
        key: files.key.clone(),
    })?;
    Ok(Some(Arc::new(context)))
}

/// Reloads changed certificates and keys until the process ends.
async fn reload_tls(tls: Arc<TlsContext>) {
    let mut interval = tokio::time::interval(TLS_RELOAD_INTERVAL);
    loop {
        interval.tick().await;
        match tls.reload() {
            Ok(true) => info!(event = "certificates_reloaded"; "certificates reloaded"),
            Ok(false) => {}
            Err(error) => warn!(
                event = "certificates_rejected";
                "cannot reload certificates, the present ones stay in use: {error}"
            ),
        }
    }
}

/// Records a sample of the connection totals every [`SAMPLE_INTERVAL`] until the process ends.
async fn sample_burn(inspect: Arc<DaemonInspect>) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL.to_duration());
    loop {
        interval.tick().await;
        inspect.burn_recorder().sample();
    }
}

/// Binds the control socket and a TCP listener on the same port.
///
/// When the system chooses the UDP port, the same TCP port may be in use; then another port is
/// tried.
async fn bind_control(address: SocketAddr) -> Result<(UdpSocket, TcpListener)> {
    const ATTEMPTS: usize = 16;
    let mut attempts = 0;
    loop {
        let socket = udp::bind(address)?;
        let bound = socket
            .local_addr()
            .map_err(|error| io(format!("runtime: a socket has no address: {error}")))?;
        attempts += 1;
        match TcpListener::bind(bound).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(_) if address.port() == 0 && attempts < ATTEMPTS => {}
            Err(error) => {
                return Err(io(format!("runtime: cannot listen on {bound}: {error}")));
            }
        }
    }
}

/// Starts a thread that sends a stop event on the first SIGTERM or SIGINT.
fn spawn_signal_thread(events: SyncSender<Event>) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| io(format!("runtime: cannot handle signals: {error}")))?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                // The receiver is dropped only when the process already stops.
                let _ = events.send(Event::Stop);
            }
        })
        .map_err(|error| io(format!("runtime: cannot start a thread: {error}")))?;
    Ok(())
}

/// Returns the system time in microseconds as incarnation, which is higher than those of earlier
/// processes on the same address as long as the clock does not step back.
fn incarnation_now() -> Result<Incarnation> {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|elapsed| u64::try_from(elapsed.as_micros()).ok())
        .map(Incarnation)
        .ok_or_else(|| {
            Error::new(
                ErrorKind::Io,
                "runtime: the system clock is before 1970; incarnations need it",
            )
        })
}
