//! Endpoint `/explain` of a process with pass-through delivery.

use {
    cardamomloom_daemon::passthrough::{endpoints::process_router, node::Event},
    serde_json::{Value, json},
    std::net::Ipv4Addr,
    tokio::{net::TcpListener, sync::mpsc},
};

async fn start() -> String {
    let (events, mut inbox) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Some(event) = inbox.recv().await {
            let Event::ExplainRequest(query, reply) = event else {
                panic!("unexpected event: {event:?}");
            };
            let _ = reply.send(json!({"service": query.service, "from": query.from}));
        }
    });
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move { axum::serve(listener, process_router(events)).await });
    format!("http://{address}/explain")
}

/// Guards against a query that is answered for another flow, and against an error that the command cannot
/// show because it is not JSON or does not name the field.
#[tokio::test]
async fn verify_that_a_query_is_passed_on_and_an_invalid_one_is_an_error() {
    let url = start().await;
    let get = async |query: &str| -> (u16, Value) {
        let answer = reqwest::get(format!("{url}?{query}")).await;
        let answer = answer.expect("an answer");
        (answer.status().as_u16(), answer.json().await.expect("JSON"))
    };
    let (status, answer) = get("service=bookings&from=tas-hobart").await;
    assert_eq!(status, 200);
    assert_eq!(answer, json!({"service": "bookings", "from": "tas-hobart"}));
    for (query, field) in [
        ("service=bookings", "from"),
        ("from=tas-hobart", "service"),
        ("service=bookings&from=Tas%20Hobart", "from"),
    ] {
        let (status, answer) = get(query).await;
        assert_eq!(status, 400);
        assert_eq!(answer["error"]["kind"], "invalid_argument");
        let message = answer["error"]["message"].to_string();
        assert!(message.contains(field), "{message}");
    }
}
