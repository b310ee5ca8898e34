//! Balancers that a process knows.

use {
    cardamomloom_core::{Span, Time},
    cardamomloom_protocol::passthrough::BalancerHeartbeat,
    std::{collections::BTreeMap, net::Ipv4Addr},
};

/// Times after which balancers are left out.
#[derive(Clone, Copy, Debug)]
pub struct PeerDirectoryOptions {
    /// Least silence after which a balancer does not count as reading the store for others.
    pub suspect_after: Span,
    /// Signs of life in a row that may be missing.
    pub missed_views: u64,
    /// Silence after which a balancer is forgotten. Longer than an outage of a machine, because a
    /// balancer that returns at its address is then found at once.
    pub forget_after: Span,
}

impl Default for PeerDirectoryOptions {
    fn default() -> Self {
        Self {
            suspect_after: Span::from_millis(1_600),
            missed_views: 3,
            forget_after: Span::from_secs(60),
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Option<Time>,
    known_since: Time,
    is_reader: bool,
    is_stopping: bool,
    is_informed: bool,
    interval: Span,
}

/// Balancers by address.
#[derive(Debug)]
pub struct PeerDirectory {
    options: PeerDirectoryOptions,
    own: Ipv4Addr,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Time at which a balancer was last heard for the first time or forgotten.
    changed: Time,
}

impl PeerDirectory {
    /// Creates a directory of a process at an address.
    #[must_use]
    pub const fn new(own: Ipv4Addr, options: PeerDirectoryOptions) -> Self {
        Self {
            options,
            own,
            peers: BTreeMap::new(),
            changed: Time::ZERO,
        }
    }

    /// Adds a balancer that may exist; tells whether it is new.
    pub fn add(&mut self, now: Time, balancer: Ipv4Addr) -> bool {
        if balancer == self.own || self.peers.contains_key(&balancer) {
            return false;
        }
        self.peers.insert(
            balancer,
            Peer {
                heard: None,
                known_since: now,
                is_reader: false,
                is_stopping: false,
                is_informed: false,
                interval: Span::ZERO,
            },
        );
        true
    }

    /// Adds balancers that may exist; tells whether any is new.
    pub fn add_all(&mut self, now: Time, balancers: impl IntoIterator<Item = Ipv4Addr>) -> bool {
        let mut is_any_new = false;
        for balancer in balancers {
            is_any_new |= self.add(now, balancer);
        }
        is_any_new
    }

    /// Takes over the sign of life of a balancer; returns the balancers that are new, the sender
    /// included.
    pub fn on_view(&mut self, now: Time, view: &BalancerHeartbeat) -> Vec<Ipv4Addr> {
        let mut added: Vec<Ipv4Addr> = view
            .balancers
            .iter()
            .chain([&view.balancer])
            .copied()
            .filter(|balancer| self.add(now, *balancer))
            .collect();
        added.dedup();
        if let Some(peer) = self.peers.get_mut(&view.balancer) {
            if peer.heard.is_none() {
                self.changed = now;
            }
            peer.heard = Some(now);
            peer.is_reader = view.is_reader;
            peer.is_stopping = view.is_stopping;
            peer.is_informed = view.is_informed;
            peer.interval = Span::from_millis(u64::from(view.interval_ms));
        }
        added
    }

    /// Forgets balancers that have been silent for long.
    pub fn expire(&mut self, now: Time) {
        let forget_after = self.options.forget_after;
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| now.since(peer.heard.unwrap_or(peer.known_since)) <= forget_after);
        if self.peers.len() != before {
            self.changed = now;
        }
    }

    /// Returns the time at which the balancers that were heard last changed.
    #[must_use]
    pub const fn changed(&self) -> Time {
        self.changed
    }

    /// Returns all balancers but the process itself.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Returns the balancers that were heard at all. Only these are named to others, so that one
    /// that is gone is not kept by processes that name it to each other.
    pub fn heard(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.heard.is_some())
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the balancers that read the store and were heard lately.
    pub fn readers(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_reader && self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the balancers that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(move |(_, peer)| self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
    }

    /// Returns the time of the next sign of life to all balancers: after `interval`, or after
    /// `search_interval` while none is heard.
    #[must_use]
    pub fn next_sign(&self, now: Time, interval: Span, search_interval: Span) -> Time {
        let is_alone = self.live(now).next().is_none();
        now + if is_alone { search_interval } else { interval }
    }

    /// Returns a live balancer that can answer a request for a snapshot, a different one for each
    /// `turn`.
    #[must_use]
    pub fn informed(&self, now: Time, turn: usize) -> Option<Ipv4Addr> {
        let informed: Vec<Ipv4Addr> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_informed && self.is_live(now, peer))
            .map(|(balancer, _)| *balancer)
            .collect();
        informed.get(turn % informed.len().max(1)).copied()
    }

    /// Returns the number of live balancers that read the store and come before `own` in the
    /// order of addresses.
    #[must_use]
    pub fn readers_before(&self, now: Time, own: Ipv4Addr) -> usize {
        self.peers
            .range(..own)
            .filter(|(_, peer)| peer.is_reader && !peer.is_stopping && self.is_live(now, peer))
            .count()
    }

    /// Tells whether a balancer was heard within the time for which balancers are kept.
    #[must_use]
    pub fn was_heard(&self, balancer: Ipv4Addr) -> bool {
        self.peers
            .get(&balancer)
            .is_some_and(|peer| peer.heard.is_some())
    }

    /// Returns the number of balancers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    fn is_live(&self, now: Time, peer: &Peer) -> bool {
        let missed = Span(peer.interval.0 * self.options.missed_views);
        let limit = self.options.suspect_after.max(missed);
        peer.heard.is_some_and(|heard| now.since(heard) <= limit)
    }
}
