//! Bulk catch-up over gRPC on loopback.

mod common;

use {
    cardamomloom_core::{
        DomainName, ErrorKind, HostId, Incarnation, ObjectVersion, ServiceId, Weight,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState, ItemKind, LivenessRecord, Subject},
        store_api::Object,
        sync::SyncedItems,
    },
    cardamomloom_transport::{
        sync::{KnownItems, SyncSource, pull, serve},
        tls::PeerRole,
    },
    common::{Folder, authority, context, files},
    std::{net::SocketAddr, str::FromStr, sync::Arc},
    tokio::{net::TcpListener, runtime::Builder, sync::oneshot},
};

/// Answers with all its items, unless the caller names an item of rank 9.
struct Source(SyncedItems);

impl SyncSource for Source {
    fn request_missing_items(&self, known: KnownItems, reply: oneshot::Sender<SyncedItems>) {
        let knows_all = known.contains(&(ItemKind::Host, 7, 9));
        let items = if knows_all {
            SyncedItems::default()
        } else {
            self.0.clone()
        };
        let _ = reply.send(items);
    }
}

fn items(hosts: u32) -> SyncedItems {
    let domain = DomainName::from_str("a").expect("valid name");
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let entry = |host| HostEntry {
        host: HostId(host),
        service: ServiceId(1),
        domain: domain.clone(),
        data_address: address,
        control_address: address,
        incarnation: Incarnation(1),
        state: HostState::Ready,
        weight: Weight::STANDARD,
    };
    SyncedItems {
        objects: vec![Object {
            key: Arc::from("services/large"),
            version: ObjectVersion(3),
            value: Some(serde_json::Value::from("x".repeat(900_000))),
        }],
        liveness_records: vec![LivenessRecord {
            subject: Subject::Domain(domain.clone()),
            counter: 1,
            is_down: true,
        }],
        hosts: (0..hosts).map(entry).collect(),
    }
}

/// Guards against a starting balancer that learns a part of the fleet only: all hosts of the
/// design size, and an object that no datagram holds, arrive in one call.
#[test]
fn verify_catch_up_brings_everything_once() {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let expected = items(4_300);
        tokio::spawn(serve(listener, Arc::new(Source(expected.clone())), None));
        let received = pull(address, Vec::new(), None).await.expect("an answer");
        assert_eq!(received, expected);
        let known = vec![(ItemKind::Host, 7, 9)];
        let received = pull(address, known, None).await.expect("an answer");
        assert_eq!(received, SyncedItems::default());
    });
}

/// Guards against a catch-up that waits for ever for a peer that is gone.
#[test]
fn verify_absent_peer_is_an_error() {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let error = pull(address, Vec::new(), None)
            .await
            .expect_err("nobody listens");
        assert_eq!(error.kind, ErrorKind::Io);
    });
}

/// Guards against hosts and objects that go to a process of another role, or come from one that
/// does not prove its identity.
#[tokio::test]
async fn verify_catch_up_is_between_balancers_only() {
    let (folder, other) = (Folder::new(), Folder::new());
    let own = authority();
    let balancer = Arc::new(context(files(&folder.0, PeerRole::Balancer, &own, &own)));
    let agent = Arc::new(context(files(&other.0, PeerRole::Agent, &own, &own)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let expected = items(3);
    let source = Arc::new(Source(expected.clone()));
    tokio::spawn(serve(listener, source, Some(balancer.clone())));
    let received = pull(address, Vec::new(), Some(balancer)).await;
    assert_eq!(received, Ok(expected));
    let refused = pull(address, Vec::new(), Some(agent)).await;
    assert!(refused.is_err(), "an agent is not a balancer");
    let plain = pull(address, Vec::new(), None).await;
    assert!(plain.is_err(), "a peer without a certificate is refused");
}
