//! Stand-in for the packet fabric: sprays packets of callers over the ready balancers and takes
//! answers back.

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

/// Result of running the fabric.
pub type Result<T> = io::Result<T>;

/// Time between two readiness probes of a balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A balancer that the fabric may spray to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Packet socket.
    pub data_address: SocketAddr,
    /// Operator endpoints, for the readiness probe.
    pub http_address: SocketAddr,
}

/// Behaviour of the links between callers, balancers and agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// Share of packets that are lost.
    pub loss_ppm: u32,
    /// Delay of every packet.
    pub delay_ms: u64,
    /// Largest random addition to the delay; packets overtake each other by it.
    pub jitter_ms: u64,
}

/// State shared by the tasks of the fabric.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Shared>);

#[derive(Default)]
struct Shared {
    targets: Mutex<Vec<Target>>,
    ready: Mutex<Vec<SocketAddr>>,
    callers: Mutex<HashMap<SocketAddr, SocketAddr>>,
    links: Mutex<Links>,
}

/// Sockets of the fabric.
pub struct FabricSockets {
    /// Takes packets of callers.
    pub ingress: UdpSocket,
    /// Takes answers of agents.
    pub egress: UdpSocket,
    /// Takes the list of balancers.
    pub control: TcpListener,
}

impl Fabric {
    /// Sets the balancers.
    pub fn set_targets(&self, targets: Vec<Target>) {
        *lock(&self.0.targets) = targets;
    }

    /// Runs the fabric until a socket fails. Packets go to ready balancers at random, from `seed`.
    ///
    /// # Errors
    ///
    /// Fails when a socket fails.
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
            self.take_back(&sockets.egress, ingress.clone(), seed),
        )?;
        Ok(())
    }

    async fn spray(&self, ingress: Arc<UdpSocket>, seed: u64) -> Result<()> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = ingress.recv_from(&mut buffer).await?;
            let datagram = &buffer[..length];
            let inner = gue::decode(datagram).unwrap_or_default();
            if let Ok(meta) = packet::parse(inner) {
                lock(&self.0.callers).insert(meta.flow.caller, from);
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

    /// Sends a datagram over a link that may lose or delay it.
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
            // A full socket buffer loses the packet, as a fabric may.
            let _ = socket.send_to(datagram, to).await;
            return;
        }
        let (socket, datagram) = (socket.clone(), datagram.to_vec());
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            let _ = socket.send_to(&datagram, to).await;
        });
    }

    async fn take_back(
        &self,
        egress: &UdpSocket,
        ingress: Arc<UdpSocket>,
        seed: u64,
    ) -> Result<()> {
        // Another stream of the same generator, so that the directions are independent.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(1);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, _) = egress.recv_from(&mut buffer).await?;
            let datagram = &buffer[..length];
            let Ok(inner) = gue::decode(datagram) else {
                continue;
            };
            // In an answer the destination is the caller.
            let Ok(meta) = packet::parse(inner) else {
                continue;
            };
            let caller = lock(&self.0.callers).get(&meta.flow.service).copied();
            if let Some(caller) = caller {
                self.transmit(&mut random, &ingress, datagram, caller).await;
            }
        }
    }

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
