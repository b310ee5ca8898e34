//! Stand-in for the packet fabric: sprays packets of callers over the ready balancers and carries
//! response packets back to the callers.

use {
    crate::locks::lock,
    axum::{Json, Router, extract::State, http::StatusCode, routing::put},
    cardamomloom_protocol::{gue, packet},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        time,
    },
};

/// Result of an operation on the sockets of the fabric.
pub type Result<T> = io::Result<T>;

/// Pause between two rounds of readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an unanswered probe counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest datagram that is carried whole; the rest of a longer one is cut off.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A balancer that receives packets while it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Address of the packet socket.
    pub data_address: SocketAddr,
    /// Address of the operator endpoints, which include `/readyz`.
    pub http_address: SocketAddr,
}

/// Loss and delay of the links between callers and balancers, and between agents and callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// Share of packets that are lost, in parts per million.
    pub loss_ppm: u32,
    /// Shortest delay of a packet.
    pub delay_ms: u64,
    /// Largest random addition to the delay, which reorders packets.
    pub jitter_ms: u64,
}

/// Balancers, links and caller addresses, shared by the tasks of the fabric.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Shared>);

#[derive(Default)]
struct Shared {
    targets: Mutex<Vec<Target>>,
    /// Packet sockets of the targets that passed the last readiness probe.
    ready: Mutex<Vec<SocketAddr>>,
    /// UDP address of the caller process by the caller address of a flow.
    callers: Mutex<HashMap<SocketAddr, SocketAddr>>,
    links: Mutex<Links>,
}

/// Bound sockets on which the fabric runs.
pub struct FabricSockets {
    /// Receives packets of callers, and sends all packets.
    pub ingress: UdpSocket,
    /// Receives response packets of agents.
    pub egress: UdpSocket,
    /// Accepts HTTP requests that set the balancers and the links.
    pub control: TcpListener,
}

impl Fabric {
    /// Replaces the balancers; each of them receives packets once a probe finds it ready.
    pub fn set_targets(&self, targets: Vec<Target>) {
        *lock(&self.0.targets) = targets;
    }

    /// Runs the fabric until a socket fails.
    ///
    /// Each packet of a caller goes to a random ready balancer; `seed` determines the choices, the
    /// losses and the delays.
    ///
    /// # Errors
    ///
    /// Fails when a socket cannot receive or the control listener fails.
    pub async fn run(self, sockets: FabricSockets, seed: u64) -> Result<()> {
        let router = Router::new()
            .route("/targets", put(put_targets))
            .route("/links", put(put_links))
            .with_state(self.clone());
        tokio::spawn(self.clone().probe());
        let control = async { axum::serve(sockets.control, router).await };
        let ingress = Arc::new(sockets.ingress);
        tokio::try_join!(
            control,
            self.spray(ingress.clone(), seed),
            self.return_responses(&sockets.egress, ingress.clone(), seed),
        )?;
        Ok(())
    }

    /// Sends each packet of a caller to a random ready balancer, or drops it when none is ready.
    async fn spray(&self, ingress: Arc<UdpSocket>, seed: u64) -> Result<()> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, caller_socket) = ingress.recv_from(&mut buffer).await?;
            let datagram = &buffer[..length];
            let inner = gue::decode(datagram).unwrap_or_default();
            if let Ok(meta) = packet::parse(inner) {
                lock(&self.0.callers).insert(meta.flow.caller, caller_socket);
            }
            let target = {
                let ready = lock(&self.0.ready);
                let index = random.random_range(0..ready.len().max(1));
                ready.get(index).copied()
            };
            if let Some(target) = target {
                self.transmit(&mut random, &ingress, datagram, target).await;
            }
        }
    }

    /// Sends a datagram with the loss and delay of the links.
    async fn transmit(
        &self,
        random: &mut ChaCha8Rng,
        socket: &Arc<UdpSocket>,
        datagram: &[u8],
        to: SocketAddr,
    ) {
        let links = *lock(&self.0.links);
        if random.random_range(0..1_000_000) < links.loss_ppm {
            return;
        }
        let delay_ms = links.delay_ms + random.random_range(0..=links.jitter_ms);
        if delay_ms == 0 {
            // Send errors are ignored: a full socket buffer loses the packet, as a real fabric may.
            let _ = socket.send_to(datagram, to).await;
            return;
        }
        let (socket, datagram) = (socket.clone(), datagram.to_vec());
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            let _ = socket.send_to(&datagram, to).await;
        });
    }

    /// Sends each response packet to the process of its caller, or drops it when the caller is
    /// unknown.
    async fn return_responses(
        &self,
        egress: &UdpSocket,
        ingress: Arc<UdpSocket>,
        seed: u64,
    ) -> Result<()> {
        // A separate random stream, so that faults of the two directions are independent.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(1);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, _) = egress.recv_from(&mut buffer).await?;
            let datagram = &buffer[..length];
            let Ok(inner) = gue::decode(datagram) else {
                continue;
            };
            // `packet::parse` names the destination `service`; in a response it is the caller.
            let Ok(meta) = packet::parse(inner) else {
                continue;
            };
            let caller = lock(&self.0.callers).get(&meta.flow.service).copied();
            if let Some(caller) = caller {
                self.transmit(&mut random, &ingress, datagram, caller).await;
            }
        }
    }

    /// Probes the readiness of every target, one after another, in an endless loop.
    async fn probe(self) {
        let client = reqwest::Client::new();
        loop {
            let targets = lock(&self.0.targets).clone();
            let mut ready = Vec::with_capacity(targets.len());
            for target in targets {
                let probe = client
                    .get(format!("http://{}/readyz", target.http_address))
                    .timeout(PROBE_TIMEOUT)
                    .send()
                    .await;
                if probe.is_ok_and(|response| response.status().is_success()) {
                    ready.push(target.data_address);
                }
            }
            *lock(&self.0.ready) = ready;
            time::sleep(PROBE_INTERVAL).await;
        }
    }
}

async fn put_targets(State(fabric): State<Fabric>, Json(targets): Json<Vec<Target>>) -> StatusCode {
    fabric.set_targets(targets);
    StatusCode::NO_CONTENT
}

async fn put_links(State(fabric): State<Fabric>, Json(links): Json<Links>) -> StatusCode {
    *lock(&fabric.0.links) = links;
    StatusCode::NO_CONTENT
}
