//! Bulk synchronization over gRPC on loopback.

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
    common::{TempFolder, create_authority, load_context, write_files},
    std::{net::SocketAddr, str::FromStr, sync::Arc},
    tokio::{net::TcpListener, runtime::Builder, sync::oneshot},
};

/// Returns all its items, or none to a balancer that has host 7 with rank 9.
struct FixedItems(SyncedItems);

impl SyncSource for FixedItems {
    fn request_missing_items(&self, known: KnownItems, reply: oneshot::Sender<SyncedItems>) {
        let has_all_items = known.contains(&(ItemKind::Host, 7, 9));
        let items = if has_all_items {
            SyncedItems::default()
        } else {
            self.0.clone()
        };
        let _ = reply.send(items);
    }
}

/// Returns an object of 900 kB, a liveness record and `hosts` host entries.
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

/// Guards against a starting balancer that receives only part of the fleet: one call must return
/// the 4,300 hosts of the design and an object that is too large for a datagram.
#[test]
fn verify_pull_returns_all_missing_items() {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let expected = items(4_300);
        tokio::spawn(serve(
            listener,
            Arc::new(FixedItems(expected.clone())),
            None,
        ));
        let received = pull(address, Vec::new(), None).await.expect("an answer");
        assert_eq!(received, expected);
        let known = vec![(ItemKind::Host, 7, 9)];
        let received = pull(address, known, None).await.expect("an answer");
        assert_eq!(received, SyncedItems::default());
    });
}

/// Guards against a pull that waits for ever for a peer that has stopped.
#[test]
fn verify_pull_from_stopped_peer_fails() {
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

/// Guards against hosts and objects that are sent to a process with another role, or to one without
/// a certificate.
#[tokio::test]
async fn verify_pull_requires_a_balancer_certificate() {
    let (balancer_folder, agent_folder) = (TempFolder::new(), TempFolder::new());
    let installation_authority = create_authority();
    let balancer = Arc::new(load_context(write_files(
        &balancer_folder.0,
        PeerRole::Balancer,
        &installation_authority,
        &installation_authority,
    )));
    let agent = Arc::new(load_context(write_files(
        &agent_folder.0,
        PeerRole::Agent,
        &installation_authority,
        &installation_authority,
    )));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let expected = items(3);
    let source = Arc::new(FixedItems(expected.clone()));
    tokio::spawn(serve(listener, source, Some(balancer.clone())));
    let received = pull(address, Vec::new(), Some(balancer)).await;
    assert_eq!(received, Ok(expected));
    let refused = pull(address, Vec::new(), Some(agent)).await;
    assert!(
        refused.is_err(),
        "a pull with the certificate of an agent must fail"
    );
    let plain = pull(address, Vec::new(), None).await;
    assert!(plain.is_err(), "a pull without a certificate must fail");
}
