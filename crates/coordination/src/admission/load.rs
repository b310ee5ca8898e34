//! Mean load of a service, exchanged between its agents.
//!
//! Each agent sends its number of open connections to the next peers in id order. The number is
//! the agent's own count, so a backend server that reports a false load has no influence on it.

use {
    crate::membership::Outgoing,
    cardamomloom_core::{HostId, ServiceId, Span, Time, Weight},
    cardamomloom_protocol::control::{HostState, Message},
    cardamomloom_state::hosts::HostTable,
    std::collections::BTreeMap,
};

/// Times and sizes of the exchange of loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadExchangeOptions {
    /// Time between two messages to the same peer.
    pub interval: Span,
    /// Most peers that an agent tells its load. A service has 12 hosts on average at the design
    /// size, so most agents learn the load of their whole service.
    pub max_peers: usize,
    /// Age at which the load of a peer no longer counts.
    pub load_life: Span,
}

impl Default for LoadExchangeOptions {
    fn default() -> Self {
        Self {
            interval: Span::from_millis(500),
            max_peers: 12,
            load_life: Span::from_secs(3),
        }
    }
}

/// Mean load of a service, relative to weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeanLoad {
    time: Time,
    /// Connections per 1,000,000 weight units.
    level: u64,
    /// Growth of the level per second; 0 when it falls.
    growth: u64,
}

/// Share above the mean, in percent, from which an agent passes flows on. With the loads of the
/// last half second, this keeps max/mean below the target of 1.10.
const EXCESS_PERCENT: u64 = 4;

/// Connections above the mean that are always allowed, so that few flows are not passed around.
const SLACK: u64 = 2;

const LEVEL_SCALE: u64 = 1_000_000;

/// Longest time over which growth is extrapolated.
const MAX_EXTRAPOLATION: Span = Span::from_secs(1);

impl MeanLoad {
    /// Time for which a mean is relied on.
    pub const LIFE: Span = Span::from_secs(3);

    /// Returns the expected load of a host with a weight.
    fn share(&self, now: Time, weight: Weight) -> u64 {
        let elapsed = now.since(self.time).min(MAX_EXTRAPOLATION);
        let level = self.level + self.growth.saturating_mul(elapsed.0) / Span::from_secs(1).0;
        level.saturating_mul(u64::from(weight.0)) / LEVEL_SCALE
    }

    /// Returns the connections from which a host passes flows to the next candidate.
    #[must_use]
    pub fn bound(&self, now: Time, weight: Weight) -> u32 {
        let share = self.share(now, weight);
        clamp(share + share * EXCESS_PERCENT / 100 + SLACK)
    }

    /// Returns the connections below which a report of the backend server alone is not believed:
    /// three quarters of the mean.
    #[must_use]
    pub fn reported_floor(&self, now: Time, weight: Weight) -> u32 {
        clamp(self.share(now, weight) * 3 / 4 + 1)
    }
}

fn clamp(connections: u64) -> u32 {
    u32::try_from(connections).unwrap_or(u32::MAX)
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    time: Time,
    connections: u32,
    weight: Weight,
}

/// Exchange of loads as one agent sees it.
#[derive(Debug)]
pub struct LoadExchange {
    host: HostId,
    service: ServiceId,
    weight: Weight,
    peers: BTreeMap<HostId, PeerLoad>,
    last: Option<MeanLoad>,
    next_send: Time,
    options: LoadExchangeOptions,
}

impl LoadExchange {
    /// Creates the exchange of a host.
    #[must_use]
    pub const fn new(
        host: HostId,
        service: ServiceId,
        weight: Weight,
        options: LoadExchangeOptions,
    ) -> Self {
        Self {
            host,
            service,
            weight,
            peers: BTreeMap::new(),
            last: None,
            next_send: Time::ZERO,
            options,
        }
    }

    /// Processes a control message.
    pub fn on_message(&mut self, now: Time, message: &Message) {
        let Message::Load {
            host,
            service,
            connections,
            weight,
        } = message
        else {
            return;
        };
        if *service != self.service || *host == self.host {
            return;
        }
        let load = PeerLoad {
            time: now,
            connections: *connections,
            weight: *weight,
        };
        self.peers.insert(*host, load);
    }

    /// Returns the messages that are due.
    pub fn on_tick(&mut self, now: Time, connections: u32, hosts: &HostTable) -> Vec<Outgoing> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + self.options.interval;
        let peers: Vec<_> = hosts
            .of_service(self.service)
            .filter(|entry| matches!(entry.state, HostState::Ready | HostState::Draining))
            .filter(|entry| entry.host != self.host)
            .collect();
        let start = peers.partition_point(|entry| entry.host < self.host);
        let message = Message::Load {
            host: self.host,
            service: self.service,
            connections,
            weight: self.weight,
        };
        peers
            .iter()
            .cycle()
            .skip(start)
            .take(peers.len().min(self.options.max_peers))
            .map(|entry| Outgoing {
                to: entry.control_address,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns the mean over this host and the peers that take part; `None` without any peer.
    ///
    /// `counts` tells which hosts take part: a host that takes no flows must not lower the mean.
    pub fn mean(
        &mut self,
        now: Time,
        connections: u32,
        counts: impl Fn(HostId) -> bool,
    ) -> Option<MeanLoad> {
        let life = self.options.load_life;
        self.peers.retain(|_, load| now.since(load.time) < life);
        let (mut load, mut weight) = (u64::from(connections), u64::from(self.weight.0));
        let mut has_peer = false;
        for (_, peer) in self.peers.iter().filter(|(host, _)| counts(**host)) {
            load += u64::from(peer.connections);
            weight += u64::from(peer.weight.0);
            has_peer = true;
        }
        if !has_peer || weight == 0 {
            self.last = None;
            return None;
        }
        let level = load * LEVEL_SCALE / weight;
        let mean = MeanLoad {
            time: now,
            level,
            growth: self.growth_to(now, level),
        };
        // The growth is taken over a whole interval; shorter spans would follow single messages.
        if self
            .last
            .is_none_or(|last| now.since(last.time) >= self.options.interval)
        {
            self.last = Some(mean);
        }
        Some(mean)
    }

    fn growth_to(&self, now: Time, level: u64) -> u64 {
        let Some(last) = self.last else { return 0 };
        let elapsed = now.since(last.time).0.max(self.options.interval.0);
        level.saturating_sub(last.level) * Span::from_secs(1).0 / elapsed
    }
}
