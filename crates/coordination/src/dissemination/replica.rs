//! The local replica of the state that gossip and anti-entropy disseminate.

use {
    super::{
        index::{VersionIndex, item_digest},
        objects::{ObjectSet, object_id},
    },
    cardamomloom_core::{DomainName, HostId, ServiceId, Span, Time},
    cardamomloom_protocol::{
        control::{Gossip, HostEntry, HostState, ItemKind, LivenessRecord, Subject, encoded_bytes},
        object::{DOMAINS_PREFIX, NODES_PREFIX},
        store_api::{Object, ObjectList},
    },
    cardamomloom_state::hosts::{HostTable, MAX_HOSTS},
    siphasher::sip::SipHasher13,
    std::{
        collections::{BTreeMap, HashMap},
        hash::{Hash, Hasher},
    },
};

/// Time after which a host that has left is removed from the host table.
pub const GONE_HOST_TTL: Span = Span::from_secs(60);

/// Time to live of the tombstone of a host that has left, so that a process that was partitioned
/// cannot bring its entry back. Partitions between regions last minutes, far less than this day.
pub const TOMBSTONE_TTL: Span = Span::from_secs(86_400);

/// Maximum number of liveness records: ten times the 574 subjects of an installation of the design
/// size.
const MAX_LIVENESS_RECORDS: usize = 6_000;

/// Maximum size of the items in one datagram. The rest of the 1,400 bytes is for origin, digests
/// and tag.
pub(super) const MAX_CONTENT_BYTES: usize = 1_200;

/// Replica of all host entries, liveness records and store objects, with the changes that are still
/// to be sent to peers.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    pub(super) hosts: HostTable,
    host_index: VersionIndex,
    service_digests: HashMap<ServiceId, u32>,
    tombstones: BTreeMap<HostId, (HostEntry, Time)>,
    pub(super) objects: ObjectSet,
    liveness_records: BTreeMap<Subject, LivenessRecord>,
    subjects_by_id: HashMap<u64, Subject>,
    liveness_index: VersionIndex,
    /// Recent changes by kind and id, with the number of gossip rounds that are still to carry
    /// each.
    rumors: BTreeMap<(ItemKind, u64), u8>,
    gossip_rounds: u8,
    hosts_changed: bool,
    changed_objects: Vec<Object>,
    changed_hosts: Vec<HostId>,
}

/// Returns the rank of a host entry, which orders entries by incarnation and then by state.
#[must_use]
pub const fn host_rank(entry: &HostEntry) -> u64 {
    entry.incarnation.0 << 2 | entry.state as u64
}

fn subject_id(subject: &Subject) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

const fn liveness_rank(record: &LivenessRecord) -> u64 {
    (record.counter as u64) << 1 | record.is_down as u64
}

impl Replica {
    /// Sets how many gossip rounds carry each change that is merged from now on; 0 disables gossip
    /// of these changes.
    pub const fn set_gossip_rounds(&mut self, gossip_rounds: u8) {
        self.gossip_rounds = gossip_rounds;
    }

    /// Returns the known hosts.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Returns the known store objects.
    #[must_use]
    pub const fn objects(&self) -> &ObjectSet {
        &self.objects
    }

    /// Returns whether the host table changed since the last call, and resets this flag.
    pub const fn take_hosts_changed(&mut self) -> bool {
        std::mem::replace(&mut self.hosts_changed, false)
    }

    /// Returns the objects that changed since the last call.
    pub fn take_changed_objects(&mut self) -> Vec<Object> {
        std::mem::take(&mut self.changed_objects)
    }

    /// Returns the hosts that changed since the last call.
    pub fn take_changed_hosts(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.changed_hosts)
    }

    /// Merges a host entry and returns whether the replica changed.
    ///
    /// A live entry that the tombstone of the host supersedes is rejected. The tombstone is then
    /// gossiped again, because some process still has the outdated entry.
    pub fn merge_host(&mut self, now: Time, entry: HostEntry) -> bool {
        let (host, rank) = (entry.host, host_rank(&entry));
        if let Some((tombstone, _)) = self.tombstones.get(&host)
            && host_rank(tombstone) >= rank
        {
            if entry.state != HostState::Gone {
                self.queue_rumor(ItemKind::Host, u64::from(host.0));
            }
            return false;
        }
        if self
            .hosts
            .get(host)
            .is_some_and(|known| host_rank(known) >= rank)
        {
            return false;
        }
        let previous = self.hosts.get(host).cloned();
        match self.hosts.merge(entry.clone()) {
            Ok(true) => {}
            Ok(false) | Err(_) => return false,
        }
        if let Some(previous) = previous {
            self.toggle_service_digest(&previous);
        }
        self.toggle_service_digest(&entry);
        if entry.state == HostState::Gone {
            self.host_index.remove(u64::from(host.0));
            self.add_tombstone(now, entry);
        } else {
            self.tombstones.remove(&host);
            self.host_index.set(u64::from(host.0), rank);
        }
        self.hosts_changed = true;
        self.queue_rumor(ItemKind::Host, u64::from(host.0));
        if self.changed_hosts.len() < MAX_HOSTS {
            self.changed_hosts.push(host);
        }
        true
    }

    /// Adds a live entry to the digest of its service, or removes it when the digest contains it.
    fn toggle_service_digest(&mut self, entry: &HostEntry) {
        if entry.state != HostState::Gone {
            *self.service_digests.entry(entry.service).or_default() ^=
                item_digest(u64::from(entry.host.0), host_rank(entry));
        }
    }

    fn add_tombstone(&mut self, now: Time, entry: HostEntry) {
        if self.tombstones.len() >= MAX_HOSTS
            && let Some(oldest) = self
                .tombstones
                .iter()
                .min_by_key(|(_, (_, left_at))| *left_at)
                .map(|(host, _)| *host)
        {
            self.tombstones.remove(&oldest);
        }
        self.tombstones.insert(entry.host, (entry, now));
    }

    /// Removes hosts from the host table [`GONE_HOST_TTL`] after they have left, and their
    /// tombstones after [`TOMBSTONE_TTL`].
    pub fn remove_expired(&mut self, now: Time) {
        let expired: Vec<HostId> = self
            .tombstones
            .iter()
            .filter(|(_, (_, left_at))| now.since(*left_at) >= GONE_HOST_TTL)
            .map(|(host, _)| *host)
            .collect();
        for host in expired {
            if self
                .hosts
                .get(host)
                .is_some_and(|entry| entry.state == HostState::Gone)
            {
                self.hosts.remove(host);
            }
        }
        self.tombstones
            .retain(|_, (_, left_at)| now.since(*left_at) < TOMBSTONE_TTL);
    }

    /// Merges a liveness record and returns whether the replica changed.
    ///
    /// Records of hosts are rejected, because the liveness of a host is the state of its entry.
    pub fn merge_liveness_record(&mut self, record: &LivenessRecord) -> bool {
        let (id, rank) = (subject_id(&record.subject), liveness_rank(record));
        let is_outdated = self
            .liveness_index
            .rank(id)
            .is_some_and(|known| known >= rank);
        let is_full = self.liveness_records.len() >= MAX_LIVENESS_RECORDS
            && !self.liveness_records.contains_key(&record.subject);
        if is_outdated || is_full || matches!(record.subject, Subject::Host(_)) {
            return false;
        }
        self.liveness_index.set(id, rank);
        self.subjects_by_id.insert(id, record.subject.clone());
        self.liveness_records
            .insert(record.subject.clone(), record.clone());
        if let Subject::Domain(domain) = &record.subject {
            self.hosts_changed |= self.hosts.set_domain_lost(domain, record.is_down);
        }
        self.queue_rumor(ItemKind::LivenessRecord, id);
        true
    }

    /// Returns the liveness record of a balancer or failure domain.
    #[must_use]
    pub fn liveness_record(&self, subject: &Subject) -> Option<&LivenessRecord> {
        self.liveness_records.get(subject)
    }

    /// Returns whether the liveness record of a subject declares it lost.
    #[must_use]
    pub fn is_down(&self, subject: &Subject) -> bool {
        self.liveness_records
            .get(subject)
            .is_some_and(|record| record.is_down)
    }

    /// Returns the liveness records of all failure domains.
    pub fn domain_liveness_records(&self) -> impl Iterator<Item = &LivenessRecord> {
        self.liveness_records
            .values()
            .filter(|record| matches!(record.subject, Subject::Domain(_)))
    }

    /// Merges an object from the store or from a peer, and returns whether the replica changed.
    pub fn merge_object(&mut self, object: &Object) -> bool {
        if !self.objects.insert_newer(object) {
            return false;
        }
        self.changed_objects.push(object.clone());
        self.queue_rumor(ItemKind::Object, object_id(&object.key));
        true
    }

    /// Merges a list from the store. A list of all objects under `prefix` is complete and also
    /// implies deletions.
    ///
    /// Returns the number of objects that changed the replica.
    pub fn merge_store_list(
        &mut self,
        prefix: &str,
        list: &ObjectList,
        is_complete: bool,
    ) -> usize {
        let deletions = if is_complete {
            self.objects.implied_deletions(prefix, list)
        } else {
            Vec::new()
        };
        list.objects
            .iter()
            .chain(&deletions)
            .filter(|object| self.merge_object(object))
            .count()
    }

    /// Returns the registration objects of all balancers, without deleted ones.
    pub fn balancer_registrations(&self) -> impl Iterator<Item = &Object> {
        self.objects
            .with_prefix(NODES_PREFIX)
            .filter(|object| object.value.is_some())
    }

    /// Returns the digest of the entries of a service's live hosts.
    #[must_use]
    pub fn service_digest(&self, service: ServiceId) -> u32 {
        self.service_digests
            .get(&service)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the digest of the configuration of an agent: the object of its service, and the
    /// objects and liveness records of all failure domains.
    #[must_use]
    pub fn config_digest(&self, service: Option<&Object>) -> u32 {
        let objects = self
            .agent_objects(service)
            .map(|object| item_digest(object_id(&object.key), object.version.0));
        let liveness_records = self
            .domain_liveness_records()
            .map(|record| item_digest(subject_id(&record.subject), liveness_rank(record)));
        objects
            .chain(liveness_records)
            .fold(0, |combined, digest| combined ^ digest)
    }

    /// Returns the objects that an agent needs: all failure domains and the agent's service.
    pub fn agent_objects<'a>(
        &'a self,
        service: Option<&'a Object>,
    ) -> impl Iterator<Item = &'a Object> {
        self.objects.with_prefix(DOMAINS_PREFIX).chain(service)
    }

    /// Returns the entry of a host, or the tombstone of a host that was removed from the host
    /// table.
    #[must_use]
    pub fn host(&self, host: HostId) -> Option<&HostEntry> {
        self.hosts
            .get(host)
            .or_else(|| self.tombstones.get(&host).map(|(entry, _)| entry))
    }

    /// Returns the index of a kind of items. The index of hosts lacks those that have left.
    #[must_use]
    pub const fn index(&self, kind: ItemKind) -> &VersionIndex {
        match kind {
            ItemKind::LivenessRecord => &self.liveness_index,
            ItemKind::Object => self.objects.index(),
            ItemKind::Host => &self.host_index,
        }
    }

    /// Returns the rank of an item, including hosts that have left.
    #[must_use]
    pub fn rank(&self, kind: ItemKind, id: u64) -> Option<u64> {
        match kind {
            ItemKind::Host => self.host(host_with_id(id)?).map(host_rank),
            ItemKind::LivenessRecord | ItemKind::Object => self.index(kind).rank(id),
        }
    }

    /// Returns the liveness record with an item id.
    #[must_use]
    pub fn liveness_record_by_id(&self, id: u64) -> Option<&LivenessRecord> {
        self.liveness_records.get(self.subjects_by_id.get(&id)?)
    }

    /// Returns the digest of all items of each kind, in the order of [`ItemKind::ALL`].
    #[must_use]
    pub fn digests(&self) -> [u32; 3] {
        ItemKind::ALL.map(|kind| self.index(kind).digest())
    }

    fn queue_rumor(&mut self, kind: ItemKind, id: u64) {
        if self.gossip_rounds > 0 {
            self.rumors.insert((kind, id), self.gossip_rounds);
        }
    }

    /// Returns whether there are changes that gossip rounds still have to carry.
    #[must_use]
    pub fn has_rumors(&self) -> bool {
        !self.rumors.is_empty()
    }

    /// Returns a gossip message with as many recent changes as fit in a datagram, most urgent kind
    /// first, and counts it as one gossip round of each.
    pub fn next_gossip(&mut self, wants_answer: bool) -> Gossip {
        let mut gossip = Gossip {
            wants_answer,
            digests: self.digests(),
            ..Gossip::default()
        };
        let mut free_bytes = MAX_CONTENT_BYTES;
        let mut included = Vec::new();
        for (kind, id) in self.rumors.keys().copied() {
            let Some(bytes) = self.append_rumor(&mut gossip, kind, id, free_bytes) else {
                break;
            };
            free_bytes -= bytes;
            included.push((kind, id));
        }
        for key in included {
            if let Some(remaining) = self.rumors.get_mut(&key) {
                *remaining -= 1;
                if *remaining == 0 {
                    self.rumors.remove(&key);
                }
            }
        }
        gossip
    }

    /// Adds a change to a gossip message and returns its encoded size, or `None` when it exceeds
    /// `free_bytes`. A change whose item no longer exists has size 0.
    fn append_rumor(
        &self,
        gossip: &mut Gossip,
        kind: ItemKind,
        id: u64,
        free_bytes: usize,
    ) -> Option<usize> {
        match kind {
            ItemKind::LivenessRecord => {
                let Some(record) = self.liveness_record_by_id(id) else {
                    return Some(0);
                };
                let bytes = encoded_bytes(record);
                (bytes <= free_bytes).then(|| gossip.liveness_records.push(record.clone()))?;
                Some(bytes)
            }
            ItemKind::Object => {
                let item = (id, self.rank(kind, id).unwrap_or_default());
                let bytes = encoded_bytes(&item);
                (bytes <= free_bytes).then(|| gossip.objects.push(item))?;
                Some(bytes)
            }
            ItemKind::Host => {
                let Some(entry) = host_with_id(id).and_then(|host| self.host(host)) else {
                    return Some(0);
                };
                let bytes = encoded_bytes(entry);
                (bytes <= free_bytes).then(|| gossip.hosts.push(entry.clone()))?;
                Some(bytes)
            }
        }
    }

    /// Returns the failure domains that are declared lost.
    pub fn lost_domains(&self) -> impl Iterator<Item = &DomainName> {
        self.hosts.lost_domains()
    }
}

/// Returns the host with an item id, or `None` when the id exceeds 32 bits and cannot be a host id.
pub(super) fn host_with_id(id: u64) -> Option<HostId> {
    u32::try_from(id).ok().map(HostId)
}
