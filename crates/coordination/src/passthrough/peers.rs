//! Directory of the balancers that a process knows, with failure detection by heartbeats.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::BalancerHeartbeat,
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Timeouts of the failure detection of balancers.
#[derive(Clone, Copy, Debug)]
pub struct PeerDirectoryOptions {
    /// Least time without a heartbeat after which a balancer is no longer live, so that it is not
    /// counted as a store reader.
    pub suspect_after: Span,
    /// Consecutive heartbeats that may be missing from a live balancer.
    pub max_missed_heartbeats: u64,
    /// Time without a heartbeat after which a balancer is removed. It is longer than an outage of
    /// a machine, so that a balancer that returns at its address is found at once.
    pub forget_after: Span,
}

impl Default for PeerDirectoryOptions {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_600),
            max_missed_heartbeats: 3,
            forget_after: Span::from_secs(60),
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    /// Time of the last heartbeat, or `None` when the peer has only been named by others.
    last_heartbeat: Option<Time>,
    known_since: Time,
    is_reader: bool,
    is_stopping: bool,
    is_initialized: bool,
    heartbeat_interval: Span,
}

/// Known balancers by address, without the process itself.
#[derive(Debug)]
pub struct PeerDirectory {
    options: PeerDirectoryOptions,
    own_address: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Time at which a balancer last sent its first heartbeat or was removed.
    last_change: Time,
}

impl PeerDirectory {
    /// Creates the empty directory of the process at `own_address`.
    #[must_use]
    pub const fn new(own_address: Ipv4Addr, options: PeerDirectoryOptions) -> Self {
        Self {
            options,
            own_address,
            peers: BTreeMap::new(),
            last_change: Time::ZERO,
        }
    }

    /// Adds an address at which a balancer may run. Returns whether it is new.
    pub fn add(&mut self, now: Time, balancer: Ipv4Addr) -> bool {
        if balancer == self.own_address || self.peers.contains_key(&balancer) {
            return false;
        }
        self.peers.insert(
            balancer,
            Peer {
                last_heartbeat: None,
                known_since: now,
                is_reader: false,
                is_stopping: false,
                is_initialized: false,
                heartbeat_interval: Span::ZERO,
            },
        );
        true
    }

    /// Adds addresses at which balancers may run. Returns whether any of them is new.
    pub fn add_all(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) -> bool {
        let mut is_any_new = false;
        for balancer in balancers {
            is_any_new |= self.add(now, balancer);
        }
        is_any_new
    }

    /// Records the heartbeat of a balancer. Returns the balancers that are new: the sender and
    /// those that the heartbeat lists.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &BalancerHeartbeat) -> Vec<Ipv4Addr> {
        let mut added: Vec<Ipv4Addr> = heartbeat
            .balancers
            .iter()
            .chain([&heartbeat.balancer])
            .copied()
            .filter(|balancer| self.add(now, *balancer))
            .collect();
        added.dedup();
        if let Some(peer) = self.peers.get_mut(&heartbeat.balancer) {
            if peer.last_heartbeat.is_none() {
                self.last_change = now;
            }
            peer.last_heartbeat = Some(now);
            peer.is_reader = heartbeat.is_reader;
            peer.is_stopping = heartbeat.is_stopping;
            peer.is_initialized = heartbeat.is_informed;
            peer.heartbeat_interval = Span::from_millis(u64::from(heartbeat.interval_ms));
        }
        added
    }

    /// Removes balancers without a heartbeat for `forget_after`.
    pub fn expire(&mut self, now: Time) {
        let forget_after = self.options.forget_after;
        let previous_len = self.peers.len();
        self.peers.retain(|_, peer| {
            now.since(peer.last_heartbeat.unwrap_or(peer.known_since)) <= forget_after
        });
        if self.peers.len() != previous_len {
            self.last_change = now;
        }
    }

    /// Returns the time at which a balancer last sent its first heartbeat or was removed.
    #[must_use]
    pub const fn last_change(&self) -> Time {
        self.last_change
    }

    /// Returns all known addresses, also those from which no heartbeat has been received.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Returns the balancers that have sent a heartbeat. Only these are listed in heartbeats and
    /// snapshots; otherwise two processes could keep a departed balancer in their directories by
    /// naming it to each other.
    pub fn contacted(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.last_heartbeat.is_some())
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the live balancers that read the store.
    pub fn live_readers(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_reader && self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the live balancers.
    pub fn live(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(move |(_, peer)| self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the time at which the process sends its next heartbeat: after `interval`, or after
    /// `discovery_interval` while no balancer is live.
    #[must_use]
    pub fn next_heartbeat_at(&self, now: Time, interval: Span, discovery_interval: Span) -> Time {
        let has_no_peers = self.live(now).next().is_none();
        now + if has_no_peers {
            discovery_interval
        } else {
            interval
        }
    }

    /// Returns a live balancer that can answer a request for a snapshot. Consecutive values of
    /// `turn` select different balancers.
    #[must_use]
    pub fn snapshot_source(&self, now: Time, turn: usize) -> Option<Ipv4Addr> {
        let sources: Vec<Ipv4Addr> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_initialized && self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
            .collect();
        sources.get(turn % sources.len().max(1)).copied()
    }

    /// Returns the number of live store readers that are not stopping and have a lower address
    /// than `own_address`.
    #[must_use]
    pub fn preceding_readers(&self, now: Time, own_address: Ipv4Addr) -> usize {
        self.peers
            .range(..own_address)
            .filter(|(_, peer)| peer.is_reader && !peer.is_stopping && self.is_live(now, peer))
            .count()
    }

    /// Returns the number of known balancers with a lower address than `own_address`, live or not.
    #[must_use]
    pub fn preceding(&self, own_address: Ipv4Addr) -> usize {
        self.peers.range(..own_address).count()
    }

    /// Returns whether a balancer has sent a heartbeat since it was added to the directory.
    #[must_use]
    pub fn has_contacted(&self, balancer: Ipv4Addr) -> bool {
        self.peers
            .get(&balancer)
            .is_some_and(|peer| peer.last_heartbeat.is_some())
    }

    /// Returns the number of known addresses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no address is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether the last heartbeat is not older than `suspect_after`, or than the missed
    /// heartbeats that are allowed, if that is longer.
    fn is_live(&self, now: Time, peer: &Peer) -> bool {
        let allowed_gap = Span(peer.heartbeat_interval.0 * self.options.max_missed_heartbeats);
        let timeout = self.options.suspect_after.max(allowed_gap);
        peer.last_heartbeat
            .is_some_and(|last_heartbeat| now.since(last_heartbeat) <= timeout)
    }
}
