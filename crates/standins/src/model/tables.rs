//! Candidate tables of the simulation. They are cached because many test sequences have the same
//! hosts in between.

use {
    super::{Host, HostState, SERVICE, Version, address, host_id},
    cardamomloom_coordination::handover::Peer,
    cardamomloom_core::{DomainName, Time},
    cardamomloom_state::candidates::{Candidate, CandidateTable},
    std::{
        collections::HashMap,
        str::FromStr,
        sync::{Arc, LazyLock, Mutex},
    },
};

/// Byte of the hash key, and index, readiness and weight of each present host.
type CacheKey = (u8, Vec<(usize, bool, u32)>);

static CACHE: LazyLock<Mutex<HashMap<CacheKey, Arc<CandidateTable>>>> =
    LazyLock::new(Mutex::default);

const HOSTS_PER_DOMAIN: usize = 4;

/// Returns the version that the current hosts make up.
pub fn version(hosts: &[Host], key: u8, published_at: Time) -> Version {
    let present: Vec<(usize, &Host)> = hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| host.state != HostState::Absent)
        .collect();
    let members = present
        .iter()
        .map(|(index, host)| Peer {
            host: host_id(*index),
            incarnation: host.incarnation,
            control_address: address(*index),
        })
        .collect();
    let host_states = present
        .iter()
        .map(|(index, host)| (*index, host.state == HostState::Ready, host.weight.0))
        .collect();
    let mut cache = CACHE
        .lock()
        .expect("building a candidate table does not panic");
    let table = cache
        .entry((key, host_states))
        .or_insert_with(|| Arc::new(build(&present, key)))
        .clone();
    Version {
        table,
        members,
        published_at,
    }
}

fn build(present: &[(usize, &Host)], key: u8) -> CandidateTable {
    let candidates = present
        .iter()
        .map(|(index, host)| Candidate {
            host: host_id(*index),
            domain: DomainName::from_str(["a", "b", "c"][index / HOSTS_PER_DOMAIN % 3])
                .expect("the failure domain name is valid"),
            data_address: address(*index),
            control_address: address(*index),
            accepts_new: host.state == HostState::Ready,
            weight: host.weight,
        })
        .collect();
    CandidateTable::build(SERVICE, [key; 16], candidates)
        .expect("the number of hosts is within the limit")
}
