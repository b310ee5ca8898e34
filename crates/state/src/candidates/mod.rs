//! Candidate table of a service: an ordered list of hosts for each bucket.
//!
//! Hosts are ordered by weighted rendezvous hashing (Thaler and Ravishankar, "Using name-based
//! mappings to increase hit rates", 1998): a change of one host affects only the buckets that it
//! enters or leaves. Scores are integers, so every process computes the same table.

mod best;
mod score;
mod update;

use {
    cardamomloom_core::{
        BucketId, DomainName, HostId, ServiceId, TableVersion, Weight,
        error::{Error, invalid_argument},
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState},
        packet::FlowKey,
    },
    siphasher::sip::SipHasher13,
    std::{
        hash::{Hash, Hasher},
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// Result of building a table.
pub type Result<T> = std::result::Result<T, Error>;

/// Number of candidates per bucket.
pub const CANDIDATES_PER_BUCKET: usize = 4;

/// Number of buckets per service. With 7 hosts, the shares of the hosts spread by about 2 %.
pub const BUCKETS_PER_SERVICE: u32 = 8_192;

/// Maximum number of hosts per service; candidates are stored as 16-bit indexes.
pub const MAX_HOSTS_PER_SERVICE: usize = 4_096;

/// A host in a candidate table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the agent's data-plane socket.
    pub data_address: SocketAddr,
    /// Address of the agent's control-plane socket.
    pub control_address: SocketAddr,
    /// Whether the host accepts new flows.
    pub accepts_new: bool,
    /// Relative share of new flows.
    pub weight: Weight,
}

impl From<&HostEntry> for Candidate {
    fn from(entry: &HostEntry) -> Self {
        Self {
            host: entry.host,
            domain: entry.domain.clone(),
            data_address: entry.data_address,
            control_address: entry.control_address,
            accepts_new: entry.state == HostState::Ready,
            weight: entry.weight,
        }
    }
}

/// Index that marks an unused position, in services with fewer hosts than positions per bucket.
const EMPTY: u16 = u16::MAX;

/// Candidate table of a service.
#[derive(Clone, Debug)]
pub struct CandidateTable {
    service: ServiceId,
    version: TableVersion,
    hash_key: [u8; 16],
    /// Hosts in id order.
    candidates: Vec<Candidate>,
    /// Indexes into `candidates`. Shared with the next table if a change affects no bucket.
    buckets: Arc<[[u16; CANDIDATES_PER_BUCKET]]>,
}

impl CandidateTable {
    /// Builds the table of a service from hosts in any order.
    ///
    /// # Errors
    ///
    /// Fails with kind `invalid_argument` when the service has more than
    /// [`MAX_HOSTS_PER_SERVICE`] hosts.
    pub fn build(
        service: ServiceId,
        hash_key: [u8; 16],
        candidates: Vec<Candidate>,
    ) -> Result<Self> {
        Self::with_buckets(service, hash_key, candidates, BUCKETS_PER_SERVICE)
    }

    /// Builds a table with another number of buckets, to measure how the cost grows with it.
    ///
    /// # Errors
    ///
    /// As [`CandidateTable::build`].
    pub fn with_buckets(
        service: ServiceId,
        hash_key: [u8; 16],
        candidates: Vec<Candidate>,
        buckets: u32,
    ) -> Result<Self> {
        let candidates = checked_and_sorted(service, candidates)?;
        let ranking = score::Ranking::new(&candidates);
        let buckets = (0..buckets)
            .map(|bucket| ranking.best(bucket).indexes())
            .collect();
        Ok(Self::from_buckets(service, hash_key, candidates, buckets))
    }

    /// Builds the next table of the service. The result equals that of [`CandidateTable::build`]
    /// with the same inputs, but the cost grows with the number of changed hosts.
    ///
    /// # Errors
    ///
    /// As [`CandidateTable::build`].
    pub fn update(&self, hash_key: [u8; 16], candidates: Vec<Candidate>) -> Result<Self> {
        let candidates = checked_and_sorted(self.service, candidates)?;
        let buckets = if update::have_equal_ranks(&self.candidates, &candidates) {
            self.buckets.clone()
        } else {
            update::update(&self.candidates, &self.buckets, &candidates).into()
        };
        Ok(Self::from_buckets(
            self.service,
            hash_key,
            candidates,
            buckets,
        ))
    }

    fn from_buckets(
        service: ServiceId,
        hash_key: [u8; 16],
        candidates: Vec<Candidate>,
        buckets: Arc<[[u16; CANDIDATES_PER_BUCKET]]>,
    ) -> Self {
        Self {
            service,
            version: digest(service, hash_key, &candidates),
            hash_key,
            candidates,
            buckets,
        }
    }

    /// Returns whether the table was built from these inputs; `candidates` are in id order.
    #[must_use]
    pub fn has_inputs(&self, hash_key: [u8; 16], candidates: &[Candidate]) -> bool {
        self.hash_key == hash_key && self.candidates == candidates
    }

    /// Returns the service of the table.
    #[must_use]
    pub const fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns the version of the table, a digest of its inputs.
    #[must_use]
    pub const fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns all hosts of the service in id order.
    #[must_use]
    pub fn hosts(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns a host of the service, or `None` if it is not in the table.
    #[must_use]
    pub fn host(&self, host: HostId) -> Option<&Candidate> {
        let index = self
            .candidates
            .binary_search_by_key(&host, |candidate| candidate.host)
            .ok()?;
        self.candidates.get(index)
    }

    /// Returns the bucket of a flow.
    #[must_use]
    pub fn bucket_of(&self, flow: &FlowKey) -> BucketId {
        let hash = flow_hash(self.hash_key, flow);
        BucketId(u32::try_from(hash >> 32).unwrap_or_default() % BUCKETS_PER_SERVICE)
    }

    /// Returns the candidates of a bucket, best first.
    pub fn candidates_of(&self, bucket: BucketId) -> impl Iterator<Item = &Candidate> {
        self.buckets
            .get(bucket.0 as usize)
            .into_iter()
            .flatten()
            .filter_map(|index| self.candidates.get(usize::from(*index)))
    }

    /// Returns the candidate of a bucket that receives a packet first.
    ///
    /// A packet that opens a flow skips candidates that accept no new flows, unless none does.
    #[must_use]
    pub fn first(&self, bucket: BucketId, opens_flow: bool) -> Option<&Candidate> {
        let mut candidates = self.candidates_of(bucket);
        if opens_flow {
            candidates
                .find(|candidate| candidate.accepts_new)
                .or_else(|| self.candidates_of(bucket).next())
        } else {
            candidates.next()
        }
    }
}

/// Checks the number of hosts and sorts them by id.
fn checked_and_sorted(
    service: ServiceId,
    mut candidates: Vec<Candidate>,
) -> Result<Vec<Candidate>> {
    if candidates.len() > MAX_HOSTS_PER_SERVICE {
        return Err(invalid_argument(format!(
            "candidates: service {service} has {} hosts; at most {MAX_HOSTS_PER_SERVICE} are allowed",
            candidates.len()
        )));
    }
    candidates.sort_by_key(|candidate| candidate.host);
    Ok(candidates)
}

/// Returns the keyed hash of a flow. The key keeps callers from choosing their bucket.
#[must_use]
pub fn flow_hash(hash_key: [u8; 16], flow: &FlowKey) -> u64 {
    let mut bytes = [0; 36];
    write_address(&mut bytes[..16], flow.caller.ip());
    write_address(&mut bytes[16..32], flow.service.ip());
    bytes[32..34].copy_from_slice(&flow.caller.port().to_be_bytes());
    bytes[34..].copy_from_slice(&flow.service.port().to_be_bytes());
    let mut hasher = SipHasher13::new_with_key(&hash_key);
    hasher.write(&bytes);
    hasher.finish()
}

/// Writes an IP address as 16 bytes, IPv4 as IPv4-mapped IPv6 address, RFC 4291 section 2.5.5.2.
fn write_address(out: &mut [u8], address: IpAddr) {
    let address = match address {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    };
    out.copy_from_slice(&address.octets());
}

/// Returns a digest of everything that determines the order of candidates; processes with equal
/// inputs compute equal digests. Draining does not change the order and is not included.
fn digest(service: ServiceId, hash_key: [u8; 16], candidates: &[Candidate]) -> TableVersion {
    let mut hasher = SipHasher13::new_with_key(&hash_key);
    service.hash(&mut hasher);
    for candidate in candidates {
        candidate.host.hash(&mut hasher);
        candidate.domain.as_str().hash(&mut hasher);
        candidate.data_address.hash(&mut hasher);
        candidate.weight.hash(&mut hasher);
    }
    TableVersion(hasher.finish())
}
