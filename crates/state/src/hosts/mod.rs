//! What this process knows of hosts, merged from announcements and peers.

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

/// Most hosts that a process keeps, several times the 4,300 of the design size.
pub const MAX_HOSTS: usize = 20_000;

/// Host entries by id; an entry is replaced only by one that supersedes it.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    entries: BTreeMap<HostId, HostEntry>,
    /// Failure domains that are lost; their entries stay, so that their return is one change.
    lost_domains: BTreeSet<DomainName>,
}

impl HostTable {
    /// Merges an entry and tells whether the table changed.
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
                format!("hosts: table holds the limit of {MAX_HOSTS} entries"),
            ));
        }
        self.entries.insert(entry.host, entry);
        Ok(true)
    }

    /// Returns the entry of a host.
    #[must_use]
    pub fn get(&self, host: HostId) -> Option<&HostEntry> {
        self.entries.get(&host)
    }

    /// Removes an entry, used when a gone host was forgotten long after its end.
    pub fn remove(&mut self, host: HostId) -> Option<HostEntry> {
        self.entries.remove(&host)
    }

    /// Returns all entries in id order.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.entries.values()
    }

    /// Returns the entries of a service that are not gone and whose failure domain is not lost, in
    /// id order.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = &HostEntry> {
        self.iter()
            .filter(move |entry| entry.service == service && entry.state != HostState::Gone)
            .filter(|entry| !self.lost_domains.contains(&entry.domain))
    }

    /// Sets whether a failure domain is lost, and tells whether that is a change.
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

    /// Changes the state of an entry without a new incarnation, for a local view only.
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

    /// Tells whether the table has no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
