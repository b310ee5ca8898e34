//! The balancer role.

mod control;
pub mod packet_loop;
pub mod refusals;

pub use packet_loop::DropCounters;

use {
    crate::{
        control::{Event, EventSyncSource, run as run_control},
        freshness::{Confirmer, Lease},
        runtime::{Registration, Shell, StoreUse, use_store},
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

/// Prefixes of the store that a balancer lists at its start, and watches when it is a reader.
pub const STORE_PREFIXES: [&str; 3] = [SERVICES_PREFIX, DOMAINS_PREFIX, NODES_PREFIX];

/// Runs a balancer until it was asked to stop and its linger time has passed.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub fn run(settings: &Settings, balancer: &BalancerSettings, shell: Shell) -> Result<()> {
    let node = node_id(shell.control_address);
    let routing = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
    shell.inspect.set_routing(routing.clone());
    let published_refusals = refusals::PublishedRefusals::default();
    shell
        .inspect
        .burn_recorder()
        .set_source(refusals::source(published_refusals.clone()));
    let lease = Lease::default();
    let packets = packet_loop::spawn(
        PacketLoopOptions {
            socket: shell.data_socket,
            routing: routing.clone(),
            lease: lease.clone(),
            clock: shell.clock,
            key: settings.datagram_key(),
            published_refusals,
        },
        shell.stop.clone(),
    )?;
    let store_use = watch::Sender::new(StoreUse::List);
    for prefix in STORE_PREFIXES {
        let events = shell.event_sender.clone();
        let reader = use_store(shell.store.clone(), prefix, store_use.subscribe(), events);
        shell.runtime.spawn(reader);
    }
    let spec = NodeSpec {
        node,
        domain: settings.domain.clone(),
        incarnation: shell.incarnation,
        data_address: shell.data_address,
        control_address: shell.control_address,
        http_address: shell.http_address,
    };
    let registration = Registration::new(shell.store.clone(), &spec)?;
    shell.runtime.spawn(registration.clone().register());

    let source = Arc::new(EventSyncSource(shell.event_sender.clone()));
    shell
        .runtime
        .spawn(sync::serve(shell.sync_listener, source, shell.tls.clone()));

    let options = ControlOptions {
        identity: BalancerIdentity {
            node,
            domain: settings.domain.clone(),
            control_address: shell.control_address,
            incarnation: shell.incarnation,
            seeds: settings.seeds.clone(),
        },
        store_use,
        tls: shell.tls.clone(),
        runtime: shell.runtime.handle().clone(),
        events: shell.event_sender.clone(),
        clock: shell.clock,
        sender: shell.control,
        routing,
        inspect: shell.inspect,
        lease,
        confirmer: Confirmer::new(
            shell.store.clone(),
            shell.runtime.handle().clone(),
            shell.event_sender.clone(),
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
    run_control(&mut stakker, &shell.events, &handler);

    shell.runtime.block_on(registration.deregister());
    shell.stop.store(true, Ordering::Relaxed);
    if packets.join().is_err() {
        log::error!(event = "packet_loop_panicked"; "the packet loop ended with a panic");
    }
    info!(event = "balancer_stopped", node:%; "balancer stopped");
    Ok(())
}

/// Derives the identity from the control address, so that a restart on the same address keeps it.
#[must_use]
pub fn node_id(control_address: SocketAddr) -> NodeId {
    let mut hasher = SipHasher13::new();
    control_address.hash(&mut hasher);
    NodeId(hasher.finish())
}
