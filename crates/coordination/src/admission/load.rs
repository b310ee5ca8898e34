//! Mean load of a service, computed from the loads that its agents exchange.
//!
//! Each agent sends its number of open connections to the next peers in the order of host ids. The
//! agent counts the connections itself, so a backend server that reports a false load has no
//! influence on the mean.

use {
    crate::membership::OutgoingMessage,
    cardamomloom_core::{HostId, ServiceId, Span, Time, Weight},
    cardamomloom_protocol::control::{HostState, Message},
    cardamomloom_state::hosts::HostTable,
    std::collections::BTreeMap,
};

/// Interval, fan-out and expiry of the load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadExchangeOptions {
    /// Time between two messages to the same peer.
    pub interval: Span,
    /// Largest number of peers that an agent sends its load to. A service has 12 hosts on average
    /// at the design size, so most agents receive the load of their whole service.
    pub max_peers: usize,
    /// Age from which the load of a peer is discarded.
    pub load_max_age: Span,
}

impl Default for LoadExchangeOptions {
    fn default() -> Self {
        Self {
            interval: Span::from_millis(500),
            max_peers: 12,
            load_max_age: Span::from_secs(3),
        }
    }
}

/// Mean load of a service per weight unit, with its growth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeanLoad {
    time: Time,
    /// Connections per 1,000,000 weight units.
    level: u64,
    /// Growth of the level per second; 0 when it falls.
    growth_per_s: u64,
}

/// Excess over the mean, in percent, from which an agent forwards new flows to the next candidate.
/// With the loads of the last half second, this keeps max/mean below the target of 1.10.
const EXCESS_PERCENT: u64 = 4;

/// Connections above the mean that are always allowed, so that a service with few flows does not
/// forward them from host to host.
const SLACK_CONNECTIONS: u64 = 2;

/// Weight units that [`MeanLoad::level`] refers to.
const LEVEL_SCALE: u64 = 1_000_000;

/// Longest time over which growth is extrapolated.
const MAX_EXTRAPOLATION: Span = Span::from_secs(1);

impl MeanLoad {
    /// Age from which a mean is ignored.
    pub const MAX_AGE: Span = Span::from_secs(3);

    /// Returns the connections that a host with this weight has at the mean load, extrapolated to
    /// `now`.
    fn mean_connections(&self, now: Time, weight: Weight) -> u64 {
        let elapsed = now.since(self.time).min(MAX_EXTRAPOLATION);
        let level = self.level + self.growth_per_s.saturating_mul(elapsed.0) / Span::from_secs(1).0;
        level.saturating_mul(u64::from(weight.0)) / LEVEL_SCALE
    }

    /// Returns the number of connections from which a host forwards new flows to the next
    /// candidate.
    #[must_use]
    pub fn redirect_threshold(&self, now: Time, weight: Weight) -> u32 {
        let mean = self.mean_connections(now, weight);
        saturate(mean + mean * EXCESS_PERCENT / 100 + SLACK_CONNECTIONS)
    }

    /// Returns the number of connections to which an overload report of the backend server alone
    /// reduces a host, and no lower: three quarters of the mean.
    #[must_use]
    pub fn report_floor(&self, now: Time, weight: Weight) -> u32 {
        saturate(self.mean_connections(now, weight) * 3 / 4 + 1)
    }
}

fn saturate(connections: u64) -> u32 {
    u32::try_from(connections).unwrap_or(u32::MAX)
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    time: Time,
    connections: u32,
    weight: Weight,
}

/// Load exchange of one agent with its peers.
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
    /// Creates the load exchange of a host.
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

    /// Stores the load that a peer of the same service sent; ignores all other messages.
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

    /// Returns the load messages that are due, each with its recipient.
    pub fn on_tick(
        &mut self,
        now: Time,
        connections: u32,
        hosts: &HostTable,
    ) -> Vec<OutgoingMessage> {
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
            .map(|entry| OutgoingMessage {
                to: entry.control_address,
                message: message.clone(),
            })
            .collect()
    }

    /// Returns the mean over this host and its eligible peers; `None` without any such peer.
    ///
    /// `is_eligible` selects the peers: a host that takes no flows must not lower the mean.
    pub fn mean(
        &mut self,
        now: Time,
        connections: u32,
        is_eligible: impl Fn(HostId) -> bool,
    ) -> Option<MeanLoad> {
        let max_age = self.options.load_max_age;
        self.peers.retain(|_, load| now.since(load.time) < max_age);
        let (mut load, mut weight) = (u64::from(connections), u64::from(self.weight.0));
        let mut has_peer = false;
        for (_, peer) in self.peers.iter().filter(|(host, _)| is_eligible(**host)) {
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
            growth_per_s: self.growth_per_s(now, level),
        };
        // Growth is measured over at least one send interval; over shorter spans it would follow
        // single messages.
        if self
            .last
            .is_none_or(|last| now.since(last.time) >= self.options.interval)
        {
            self.last = Some(mean);
        }
        Some(mean)
    }

    /// Returns the growth since the last mean, per second; 0 when the level fell.
    fn growth_per_s(&self, now: Time, level: u64) -> u64 {
        let Some(last) = self.last else { return 0 };
        let elapsed = now.since(last.time).0.max(self.options.interval.0);
        level.saturating_sub(last.level) * Span::from_secs(1).0 / elapsed
    }
}
