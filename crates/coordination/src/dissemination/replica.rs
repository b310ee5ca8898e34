//! What a process knows of hosts, objects, balancers and failure domains.

use {
    super::{
        index::{VersionIndex, item_digest},
        objects::{ObjectSet, object_id},
    },
    cardamomloom_core::{DomainName, HostId, ServiceId, Span, Time},
    cardamomloom_protocol::{
        control::{Gossip, HostEntry, HostState, Kind, Mark, Subject, encoded_bytes},
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

/// Time after which a gone host leaves the host table.
pub const FORGET_AFTER: Span = Span::from_secs(60);

/// Time for which the end of a host is remembered, so that a process that was cut off cannot
/// bring its entry back. Regions lose contact for minutes; a day leaves ample room.
pub const REMEMBER_GONE: Span = Span::from_secs(86_400);

/// Most marks that a process keeps, ten times the 574 subjects of the design size.
const MAX_MARKS: usize = 6_000;

/// Bytes of changes in one datagram; the rest of the 1,400 is for origin, digests and tag.
pub(super) const CONTENT_BYTES: usize = 1_200;

/// Everything that processes tell each other, with the changes still to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    pub(super) hosts: HostTable,
    host_index: VersionIndex,
    service_digests: HashMap<ServiceId, u32>,
    gone: BTreeMap<HostId, (HostEntry, Time)>,
    pub(super) objects: ObjectSet,
    marks: BTreeMap<Subject, Mark>,
    mark_ids: HashMap<u64, Subject>,
    mark_index: VersionIndex,
    /// Transmissions left for each change.
    rumors: BTreeMap<(Kind, u64), u8>,
    transmissions: u8,
    hosts_changed: bool,
    changed_objects: Vec<Object>,
    changed_hosts: Vec<HostId>,
}

/// Returns the rank of a host entry, ordered by incarnation and state.
#[must_use]
pub const fn host_rank(entry: &HostEntry) -> u64 {
    entry.incarnation.0 << 2 | entry.state as u64
}

fn subject_id(subject: &Subject) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

const fn mark_rank(mark: &Mark) -> u64 {
    (mark.counter as u64) << 1 | mark.is_down as u64
}

impl Replica {
    /// Sets how often a change is passed on; 0 passes nothing on.
    pub const fn set_transmissions(&mut self, transmissions: u8) {
        self.transmissions = transmissions;
    }

    /// Returns the known hosts.
    #[must_use]
    pub const fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Returns the known objects.
    #[must_use]
    pub const fn objects(&self) -> &ObjectSet {
        &self.objects
    }

    /// Tells whether the host table changed since the last call.
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

    /// Merges a host entry and tells whether it was news.
    ///
    /// A live entry that the remembered end of the host supersedes is refused, and the end is
    /// passed on again for whoever still believes in the entry.
    pub fn merge_host(&mut self, now: Time, entry: HostEntry) -> bool {
        let (host, rank) = (entry.host, host_rank(&entry));
        if let Some((gone, _)) = self.gone.get(&host)
            && host_rank(gone) >= rank
        {
            if entry.state != HostState::Gone {
                self.spread(Kind::Host, u64::from(host.0));
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
        let old = self.hosts.get(host).cloned();
        match self.hosts.merge(entry.clone()) {
            Ok(true) => {}
            Ok(false) | Err(_) => return false,
        }
        if let Some(old) = old {
            self.toggle_service(&old);
        }
        self.toggle_service(&entry);
        if entry.state == HostState::Gone {
            self.host_index.remove(u64::from(host.0));
            self.remember_gone(now, entry);
        } else {
            self.gone.remove(&host);
            self.host_index.set(u64::from(host.0), rank);
        }
        self.hosts_changed = true;
        self.spread(Kind::Host, u64::from(host.0));
        if self.changed_hosts.len() < MAX_HOSTS {
            self.changed_hosts.push(host);
        }
        true
    }

    /// Adds a live entry to the digest of its service, or removes it.
    fn toggle_service(&mut self, entry: &HostEntry) {
        if entry.state != HostState::Gone {
            *self.service_digests.entry(entry.service).or_default() ^=
                item_digest(u64::from(entry.host.0), host_rank(entry));
        }
    }

    fn remember_gone(&mut self, now: Time, entry: HostEntry) {
        if self.gone.len() >= MAX_HOSTS
            && let Some(oldest) = self
                .gone
                .iter()
                .min_by_key(|(_, (_, since))| *since)
                .map(|(host, _)| *host)
        {
            self.gone.remove(&oldest);
        }
        self.gone.insert(entry.host, (entry, now));
    }

    /// Removes gone hosts from the host table, and later from the memory of gone hosts.
    pub fn forget(&mut self, now: Time) {
        let due: Vec<HostId> = self
            .gone
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= FORGET_AFTER)
            .map(|(host, _)| *host)
            .collect();
        for host in due {
            if self
                .hosts
                .get(host)
                .is_some_and(|entry| entry.state == HostState::Gone)
            {
                self.hosts.remove(host);
            }
        }
        self.gone
            .retain(|_, (_, since)| now.since(*since) < REMEMBER_GONE);
    }

    /// Merges a mark and tells whether it was news.
    pub fn merge_mark(&mut self, mark: &Mark) -> bool {
        let (id, rank) = (subject_id(&mark.subject), mark_rank(mark));
        let is_known = self.mark_index.rank(id).is_some_and(|known| known >= rank);
        let is_full = self.marks.len() >= MAX_MARKS && !self.marks.contains_key(&mark.subject);
        if is_known || is_full || matches!(mark.subject, Subject::Host(_)) {
            return false;
        }
        self.mark_index.set(id, rank);
        self.mark_ids.insert(id, mark.subject.clone());
        self.marks.insert(mark.subject.clone(), mark.clone());
        if let Subject::Domain(domain) = &mark.subject {
            self.hosts_changed |= self.hosts.set_lost(domain, mark.is_down);
        }
        self.spread(Kind::Mark, id);
        true
    }

    /// Returns the mark of a subject.
    #[must_use]
    pub fn mark(&self, subject: &Subject) -> Option<&Mark> {
        self.marks.get(subject)
    }

    /// Tells whether a subject is marked as lost.
    #[must_use]
    pub fn is_down(&self, subject: &Subject) -> bool {
        self.marks.get(subject).is_some_and(|mark| mark.is_down)
    }

    /// Returns the marks of failure domains.
    pub fn domain_marks(&self) -> impl Iterator<Item = &Mark> {
        self.marks
            .values()
            .filter(|mark| matches!(mark.subject, Subject::Domain(_)))
    }

    /// Takes up an object of the store or of a peer, and tells whether it was news.
    pub fn merge_object(&mut self, object: &Object) -> bool {
        if !self.objects.insert_newer(object) {
            return false;
        }
        self.changed_objects.push(object.clone());
        self.spread(Kind::Object, object_id(&object.key));
        true
    }

    /// Takes up an answer of the store; `is_complete` for a list of all objects under a prefix.
    ///
    /// Returns the number of objects that were news.
    pub fn merge_list(&mut self, prefix: &str, list: &ObjectList, is_complete: bool) -> usize {
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

    /// Returns the registrations of balancers.
    pub fn registrations(&self) -> impl Iterator<Item = &Object> {
        self.objects
            .with_prefix(NODES_PREFIX)
            .filter(|object| object.value.is_some())
    }

    /// Returns the digest of a service's live hosts.
    #[must_use]
    pub fn service_digest(&self, service: ServiceId) -> u32 {
        self.service_digests
            .get(&service)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the digest of what an agent of a service needs: the service's object, all failure
    /// domains and their marks.
    #[must_use]
    pub fn config_digest(&self, service: Option<&Object>) -> u32 {
        let objects = self
            .agent_objects(service)
            .map(|object| item_digest(object_id(&object.key), object.version.0));
        let marks = self
            .domain_marks()
            .map(|mark| item_digest(subject_id(&mark.subject), mark_rank(mark)));
        objects.chain(marks).fold(0, |all, digest| all ^ digest)
    }

    /// Returns the objects that an agent of a service needs.
    pub fn agent_objects<'a>(
        &'a self,
        service: Option<&'a Object>,
    ) -> impl Iterator<Item = &'a Object> {
        self.objects.with_prefix(DOMAINS_PREFIX).chain(service)
    }

    /// Returns the entry of a host, also when it is gone and forgotten by the host table.
    #[must_use]
    pub fn host(&self, host: HostId) -> Option<&HostEntry> {
        self.hosts
            .get(host)
            .or_else(|| self.gone.get(&host).map(|(entry, _)| entry))
    }

    /// Returns the index of a kind. That of hosts holds live ones only.
    #[must_use]
    pub const fn index(&self, kind: Kind) -> &VersionIndex {
        match kind {
            Kind::Mark => &self.mark_index,
            Kind::Object => self.objects.index(),
            Kind::Host => &self.host_index,
        }
    }

    /// Returns the rank of an item, of gone hosts too.
    #[must_use]
    pub fn rank(&self, kind: Kind, id: u64) -> Option<u64> {
        match kind {
            Kind::Host => self.host(host_of(id)?).map(host_rank),
            Kind::Mark | Kind::Object => self.index(kind).rank(id),
        }
    }

    /// Returns the mark with an identity.
    #[must_use]
    pub fn mark_by_id(&self, id: u64) -> Option<&Mark> {
        self.marks.get(self.mark_ids.get(&id)?)
    }

    /// Returns the digest of each kind.
    #[must_use]
    pub fn digests(&self) -> [u32; 3] {
        Kind::ALL.map(|kind| self.index(kind).digest())
    }

    fn spread(&mut self, kind: Kind, id: u64) {
        if self.transmissions > 0 {
            self.rumors.insert((kind, id), self.transmissions);
        }
    }

    /// Tells whether changes wait to be passed on.
    #[must_use]
    pub fn has_rumors(&self) -> bool {
        !self.rumors.is_empty()
    }

    /// Returns gossip with the changes to pass on, most urgent kind first, that fit a datagram.
    pub fn next_gossip(&mut self, wants_answer: bool) -> Gossip {
        let mut gossip = Gossip {
            wants_answer,
            digests: self.digests(),
            ..Gossip::default()
        };
        let mut room = CONTENT_BYTES;
        let mut told = Vec::new();
        for (kind, id) in self.rumors.keys().copied() {
            let Some(bytes) = self.add_rumor(&mut gossip, kind, id, room) else {
                break;
            };
            room -= bytes;
            told.push((kind, id));
        }
        for key in told {
            if let Some(left) = self.rumors.get_mut(&key) {
                *left -= 1;
                if *left == 0 {
                    self.rumors.remove(&key);
                }
            }
        }
        gossip
    }

    /// Adds a change to gossip and returns its size; `None` when it does not fit.
    fn add_rumor(&self, gossip: &mut Gossip, kind: Kind, id: u64, room: usize) -> Option<usize> {
        match kind {
            Kind::Mark => {
                let Some(mark) = self.mark_by_id(id) else {
                    return Some(0);
                };
                let bytes = encoded_bytes(mark);
                (bytes <= room).then(|| gossip.marks.push(mark.clone()))?;
                Some(bytes)
            }
            Kind::Object => {
                let item = (id, self.rank(kind, id).unwrap_or_default());
                let bytes = encoded_bytes(&item);
                (bytes <= room).then(|| gossip.objects.push(item))?;
                Some(bytes)
            }
            Kind::Host => {
                let Some(entry) = host_of(id).and_then(|host| self.host(host)) else {
                    return Some(0);
                };
                let bytes = encoded_bytes(entry);
                (bytes <= room).then(|| gossip.hosts.push(entry.clone()))?;
                Some(bytes)
            }
        }
    }

    /// Returns the lost failure domains.
    pub fn lost_domains(&self) -> impl Iterator<Item = &DomainName> {
        self.hosts.lost_domains()
    }
}

/// Returns the host of an item identity; `None` when it is no host id.
pub(super) fn host_of(id: u64) -> Option<HostId> {
    u32::try_from(id).ok().map(HostId)
}
