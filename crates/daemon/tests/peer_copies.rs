//! Requests of a process for copies of the catalogue, over real connections. Guards against processes of
//! two releases that do not understand each other, and against a peer that ends or refuses during a
//! request and is not reported, so that nobody else is asked.

use {
    axum::{Json, Router, extract::Query, http::StatusCode, response::IntoResponse, routing::get},
    cardamomloom_coordination::passthrough::{CopyOutcome, CopyRequest, CopyResponse},
    cardamomloom_daemon::passthrough::{
        endpoints::process_router, node::Event, peer_client::PeerClient,
    },
    cardamomloom_protocol::passthrough::{
        CatalogueDocument, CatalogueVersion, CopyRefusal, Snapshot,
    },
    std::net::Ipv4Addr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        sync::mpsc,
    },
};

const PEER: Ipv4Addr = Ipv4Addr::LOCALHOST;

async fn listener() -> (TcpListener, u16) {
    let listener = TcpListener::bind((PEER, 0)).await.expect("listener");
    let port = listener.local_addr().expect("address").port();
    (listener, port)
}

async fn start_peer(router: Router) -> u16 {
    let (listener, port) = listener().await;
    tokio::spawn(async move { axum::serve(listener, router).await });
    port
}

/// Requests a copy from the peer and returns the events until the request has ended.
async fn request_copy(port: u16) -> (Option<Snapshot>, CopyOutcome) {
    let (events, mut inbox) = mpsc::channel(8);
    let client = PeerClient::new(Ipv4Addr::LOCALHOST, port, events).expect("client");
    client.request_copy(CopyRequest {
        peer: PEER,
        base: CatalogueVersion(3),
    });
    let mut snapshot = None;
    loop {
        match inbox.recv().await.expect("an event") {
            Event::SnapshotFetched(fetched) => snapshot = fetched.map(|snapshot| *snapshot),
            Event::CopyFetched(peer, outcome) => {
                assert_eq!(peer, PEER);
                return (snapshot, outcome);
            }
            other => panic!("unexpected event: {other:?}"),
        }
    }
}

#[tokio::test]
async fn verify_that_a_peer_of_the_release_before_is_asked_for_its_snapshot() {
    let snapshot = Snapshot {
        catalogue: Some(CatalogueDocument {
            version: CatalogueVersion(4),
            ..CatalogueDocument::default()
        }),
        ..Snapshot::default()
    };
    let router = Router::new().route("/snapshot", get(|| async { Json(snapshot) }));
    let (snapshot, _) = request_copy(start_peer(router).await).await;
    let catalogue = snapshot.and_then(|snapshot| snapshot.catalogue);
    assert_eq!(
        catalogue.map(|document| document.version),
        Some(CatalogueVersion(4))
    );
}

#[tokio::test]
async fn verify_that_copies_and_refusals_are_told_apart() {
    let copies = Router::new().route("/catalogue", get(|| async { vec![1, 2, 3] }));
    let (_, outcome) = request_copy(start_peer(copies).await).await;
    assert_eq!(outcome, CopyOutcome::Copy(vec![1, 2, 3]));
    let refusal = CopyRefusal {
        version: CatalogueVersion(4),
        holders: vec![Ipv4Addr::new(10, 0, 0, 1)],
        retry_after_ms: 40,
    };
    let answer = refusal.clone();
    let refusals = Router::new().route(
        "/catalogue",
        get(|| async { (StatusCode::SERVICE_UNAVAILABLE, Json(answer)).into_response() }),
    );
    let (_, outcome) = request_copy(start_peer(refusals).await).await;
    assert_eq!(outcome, CopyOutcome::Refused(refusal));
}

#[tokio::test]
async fn verify_that_a_peer_that_ends_during_the_answer_is_reported() {
    let (listener, port) = listener().await;
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let _ = connection.read(&mut [0; 4_096]).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nabc";
            let _ = connection.write_all(answer).await;
        }
    });
    let (_, outcome) = request_copy(port).await;
    assert_eq!(outcome, CopyOutcome::Failed);
}

/// Serves the endpoints of a process of this release, whose actor answers with the number of the format
/// that it was asked for.
async fn start_process() -> u16 {
    let (events, mut inbox) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Some(event) = inbox.recv().await {
            let Event::CopyRequest { query, reply, .. } = event else {
                panic!("unexpected event: {event:?}");
            };
            assert_eq!(query.base, CatalogueVersion(3));
            let copy = [query.format.number()];
            let _ = reply.send(CopyResponse::Copy(copy.as_slice().into()));
        }
    });
    start_peer(process_router(events)).await
}

#[tokio::test]
async fn verify_that_each_release_gets_the_format_that_it_reads() {
    let port = start_process().await;
    let (_, outcome) = request_copy(port).await;
    assert_eq!(outcome, CopyOutcome::Copy(vec![2]));
    // Request of the previous release, which names no format.
    let path = format!("http://{PEER}:{port}/catalogue?base=3&receiver={PEER}");
    let answer = reqwest::get(path).await.expect("an answer");
    assert_eq!(answer.bytes().await.expect("a body").as_ref(), [1]);
}

#[tokio::test]
async fn verify_that_the_previous_release_understands_the_request() {
    // Query of the previous release.
    #[derive(serde::Deserialize)]
    struct PreviousQuery {
        base: CatalogueVersion,
        receiver: Ipv4Addr,
    }
    let endpoint = |Query(query): Query<PreviousQuery>| async move {
        assert_eq!((query.base, query.receiver), (CatalogueVersion(3), PEER));
        vec![1]
    };
    let router = Router::new().route("/catalogue", get(endpoint));
    let (_, outcome) = request_copy(start_peer(router).await).await;
    assert_eq!(outcome, CopyOutcome::Copy(vec![1]));
}
