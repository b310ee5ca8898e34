//! Bulk catch-up over gRPC on loopback.

use {
    cardamomloom_core::{
        DomainName, ErrorKind, HostId, Incarnation, ObjectVersion, ServiceId, Weight,
    },
    cardamomloom_protocol::{
        control::{HostEntry, HostState, Kind, Mark, Subject},
        store_api::Object,
        sync::SyncedItems,
    },
    cardamomloom_transport::sync::{Known, SyncSource, pull, serve},
    std::{net::SocketAddr, str::FromStr, sync::Arc},
    tokio::{net::TcpListener, runtime::Builder, sync::oneshot},
};

/// Answers with all its items, unless the caller names an item of rank 9.
struct Source(SyncedItems);

impl SyncSource for Source {
    fn ask(&self, known: Known, reply: oneshot::Sender<SyncedItems>) {
        let knows_all = known.contains(&(Kind::Host, 7, 9));
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
        marks: vec![Mark {
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
        tokio::spawn(serve(listener, Arc::new(Source(expected.clone()))));
        let received = pull(address, Vec::new()).await.expect("an answer");
        assert_eq!(received, expected);
        let known = vec![(Kind::Host, 7, 9)];
        let received = pull(address, known).await.expect("an answer");
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
        let error = pull(address, Vec::new()).await.expect_err("nobody listens");
        assert_eq!(error.kind, ErrorKind::Io);
    });
}
