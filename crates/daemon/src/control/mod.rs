//! The control thread: runs `stakker` actors on events from sockets and the store.

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
        sync::{Known, SyncSource},
        udp::{self, ReceiveBatch, Wait},
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

/// Events that may wait for the control thread; later ones are dropped and repeated by peers.
pub const EVENT_QUEUE: usize = 4_096;

/// Longest wait of the control thread, so that it sees a pause of the process.
const MAX_WAIT: Duration = Duration::from_millis(100);

const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Objects that the store answered with.
#[derive(Debug)]
pub struct StoreAnswer {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// The objects.
    pub list: ObjectList,
    /// Whether the answer has all objects under the prefix, and not changes only.
    pub is_complete: bool,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// The store answered a list or a watch.
    Objects(StoreAnswer),
    /// A peer asks over gRPC for what it lacks.
    SyncRequest {
        /// What the peer knows.
        known: Known,
        /// Takes the answer.
        reply: oneshot::Sender<SyncedItems>,
    },
    /// A catch-up with a peer over gRPC ended.
    Synced(Result<SyncedItems>),
    /// A control datagram arrived.
    Datagram {
        /// Address of its sender.
        from: SocketAddr,
        /// Identity of its sender: the number of its node id or host id.
        sender: u64,
        /// Its message.
        message: Message,
    },
    /// The packet loop reports its state.
    Flows {
        /// Open flows.
        open: usize,
        /// State of the admission.
        admission: AdmissionStatus,
        /// Progress of the handover.
        handover: HandoverStatus,
    },
    /// All objects that were current at a time were sent as events before this one.
    Confirmed {
        /// Time of the question to the store.
        asked: Time,
    },
    /// The backend server reported its load.
    ServerReport(ServerReport),
    /// The process is asked to stop.
    Stop,
}

/// Runs `stakker` until an actor shuts it down; each event goes to `handler`.
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

/// Passes requests for a catch-up to the control thread.
#[derive(Debug)]
pub struct EventSyncSource(pub SyncSender<Event>);

impl SyncSource for EventSyncSource {
    fn ask(&self, known: Known, reply: oneshot::Sender<SyncedItems>) {
        // When the queue is full the reply is dropped, and the peer asks another balancer.
        let _ = self.0.try_send(Event::SyncRequest { known, reply });
    }
}

/// Sends control messages from the control thread.
#[derive(Clone, Debug)]
pub struct ControlSender {
    socket: Arc<UdpSocket>,
    key: DatagramKey,
    sender: u64,
    incarnation: Incarnation,
    sequence: Arc<AtomicU64>,
}

impl ControlSender {
    /// Creates a sender on the control socket; `sender` is the number of the node id or host id.
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

    /// Sends a message; a lost one is repeated by its protocol.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let origin = Origin {
            sender: self.sender,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        };
        match control::encode(self.key, &origin, message) {
            Ok(datagram) => {
                if let Err(error) = self.socket.send_to(&datagram, to) {
                    debug!(event = "control_send_failed", to:%; "control message not sent: {error}");
                }
            }
            Err(error) => warn!(event = "control_encode_failed"; "{error}"),
        }
    }
}

/// Starts the thread that receives control datagrams.
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
        .spawn(move || receive(&socket, key, &events, &stop))
        .map_err(|error| io(format!("control: cannot start a thread: {error}")))
}

fn receive(socket: &UdpSocket, key: DatagramKey, events: &SyncSender<Event>, stop: &AtomicBool) {
    let rejected = metrics::counter!("cardamomloom_control_rejected_total");
    let overflow = metrics::counter!("cardamomloom_control_overflow_total");
    let replayed = metrics::counter!("cardamomloom_control_replayed_total");
    let mut replays = ReplayGuard::default();
    let mut batch = ReceiveBatch::default();
    while !stop.load(Ordering::Relaxed) {
        if let Err(error) = batch.receive(socket, Wait::ForOne) {
            warn!(event = "control_receive_failed"; "{error}");
        }
        for (datagram, source) in batch.datagrams() {
            let Some(from) = source else { continue };
            let Ok((origin, message)) = control::decode(key, datagram) else {
                rejected.increment(1);
                continue;
            };
            if !replays.accept(&origin) {
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
