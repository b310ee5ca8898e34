//! Tests of handover messages as encoded datagrams.

use {
    cardamomloom_coordination::{
        handover::{Members, Peer},
        ownership::{Ownership, OwnershipOptions, Phase},
    },
    cardamomloom_core::{DomainName, HostId, Incarnation, ServiceId, Time, Weight},
    cardamomloom_protocol::{
        control::{self, Message, Origin},
        forward::DatagramKey,
        packet::{FlowKey, PacketMeta},
    },
    cardamomloom_state::candidates::{Candidate, CandidateTable},
    std::{collections::BTreeSet, net::SocketAddr, str::FromStr, sync::Arc},
};

fn candidate(host: HostId) -> Candidate {
    Candidate {
        host,
        domain: DomainName::from_str("a").expect("valid name"),
        data_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        control_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        accepts_new: true,
        weight: Weight::STANDARD,
    }
}

/// Guards against a part of a flow list that exceeds the size of a datagram and is never sent.
#[test]
fn verify_full_parts_fit_a_datagram() {
    let (own, other) = (HostId(u32::MAX - 1), HostId(u32::MAX));
    let service = ServiceId(u32::MAX);
    let mut ownership = Ownership::new(own, service, OwnershipOptions::default());
    for index in 0..500 {
        let caller = format!("[2001:db8:ffff:ffff:ffff:ffff:ffff:{index:x}]:65535");
        let meta = PacketMeta {
            flow: FlowKey {
                caller: SocketAddr::from_str(&caller).expect("an address"),
                service: SocketAddr::from_str("[2001:db8:1::1]:65535").expect("an address"),
            },
            sequence: 1,
            acknowledgement: None,
            syn: true,
            fin: false,
            rst: false,
            payload_bytes: 0,
        };
        let id = ownership
            .insert(&meta)
            .expect("the flow limit is not reached");
        ownership.set_phase(id, Phase::Established);
    }
    let candidates = vec![candidate(own), candidate(other)];
    let table =
        CandidateTable::build(service, [1; 16], candidates).expect("two hosts fit in a table");
    let members = Members {
        incarnation: Incarnation(u64::MAX),
        peers: vec![Peer {
            host: other,
            incarnation: Incarnation(u64::MAX),
            control_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        }],
    };
    ownership.set_table(Time::from_millis(1), Arc::new(table), members);
    let origin = Origin {
        sender: u64::MAX,
        incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
    };
    let mut sent_flows = BTreeSet::new();
    for outgoing in ownership.on_tick(Time::from_millis(1)) {
        control::encode(DatagramKey([1; 16]), &origin, &outgoing.message)
            .expect("a part fits in a datagram");
        if let Message::Handover { flows, .. } = outgoing.message {
            sent_flows.extend(flows);
        }
    }
    let reported_flows = ownership.flows().filter(|(flow, _)| {
        let table = ownership.table().expect("a table was set");
        let first = table.first(table.bucket_of(flow), false);
        first.is_some_and(|first| first.host == other)
    });
    assert_eq!(sent_flows.len(), reported_flows.count());
}
