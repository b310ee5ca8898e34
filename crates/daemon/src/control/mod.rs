//! The control thread: runs a `stakker` actor that processes events from sockets and the store.

use {
    cardamomloom_coordination::{
        admission::{AdmissionStatus, ServerReport},
        handover::HandoverStatus,
    },
    cardamomloom_core::{
        Incarnation, Time,
        error::{Error, io},
    },
    cardamomloom_protocol::{
        control::{self, Message, Origin, ReplayGuard},
        forward::DatagramKey,
        store_api::ObjectList,
        sync::SyncedItems,
    },
    cardamomloom_transport::{
        sync::{KnownItems, SyncSource},
        udp::{self, ReceiveBatch, ReceiveMode},
    },
    log::{debug, warn},
    stakker::{Fwd, Stakker},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
            mpsc::{Receiver, RecvTimeoutError, SyncSender},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Result of starting control threads.
pub type Result<T> = std::result::Result<T, Error>;

/// Capacity of the event queue in events. Control datagrams that find it full are dropped, and
/// repeated by peers.
pub const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Longest wait of the control thread. It runs the actor at least this often, so that the actor
/// notices when the process was paused.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Longest wait for a control datagram, after which the receiver checks its stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Answer of the store to a list or a watch of one prefix.
#[derive(Debug)]
pub struct StoreAnswer {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// The objects, and the version of the store that they reflect.
    pub list: ObjectList,
    /// Whether the answer has all objects under the prefix (list) or only changes (watch).
    pub is_complete: bool,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// The store answered a list or a watch.
    Objects(StoreAnswer),
    /// A peer requests over gRPC the items that it lacks.
    SyncRequest {
        /// Versions of the items that the peer has.
        known: KnownItems,
        /// Receives the items that the peer lacks.
        reply: oneshot::Sender<SyncedItems>,
    },
    /// A pull of newer items from a peer over gRPC has ended.
    Synced(Result<SyncedItems>),
    /// A control datagram was received and authenticated.
    Datagram {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Node id of a balancer or host id of an agent, as a number.
        sender: u64,
        /// Decoded message.
        message: Message,
    },
    /// Periodic status of the packet loop of an agent.
    PacketLoopStatus {
        /// Number of open flows.
        open_flows: usize,
        /// Connection limits and open connections.
        admission: AdmissionStatus,
        /// Progress of the handover.
        handover: HandoverStatus,
    },
    /// All objects that were current at `queried_at` have been sent as events before this one.
    Confirmed {
        /// Time at which the store was queried.
        queried_at: Time,
    },
    /// The backend server reported its load.
    ServerReport(ServerReport),
    /// The process received a stop signal.
    Stop,
}

/// Runs `stakker` and passes each event to `handler` until an actor shuts the system down.
pub fn run(stakker: &mut Stakker, events: &Receiver<Event>, handler: &Fwd<Event>) {
    while stakker.not_shutdown() {
        let now = Instant::now();
        stakker.run(now, false);
        let wait = stakker.next_wait_max(now, MAX_WAIT, false);
        match events.recv_timeout(wait) {
            Ok(event) => handler.fwd(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
}

/// Serves synchronizations over gRPC by passing the requests to the control thread.
#[derive(Debug)]
pub struct EventSyncSource(pub SyncSender<Event>);

impl SyncSource for EventSyncSource {
    fn request_missing_items(&self, known: KnownItems, reply: oneshot::Sender<SyncedItems>) {
        // A full queue drops the reply sender, and the peer turns to another balancer.
        let _ = self.0.try_send(Event::SyncRequest { known, reply });
    }
}

/// Encodes, authenticates and sends control messages on the control socket.
#[derive(Clone, Debug)]
pub struct ControlSender {
    socket: Arc<UdpSocket>,
    key: DatagramKey,
    sender: u64,
    incarnation: Incarnation,
    sequence: Arc<AtomicU64>,
}

impl ControlSender {
    /// Creates a sender. `sender` is the node id or host id of this process as a number; together
    /// with `incarnation` it identifies the origin of the messages.
    #[must_use]
    pub fn new(
        socket: Arc<UdpSocket>,
        key: DatagramKey,
        sender: u64,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            socket,
            key,
            sender,
            incarnation,
            sequence: Arc::default(),
        }
    }

    /// Sends a message without delivery guarantee: the protocols repeat lost messages.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let origin = Origin {
            sender: self.sender,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        };
        match control::encode(self.key, &origin, message) {
            Ok(datagram) => {
                if let Err(error) = self.socket.send_to(&datagram, to) {
                    debug!(
                        event = "control_send_failed", to:%;
                        "control message not sent: {error}"
                    );
                }
            }
            Err(error) => {
                warn!(event = "control_encode_failed"; "control message not sent: {error}");
            }
        }
    }
}

/// Starts the thread that receives control datagrams, rejects those that are not authentic or are
/// replayed, and sends the others as events.
///
/// # Errors
///
/// Fails with kind `io` when the socket or the thread cannot be set up.
pub fn spawn_receiver(
    socket: Arc<UdpSocket>,
    key: DatagramKey,
    events: SyncSender<Event>,
    stop: Arc<AtomicBool>,
) -> Result<thread::JoinHandle<()>> {
    udp::set_receive_timeout(&socket, RECEIVE_TIMEOUT)?;
    thread::Builder::new()
        .name("control-receive".to_owned())
        .spawn(move || receive_datagrams(&socket, key, &events, &stop))
        .map_err(|error| io(format!("control: cannot start a thread: {error}")))
}

fn receive_datagrams(
    socket: &UdpSocket,
    key: DatagramKey,
    events: &SyncSender<Event>,
    stop: &AtomicBool,
) {
    let rejected = metrics::counter!("cardamomloom_control_rejected_total");
    let overflow = metrics::counter!("cardamomloom_control_overflow_total");
    let replayed = metrics::counter!("cardamomloom_control_replayed_total");
    let mut replay_guard = ReplayGuard::default();
    let mut batch = ReceiveBatch::default();
    while !stop.load(Ordering::Relaxed) {
        if let Err(error) = batch.receive(socket, ReceiveMode::WaitForOne) {
            warn!(event = "control_receive_failed"; "cannot receive control datagrams: {error}");
        }
        for (datagram, source) in batch.datagrams() {
            let Some(from) = source else { continue };
            let Ok((origin, message)) = control::decode(key, datagram) else {
                rejected.increment(1);
                continue;
            };
            if !replay_guard.accept(&origin) {
                replayed.increment(1);
                continue;
            }
            let event = Event::Datagram {
                from,
                sender: origin.sender,
                message,
            };
            if events.try_send(event).is_err() {
                overflow.increment(1);
            }
        }
    }
}
