//! Host entries that this process has learned from announcements and from its peers.

use {
    cardamomloom_core::{
        DomainName, HostId, ServiceId,
        error::{Error, ErrorKind},
    },
    cardamomloom_protocol::control::{HostEntry, HostState},
    std::collections::{BTreeMap, BTreeSet},
};

/// Result of a change to the host table.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of hosts that a process tracks, several times the 4,300 of the design size.
pub const MAX_HOSTS: usize = 20_000;

/// Host entries by id. An entry is replaced only by one that supersedes it.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    entries: BTreeMap<HostId, HostEntry>,
    /// Lost failure domains. The entries of their hosts are retained, so that a domain returns in a
    /// single change.
    lost_domains: BTreeSet<DomainName>,
}

impl HostTable {
    /// Merges an entry and returns whether the table changed.
    ///
    /// # Errors
    ///
    /// Fails with kind `limit_exceeded` when the table is full.
    pub fn merge(&mut self, entry: HostEntry) -> Result<bool> {
        if let Some(known) = self.entries.get_mut(&entry.host) {
            if !entry.supersedes(known) {
                return Ok(false);
            }
            *known = entry;
            return Ok(true);
        }
        if self.entries.len() >= MAX_HOSTS {
            return Err(Error::new(
                ErrorKind::LimitExceeded,
                format!(
                    "hosts: host {} rejected: the table has reached the limit of {MAX_HOSTS} entries",
                    entry.host
                ),
            ));
        }
        self.entries.insert(entry.host, entry);
        Ok(true)
    }

    /// Returns the entry of a host, or `None` if the host is unknown.
    #[must_use]
    pub fn get(&self, host: HostId) -> Option<&HostEntry> {
        self.entries.get(&host)
    }

    /// Removes an entry; for hosts that departed long ago.
    pub fn remove(&mut self, host: HostId) -> Option<HostEntry> {
        self.entries.remove(&host)
    }

    /// Returns all entries in id order.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.entries.values()
    }

    /// Returns the hosts of a service that have not departed and whose failure domain is not lost,
    /// in id order.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = &HostEntry> {
        self.iter()
            .filter(move |entry| entry.service == service && entry.state != HostState::Gone)
            .filter(|entry| !self.lost_domains.contains(&entry.domain))
    }

    /// Sets whether a failure domain is lost, and returns whether the table changed.
    pub fn set_domain_lost(&mut self, domain: &DomainName, is_lost: bool) -> bool {
        if is_lost {
            self.lost_domains.insert(domain.clone())
        } else {
            self.lost_domains.remove(domain)
        }
    }

    /// Returns the lost failure domains in name order.
    pub fn lost_domains(&self) -> impl Iterator<Item = &DomainName> {
        self.lost_domains.iter()
    }

    /// Sets the state of an entry without a new incarnation; only for tables that are not sent to
    /// other processes.
    pub fn override_state(&mut self, host: HostId, state: HostState) {
        if let Some(entry) = self.entries.get_mut(&host) {
            entry.state = state;
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
