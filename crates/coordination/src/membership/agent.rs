//! Membership as an agent sees it.

use {
    super::Outgoing,
    cardamomloom_core::{Incarnation, Span, TableVersion, Time},
    cardamomloom_protocol::control::{HostEntry, HostState, Message},
    cardamomloom_state::hosts::HostTable,
    std::net::SocketAddr,
};

/// Times of an agent's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentMembershipOptions {
    /// Time between two announcements to the same balancer.
    pub announce_interval: Span,
}

impl Default for AgentMembershipOptions {
    fn default() -> Self {
        Self {
            announce_interval: Span::from_millis(500),
        }
    }
}

/// Announces the own host and learns about the other hosts of the service.
#[derive(Debug)]
pub struct AgentMembership {
    entry: HostEntry,
    hosts: HostTable,
    balancers: Vec<SocketAddr>,
    table: TableVersion,
    next_announce: Time,
    changed: bool,
    options: AgentMembershipOptions,
}

impl AgentMembership {
    /// Creates the membership of a host.
    #[must_use]
    pub fn new(entry: HostEntry, options: AgentMembershipOptions) -> Self {
        let mut hosts = HostTable::default();
        // An empty table has room for the own entry.
        let _ = hosts.merge(entry.clone());
        Self {
            entry,
            hosts,
            balancers: Vec::new(),
            table: TableVersion::default(),
            next_announce: Time::ZERO,
            changed: true,
            options,
        }
    }

    /// Returns the own entry.
    #[must_use]
    pub const fn entry(&self) -> &HostEntry {
        &self.entry
    }

    /// Returns the known hosts of the service.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Sets the control sockets of the balancers.
    pub fn set_balancers(&mut self, balancers: Vec<SocketAddr>) {
        self.balancers = balancers;
    }

    /// Sets the version of the own candidate table, which balancers compare with theirs.
    pub const fn set_table(&mut self, table: TableVersion) {
        self.table = table;
    }

    /// Tells whether the known hosts changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    /// Moves the own host to another state and announces it at once.
    pub fn set_state(&mut self, now: Time, state: HostState) {
        if self.entry.state == state {
            return;
        }
        // Within one incarnation states only advance; a step back needs a new one.
        if state < self.entry.state {
            self.entry.incarnation = Incarnation(self.entry.incarnation.0 + 1);
        }
        self.entry.state = state;
        self.publish(now);
    }

    /// Processes a control message.
    pub fn on_message(&mut self, now: Time, message: &Message) {
        let Message::Hosts { entries, .. } = message else {
            return;
        };
        for entry in entries {
            if entry.host == self.entry.host {
                self.refute(now, entry);
            } else if entry.service == self.entry.service {
                self.changed |= self.hosts.merge(entry.clone()).unwrap_or(false);
            }
        }
    }

    /// Takes a higher incarnation when others believe that this host is in a later state.
    fn refute(&mut self, now: Time, claimed: &HostEntry) {
        if claimed.supersedes(&self.entry) {
            self.entry.incarnation = Incarnation(claimed.incarnation.0 + 1);
            self.publish(now);
        }
    }

    fn publish(&mut self, now: Time) {
        self.next_announce = now;
        self.changed |= self.hosts.merge(self.entry.clone()).unwrap_or(false);
    }

    /// Returns the announcements that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Outgoing> {
        if now < self.next_announce {
            return Vec::new();
        }
        self.next_announce = now + self.options.announce_interval;
        let announce = |to: &SocketAddr| Outgoing {
            to: *to,
            message: Message::Announce {
                entry: self.entry.clone(),
                table: self.table,
            },
        };
        self.balancers.iter().map(announce).collect()
    }
}
