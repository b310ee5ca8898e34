//! The agent role: threads and store readers of an agent.

mod control;
mod metrics;
mod packet_loop;

use {
    crate::{
        burn::AgentTotals,
        control::{Event, run as run_control},
        freshness::{Confirmer, Lease},
        runtime::{DaemonRuntime, StoreReadMode, poll_server_load, read_store},
        settings::{AgentSettings, Settings},
    },
    cardamomloom_core::{HostId, error::Error},
    cardamomloom_protocol::object::NODES_PREFIX,
    cardamomloom_transport::server_load::LoadClient,
    control::{AgentControl, ControlOptions},
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

/// Result of running an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs an agent until it has received a stop request and its flows have ended or its drain timeout
/// has passed.
///
/// # Errors
///
/// Fails with kind `io` when a socket or thread cannot be set up, and when the client of the load
/// endpoint cannot be created.
pub fn run(settings: &Settings, agent: &AgentSettings, runtime: DaemonRuntime) -> Result<()> {
    let host = host_id(agent, runtime.control_address);
    let burn = Arc::new(AgentTotals::default());
    let recorder = runtime.inspect.burn_recorder();
    recorder.set_source(burn.clone().source());
    let lease = Lease::default();
    let loop_options = PacketLoopOptions {
        host,
        lease: lease.clone(),
        key: settings.datagram_key(),
        backend_address: agent.backend_address,
        return_address: agent.return_address,
        clock: runtime.clock,
        seed: runtime.incarnation.0,
        control: runtime.control.clone(),
        burn,
    };
    let (packets, commands) = packet_loop::spawn(
        runtime.data_socket,
        loop_options,
        runtime.event_sender.clone(),
        runtime.stop.clone(),
    )?;
    if let Some(url) = &agent.load_url {
        let watch = poll_server_load(LoadClient::new(url)?, runtime.event_sender.clone());
        runtime.tokio.spawn(watch);
    }
    let store_read_mode = watch::Sender::new(StoreReadMode::Idle);
    let events = runtime.event_sender.clone();
    let reader = read_store(
        runtime.store.clone(),
        NODES_PREFIX,
        store_read_mode.subscribe(),
        events,
    );
    runtime.tokio.spawn(reader);
    let options = ControlOptions {
        host,
        service: agent.service.clone(),
        domain: settings.domain.clone(),
        weight: agent.weight,
        incarnation: runtime.incarnation,
        data_address: runtime.data_address,
        control_address: runtime.control_address,
        seeds: settings.seeds.clone(),
        store_read_mode,
        clock: runtime.clock,
        sender: runtime.control,
        commands,
        lease,
        confirmer: Confirmer::new(
            runtime.store.clone(),
            runtime.tokio.handle().clone(),
            runtime.event_sender.clone(),
        ),
        inspect: runtime.inspect,
    };
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, AgentControl::init(options), ret_shutdown!(stakker));
    let handler = fwd_to!([actor], on_event() as (Event));
    run_control(&mut stakker, &runtime.events, &handler);

    runtime.stop.store(true, Ordering::Relaxed);
    if packets.join().is_err() {
        log::error!(event = "packet_loop_panicked"; "packet loop thread panicked");
    }
    info!(event = "agent_stopped", host:%; "agent stopped");
    Ok(())
}

/// Returns the host id from the settings, or else a hash of the control address. A restart on the
/// same address therefore keeps its place in candidate tables.
#[must_use]
pub fn host_id(agent: &AgentSettings, control_address: SocketAddr) -> HostId {
    if let Some(host) = agent.host_id {
        return host;
    }
    let mut hasher = SipHasher13::new();
    control_address.hash(&mut hasher);
    HostId(u32::try_from(hasher.finish() >> 32).unwrap_or_default())
}
