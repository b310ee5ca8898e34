//! Directory of the balancers that a process knows, with failure detection by heartbeats.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::BalancerHeartbeat,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
    },
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
    /// Longest interval of the messages with which a process looks for balancers while none is live.
    pub max_discovery_interval: Span,
}

impl Default for PeerDirectoryOptions {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_600),
            max_missed_heartbeats: 3,
            forget_after: Span::from_secs(60),
            max_discovery_interval: Span::from_secs(1),
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
    /// Time of the last question while it was silent.
    last_asked: Option<Time>,
}

/// Share of the time without any live balancer that the interval of discovery messages has, as a
/// divisor.
const DISCOVERY_BACKOFF_DIVISOR: u64 = 16;

/// Known balancers by address, without the process itself.
#[derive(Debug)]
pub struct PeerDirectory {
    options: PeerDirectoryOptions,
    own_address: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Addresses from the settings. They get messages also while no balancer there is known, so that
    /// processes find each other again after a silence of any length.
    seeds: BTreeSet<Ipv4Addr>,
    /// Latest time at which a heartbeat arrived or a new address was added.
    last_sign: Time,
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
            seeds: BTreeSet::new(),
            last_sign: Time::ZERO,
            last_change: Time::ZERO,
        }
    }

    /// Sets the seeds of the settings and adds them as addresses at which balancers may run. Returns
    /// whether any of them is new.
    pub fn set_seeds(&mut self, now: Time, seeds: &[Ipv4Addr]) -> bool {
        let others = seeds.iter().filter(|seed| **seed != self.own_address);
        self.seeds = others.copied().collect();
        self.add_all(now, seeds.iter().copied())
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
                last_asked: None,
            },
        );
        self.last_sign = now;
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
            self.last_sign = now;
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

    /// Returns all known addresses and the seeds, also those from which no heartbeat has been received.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        let seeds = self.seeds.iter();
        let silent_seeds = seeds.filter(|seed| !self.peers.contains_key(seed));
        self.peers.keys().chain(silent_seeds).copied()
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

    /// Chooses balancers to ask besides the live ones, and records the question: some of those that are
    /// not live, because they have sent no heartbeat for a while, the longest unasked first. With a
    /// choice each `interval`, each of them is asked before it would be removed.
    ///
    /// Returns none when the live balancers, one of which is asked each `interval`, are so few that each
    /// answers before it counts as silent. A silent balancer is then not running.
    pub fn choose_silent(&mut self, now: Time, interval: Span) -> Vec<Ipv4Addr> {
        if self.peers.len() as u64 * interval.0 <= self.options.suspect_after.0 {
            return Vec::new();
        }
        let mut silent: Vec<(Option<Time>, Ipv4Addr)> = self
            .peers
            .iter()
            .filter(|(_, peer)| !self.is_live(now, peer))
            .map(|(balancer, peer)| (peer.last_asked, *balancer))
            .collect();
        silent.sort_unstable();
        let turns = self.options.forget_after.0 / 2 / interval.0.max(1);
        let turns = usize::try_from(turns.max(1)).unwrap_or(usize::MAX);
        silent.truncate(silent.len().div_ceil(turns));
        for (_, balancer) in &silent {
            if let Some(peer) = self.peers.get_mut(balancer) {
                peer.last_asked = Some(now);
            }
        }
        silent.into_iter().map(|(_, balancer)| balancer).collect()
    }

    /// Returns the time at which the process sends its next heartbeat: after `interval`, or while no
    /// balancer is live after `discovery_interval`, which grows with the time that this lasts up to
    /// `max_discovery_interval`.
    #[must_use]
    pub fn next_heartbeat_at(&self, now: Time, interval: Span, discovery_interval: Span) -> Time {
        if self.live(now).next().is_some() {
            return now + interval;
        }
        let backoff = Span(now.since(self.last_sign).0 / DISCOVERY_BACKOFF_DIVISOR);
        let max_interval = self.options.max_discovery_interval;
        now + backoff.min(max_interval).max(discovery_interval)
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
