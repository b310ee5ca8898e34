//! The balancer role: threads, store readers and the registration of a balancer.

mod control;
pub mod packet_loop;
pub mod refusals;

pub use packet_loop::DropCounters;

use {
    crate::{
        control::{Event, EventSyncSource, run as run_control},
        freshness::{Confirmer, Lease},
        runtime::{DaemonRuntime, Registration, StoreReadMode, read_store},
        settings::{BalancerSettings, Settings},
    },
    arc_swap::ArcSwap,
    cardamomloom_coordination::membership::BalancerIdentity,
    cardamomloom_core::{NodeId, Span, error::Error},
    cardamomloom_protocol::object::{DOMAINS_PREFIX, NODES_PREFIX, NodeSpec, SERVICES_PREFIX},
    cardamomloom_state::routing::RoutingTable,
    cardamomloom_transport::sync,
    control::{BalancerControl, ControlOptions},
    log::info,
    packet_loop::PacketLoopOptions,
    siphasher::sip::SipHasher13,
    stakker::{Stakker, actor, fwd_to, ret_shutdown},
    std::{
        hash::{Hash, Hasher},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
    tokio::sync::watch,
};

/// Result of running a balancer.
pub type Result<T> = std::result::Result<T, Error>;

/// Prefixes of the store that a balancer lists at its start, and watches while it is a store
/// reader.
pub const STORE_PREFIXES: [&str; 3] = [SERVICES_PREFIX, DOMAINS_PREFIX, NODES_PREFIX];

/// Runs a balancer until it has received a stop request and its linger time has passed.
///
/// # Errors
///
/// Fails with kind `io` when a socket or thread cannot be set up, and with `invalid_argument` when
/// the registration cannot be encoded.
pub fn run(settings: &Settings, balancer: &BalancerSettings, runtime: DaemonRuntime) -> Result<()> {
    let node = node_id(runtime.control_address);
    let routing = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
    runtime.inspect.set_routing(routing.clone());
    let published_refusals = refusals::PublishedRefusals::default();
    runtime
        .inspect
        .burn_recorder()
        .set_source(refusals::source(published_refusals.clone()));
    let lease = Lease::default();
    let packets = packet_loop::spawn(
        PacketLoopOptions {
            socket: runtime.data_socket,
            routing: routing.clone(),
            lease: lease.clone(),
            clock: runtime.clock,
            key: settings.datagram_key(),
            published_refusals,
        },
        runtime.stop.clone(),
    )?;
    let store_read_mode = watch::Sender::new(StoreReadMode::List);
    for prefix in STORE_PREFIXES {
        let events = runtime.event_sender.clone();
        let reader = read_store(
            runtime.store.clone(),
            prefix,
            store_read_mode.subscribe(),
            events,
        );
        runtime.tokio.spawn(reader);
    }
    let spec = NodeSpec {
        node,
        domain: settings.domain.clone(),
        incarnation: runtime.incarnation,
        data_address: runtime.data_address,
        control_address: runtime.control_address,
        http_address: runtime.http_address,
    };
    let registration = Registration::new(runtime.store.clone(), &spec)?;
    runtime.tokio.spawn(registration.clone().register());

    let source = Arc::new(EventSyncSource(runtime.event_sender.clone()));
    runtime.tokio.spawn(sync::serve(
        runtime.sync_listener,
        source,
        runtime.tls.clone(),
    ));

    let options = ControlOptions {
        identity: BalancerIdentity {
            node,
            domain: settings.domain.clone(),
            control_address: runtime.control_address,
            incarnation: runtime.incarnation,
            seeds: settings.seeds.clone(),
        },
        store_read_mode,
        tls: runtime.tls.clone(),
        runtime: runtime.tokio.handle().clone(),
        events: runtime.event_sender.clone(),
        clock: runtime.clock,
        sender: runtime.control,
        routing,
        inspect: runtime.inspect,
        lease,
        confirmer: Confirmer::new(
            runtime.store.clone(),
            runtime.tokio.handle().clone(),
            runtime.event_sender.clone(),
        ),
        linger: Span::from_millis(balancer.linger_ms),
    };
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(
        stakker,
        BalancerControl::init(options),
        ret_shutdown!(stakker)
    );
    let handler = fwd_to!([actor], on_event() as (Event));
    run_control(&mut stakker, &runtime.events, &handler);

    runtime.tokio.block_on(registration.deregister());
    runtime.stop.store(true, Ordering::Relaxed);
    if packets.join().is_err() {
        log::error!(event = "packet_loop_panicked"; "packet loop thread panicked");
    }
    info!(event = "balancer_stopped", node:%; "balancer stopped");
    Ok(())
}

/// Returns the node id, a hash of the control address. A restart on the same address keeps it.
#[must_use]
pub fn node_id(control_address: SocketAddr) -> NodeId {
    let mut hasher = SipHasher13::new();
    control_address.hash(&mut hasher);
    NodeId(hasher.finish())
}
