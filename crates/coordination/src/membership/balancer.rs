//! Membership as a balancer sees it.

use {
    super::Outgoing,
    cardamomloom_core::{HostId, NodeId, Span, TableVersion, Time},
    cardamomloom_protocol::control::{HostEntry, HostState, Message},
    cardamomloom_state::hosts::HostTable,
    std::{collections::HashMap, net::SocketAddr},
};

/// Times of a balancer's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerMembershipOptions {
    /// Silence after which a host counts as gone.
    pub silence_span: Span,
    /// Most host entries in one message, so that it fits a datagram.
    pub entries_per_message: usize,
}

impl Default for BalancerMembershipOptions {
    fn default() -> Self {
        Self {
            silence_span: Span::from_millis(1_800),
            entries_per_message: 12,
        }
    }
}

/// Merges announcements and answers them with the hosts of the service.
#[derive(Debug)]
pub struct BalancerMembership {
    node: NodeId,
    hosts: HostTable,
    last_heard: HashMap<HostId, Time>,
    changed: bool,
    options: BalancerMembershipOptions,
}

impl BalancerMembership {
    /// Creates the membership of a balancer.
    #[must_use]
    pub fn new(node: NodeId, options: BalancerMembershipOptions) -> Self {
        Self {
            node,
            hosts: HostTable::default(),
            last_heard: HashMap::new(),
            changed: false,
            options,
        }
    }

    /// Returns the known hosts.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Tells whether the known hosts changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    /// Processes a control message; `table_of` gives the own table of the sender's service.
    pub fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        table_of: impl Fn(&HostEntry) -> Option<TableVersion>,
    ) -> Vec<Outgoing> {
        let Message::Announce { entry, table } = message else {
            return Vec::new();
        };
        let own_table = table_of(&entry);
        let (host, service) = (entry.host, entry.service);
        let is_outdated = self
            .hosts
            .get(host)
            .is_some_and(|known| known.supersedes(&entry));
        self.changed |= self.hosts.merge(entry).unwrap_or(false);
        self.last_heard.insert(host, now);
        // An agent with the same table knows the same hosts and needs no answer.
        if own_table == Some(table) && !is_outdated {
            return Vec::new();
        }
        let entries: Vec<HostEntry> = self
            .hosts
            .iter()
            .filter(|known| known.service == service)
            .cloned()
            .collect();
        entries
            .chunks(self.options.entries_per_message)
            .map(|chunk| Outgoing {
                to: from,
                message: Message::Hosts {
                    from: self.node,
                    entries: chunk.to_vec(),
                },
            })
            .collect()
    }

    /// Marks hosts as gone that were silent for too long.
    pub fn on_tick(&mut self, now: Time) {
        let silent: Vec<HostEntry> = self
            .hosts
            .iter()
            .filter(|entry| entry.state != HostState::Gone)
            .filter(|entry| {
                self.last_heard
                    .get(&entry.host)
                    .is_none_or(|heard| now.since(*heard) > self.options.silence_span)
            })
            .cloned()
            .collect();
        for mut entry in silent {
            entry.state = HostState::Gone;
            self.changed |= self.hosts.merge(entry).unwrap_or(false);
        }
    }
}
