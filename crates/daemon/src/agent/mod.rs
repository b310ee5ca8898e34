//! The agent role.

mod control;
mod metrics;
mod packet_loop;

use {
    crate::{
        burn::AgentTotals,
        control::{Event, run as run_control},
        freshness::{Confirmer, Lease},
        runtime::{Shell, StoreUse, use_store, watch_server_load},
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

/// Runs an agent until it was asked to stop and its flows have ended.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub fn run(settings: &Settings, agent: &AgentSettings, shell: Shell) -> Result<()> {
    let host = host_id(agent, shell.control_address);
    let burn = Arc::new(AgentTotals::default());
    let recorder = shell.inspect.burn_recorder();
    recorder.set_source(burn.clone().source());
    let lease = Lease::default();
    let loop_options = PacketLoopOptions {
        host,
        lease: lease.clone(),
        key: settings.datagram_key(),
        backend_address: agent.backend_address,
        return_address: agent.return_address,
        clock: shell.clock,
        seed: shell.incarnation.0,
        control: shell.control.clone(),
        burn,
    };
    let (packets, commands) = packet_loop::spawn(
        shell.data_socket,
        loop_options,
        shell.event_sender.clone(),
        shell.stop.clone(),
    )?;
    if let Some(url) = &agent.load_url {
        let watch = watch_server_load(LoadClient::new(url)?, shell.event_sender.clone());
        shell.runtime.spawn(watch);
    }
    let store_use = watch::Sender::new(StoreUse::Idle);
    let events = shell.event_sender.clone();
    let reader = use_store(
        shell.store.clone(),
        NODES_PREFIX,
        store_use.subscribe(),
        events,
    );
    shell.runtime.spawn(reader);
    let options = ControlOptions {
        host,
        service: agent.service.clone(),
        domain: settings.domain.clone(),
        weight: agent.weight,
        incarnation: shell.incarnation,
        data_address: shell.data_address,
        control_address: shell.control_address,
        seeds: settings.seeds.clone(),
        store_use,
        clock: shell.clock,
        sender: shell.control,
        commands,
        lease,
        confirmer: Confirmer::new(
            shell.store.clone(),
            shell.runtime.handle().clone(),
            shell.event_sender.clone(),
        ),
        inspect: shell.inspect,
    };
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, AgentControl::init(options), ret_shutdown!(stakker));
    let handler = fwd_to!([actor], on_event() as (Event));
    run_control(&mut stakker, &shell.events, &handler);

    shell.stop.store(true, Ordering::Relaxed);
    if packets.join().is_err() {
        log::error!(event = "packet_loop_panicked"; "the packet loop ended with a panic");
    }
    info!(event = "agent_stopped", host:%; "agent stopped");
    Ok(())
}

/// Returns the identity from the settings, or else derives it from the control address, so that a
/// restart on the same address keeps its place in candidate tables.
#[must_use]
pub fn host_id(agent: &AgentSettings, control_address: SocketAddr) -> HostId {
    if let Some(host) = agent.host_id {
        return host;
    }
    let mut hasher = SipHasher13::new();
    control_address.hash(&mut hasher);
    HostId(u32::try_from(hasher.finish() >> 32).unwrap_or_default())
}
