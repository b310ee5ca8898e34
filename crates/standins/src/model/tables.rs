//! Tables of the model, cached because many sequences pass through the same hosts.

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

type Key = (u8, Vec<(usize, bool, u32)>);

static CACHE: LazyLock<Mutex<HashMap<Key, Arc<CandidateTable>>>> = LazyLock::new(Mutex::default);

/// Four hosts share a failure domain.
const HOSTS_PER_DOMAIN: usize = 4;

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
    let inputs = present
        .iter()
        .map(|(index, host)| (*index, host.state == HostState::Ready, host.weight.0))
        .collect();
    let mut cache = CACHE.lock().expect("no test panics while building a table");
    let table = cache
        .entry((key, inputs))
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
                .expect("valid name"),
            data_address: address(*index),
            control_address: address(*index),
            accepts_new: host.state == HostState::Ready,
            weight: host.weight,
        })
        .collect();
    CandidateTable::build(SERVICE, [key; 16], candidates).expect("few hosts")
}
