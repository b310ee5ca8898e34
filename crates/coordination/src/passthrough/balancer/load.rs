//! Loads of hosts in a balancer: what agents tell it, and what it tells agents.

use {
    super::{Balancer, host_list::HostChanges},
    crate::passthrough::{
        OutgoingMessage, as_millis_u16,
        load::{ExpectedLoad, LoadView},
    },
    cardamomloom_core::{ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{
        Announcement, HostLoad, LoadHeartbeat, MAX_PEER_LOADS, PeerLoad, PeerLoads, ServiceTag,
        ServiceWait,
    },
    log::info,
    std::{collections::HashMap, net::Ipv4Addr},
};

/// Age from which the least wait of a service is determined again for the next SYN. It is short
/// against the wait from which requests are late.
const SERVICE_WAIT_MAX_AGE: Span = Span::from_millis(20);

/// Time without SYNs after which the state of a service is discarded.
const SERVICE_RETENTION: Span = Span::from_secs(60);

/// Age up to which a load is told to agents, which keep it for 3 s.
const MAX_TOLD_AGE: Span = Span::from_millis(1_500);

/// Maximum rate of the loads of hosts to agents. Other control messages of a balancer that does not read
/// the store take less than 2 KB/s of the limit of 3 KB/s.
const PEER_LOADS_BYTES_PER_S: u64 = 600;

/// Maximum rate of the loads of hosts from a balancer that reads the store for more than
/// [`MAX_PEERS_OF_SMALL_FLEET`] others, whose other messages take up to 2.8 KB/s with 22 balancers.
const READER_PEER_LOADS_BYTES_PER_S: u64 = 40;

/// Other balancers up to which the heartbeats of a store reader, two a second to each, take less than
/// 1.4 KB/s.
const MAX_PEERS_OF_SMALL_FLEET: usize = 15;

/// Time over which unused bytes accumulate, so that the loads of [`MAX_PEER_LOADS`] hosts fit.
const PEER_LOADS_BURST: Span = Span::from_millis(1_200);

/// Encoded size of [`PeerLoads`] without hosts, and maximum size of each host.
const PEER_LOADS_EMPTY_BYTES: u64 = 10;
const PEER_LOAD_BYTES: u64 = 11;

/// Least expected wait of a service, as the headers of its packets state it.
#[derive(Clone, Copy, Debug)]
struct CachedWait {
    at: Time,
    wait: ServiceWait,
    /// Whether the loads of enough hosts are known.
    is_known: bool,
}

/// State of the exchange of loads.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    service_waits: HashMap<ServiceTag, CachedWait>,
    changes: HostChanges,
    /// Time at which the bytes that may be sent now began to accumulate.
    budget_since: Time,
    /// Selects the host at which the next list of loads starts, so that agents learn of different
    /// hosts.
    turn: usize,
}

impl LoadExchange {
    /// Returns the number of hosts whose loads may be sent now, at most `hosts`, and consumes the bytes
    /// of the message. Returns `None` if not even a message without hosts may be sent.
    fn take_hosts(&mut self, now: Time, bytes_per_s: u64, hosts: usize) -> Option<usize> {
        self.budget_since = self.budget_since.max(now - PEER_LOADS_BURST);
        let bytes = now.since(self.budget_since).0 * bytes_per_s / 1_000_000;
        let host_bytes = bytes.checked_sub(PEER_LOADS_EMPTY_BYTES)?;
        let allowed = usize::try_from(host_bytes / PEER_LOAD_BYTES).unwrap_or(usize::MAX);
        let taken = allowed.min(hosts).min(MAX_PEER_LOADS);
        let used_bytes = PEER_LOADS_EMPTY_BYTES + taken as u64 * PEER_LOAD_BYTES;
        self.budget_since = self.budget_since + Span(used_bytes * 1_000_000 / bytes_per_s);
        Some(taken)
    }
}

impl Balancer {
    /// Returns the known loads of hosts.
    #[must_use]
    pub const fn loads(&self) -> &LoadView {
        &self.loads
    }

    /// Processes the heartbeat of an agent with the load of its host. If it asks for hosts, the answer
    /// ends with the loads of other hosts of the service.
    pub(super) fn on_load_heartbeat(
        &mut self,
        now: Time,
        message: &LoadHeartbeat,
    ) -> Vec<OutgoingMessage> {
        let heartbeat = &message.heartbeat;
        let uses_loads = self.uses_loads();
        if uses_loads
            && let Some(record) = self.hosts.get(heartbeat.agent)
            && record.announcement.process == heartbeat.process
            && record.announcement.sequence < heartbeat.sequence
        {
            let round_trip =
                (message.round_trip_us > 0).then(|| Span(u64::from(message.round_trip_us)));
            let domain = &record.announcement.domain;
            self.loads
                .record(now, heartbeat.agent, domain, message.load, round_trip);
        }
        let mut answer = self.on_agent_heartbeat(now, heartbeat);
        if uses_loads && heartbeat.asks_hosts.is_some() {
            let loads = self.peer_loads_for(now, heartbeat.agent);
            answer.extend(loads.map(|loads| OutgoingMessage {
                to: heartbeat.agent,
                message: loads.into(),
            }));
        }
        answer
    }

    /// Determines the least expected wait of a service again if the present one is too old. It costs
    /// less than the choice of a host for the SYN that it is needed for.
    pub(super) fn refresh_service_wait(&mut self, now: Time, service: &ServiceName) {
        if !self.uses_loads() {
            return;
        }
        let tag = ServiceTag::from(service);
        let cached = self.load_exchange.service_waits.get(&tag).copied();
        if cached.is_some_and(|cached| now.since(cached.at) < SERVICE_WAIT_MAX_AGE) {
            return;
        }
        let (mut usable, mut known, mut least_wait) = (0, 0, None);
        for record in self.usable_hosts(now, service) {
            usable += 1;
            if let Some(load) = self.loads.load(now, record.announcement.agent) {
                known += 1;
                least_wait = least_wait.into_iter().chain(load.wait).min();
            }
        }
        let is_known = known > 0 && known * 2 >= usable;
        let refreshed = CachedWait {
            at: now,
            wait: least_wait
                .filter(|_| is_known)
                .map_or(ServiceWait::UNKNOWN, ServiceWait::from_wait),
            is_known,
        };
        self.load_exchange.service_waits.insert(tag, refreshed);
        let was_known = cached.is_some_and(|cached| cached.is_known);
        if is_known != was_known && self.load_exchange.changes.record() {
            info!(event = "load_view", service:%, is_known, known, usable; "loads of the hosts of a service became known or unknown");
        }
    }

    /// Returns the least expected wait of a service as of the latest SYN to it.
    pub(super) fn service_wait(&self, service: ServiceTag) -> ServiceWait {
        let cached = self.load_exchange.service_waits.get(&service);
        cached.map_or(ServiceWait::UNKNOWN, |cached| cached.wait)
    }

    /// Discards old loads and states of services.
    pub(super) fn expire_loads(&mut self, now: Time) {
        self.loads.expire(now);
        self.load_exchange
            .service_waits
            .retain(|_, cached| now.since(cached.at) <= SERVICE_RETENTION);
        if let Some(changes) = self.load_exchange.changes.take_summary(now) {
            info!(event = "load_views_changed", changes; "loads of the hosts of more services became known or unknown");
        }
    }

    /// Returns whether load control is on.
    #[must_use]
    pub const fn uses_loads(&self) -> bool {
        self.options.load_control.uses_loads()
    }

    /// Returns the recent loads of other usable hosts of the service of an agent, as many as the limit
    /// of the rate allows, or `None` if it allows no message.
    fn peer_loads_for(&mut self, now: Time, receiver: Ipv4Addr) -> Option<PeerLoads> {
        let bytes_per_s = if self.is_reader(now) && self.peers.len() > MAX_PEERS_OF_SMALL_FLEET {
            READER_PEER_LOADS_BYTES_PER_S
        } else {
            PEER_LOADS_BYTES_PER_S
        };
        let loads = self.recent_loads(now, &self.hosts.get(receiver)?.announcement);
        let exchange = &mut self.load_exchange;
        let count = exchange.take_hosts(now, bytes_per_s, loads.len())?;
        let first = exchange.turn % loads.len().max(1);
        exchange.turn = exchange.turn.wrapping_add(count);
        let selected = loads.iter().cycle().skip(first).take(count).copied();
        Some(PeerLoads {
            loads: selected.collect(),
        })
    }

    fn recent_loads(&self, now: Time, receiver: &Announcement) -> Vec<PeerLoad> {
        self.usable_hosts(now, &receiver.service)
            .filter(|record| record.announcement.agent != receiver.agent)
            .filter_map(|record| {
                let agent = record.announcement.agent;
                let load = self.loads.load(now, agent)?;
                let is_same_domain = record.announcement.domain == receiver.domain;
                (load.age <= MAX_TOLD_AGE).then(|| peer_load(agent, load, is_same_domain))
            })
            .collect()
    }
}

fn peer_load(agent: Ipv4Addr, load: ExpectedLoad, is_same_domain: bool) -> PeerLoad {
    PeerLoad {
        agent,
        wait_ms: load.wait.map_or(HostLoad::TAKES_NO_FLOWS, |wait| {
            as_millis_u16(wait).min(HostLoad::TAKES_NO_FLOWS - 1)
        }),
        work_ms: load.work.map_or(0, as_millis_u16),
        is_same_domain,
    }
}
