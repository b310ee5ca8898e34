//! Tests of `explain --service`, which asks processes with pass-through delivery.

use {
    crate::common::{Result, TestEnvironment},
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// Serves one document for each request with this path and query.
fn serve(document: &Value) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let body = document.to_string();
    thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            let mut request = [0; 4_096];
            let length = connection.read(&mut request).unwrap_or_default();
            let request = String::from_utf8_lossy(&request[..length]);
            let expected = "GET /explain?service=bookings&from=tas-hobart ";
            let status = if request.starts_with(expected) {
                200
            } else {
                404
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = connection.write_all(answer.as_bytes());
        }
    });
    Ok(address)
}

/// Guards against an explanation that shows only one view, hides what is unknown, or fails because one
/// process does not answer.
#[test]
fn verify_explain_shows_the_views_of_balancers_and_agents() -> Result<()> {
    let environment = TestEnvironment::start()?;
    let candidate = |agent: &str, wait_ms: Option<u64>, usable: bool| {
        json!({
            "agent": agent, "domain": "tas-hobart", "usable": usable, "wait_ms": wait_ms,
            "work_ms": 31, "age_ms": 120, "round_trip_us": null, "response_ms": wait_ms,
        })
    };
    let balancer = serve(&json!({
        "role": "balancer", "rule": "own_domain", "why": "stays in its domain",
        "candidates": [candidate("10.1.0.7", Some(45), true), candidate("10.1.0.8", None, false)],
    }))?;
    let agent = serve(&json!({
        "role": "agent", "decision": "queue", "why": "the host is cold", "slots": 2,
        "callers_in_progress": 8, "queued_syns": 3, "max_callers": 8,
    }))?;
    let (nodes, agent) = (format!("{balancer},127.0.0.1:9"), agent.to_string());
    let flow = ["explain", "--service", "bookings", "--from", "tas-hobart"];
    let shown = environment.expect(
        0,
        &[&["--nodes", &nodes], &flow[..], &["--agent", &agent]].concat(),
    )?;
    for part in [
        format!("balancer {balancer}: own_domain: stays in its domain"),
        "127.0.0.1:9: http: no answer of 127.0.0.1:9".to_owned(),
        format!("agent {agent}: queue: the host is cold"),
    ] {
        assert!(shown.contains(&part), "{part}: {shown}");
    }
    let row = |name: &str| shown.lines().find(|line| line.starts_with(name));
    let cells = |name: &str| row(name).map(|row| row.split_whitespace().collect::<Vec<_>>());
    let known = [
        "10.1.0.7",
        "tas-hobart",
        "true",
        "45",
        "31",
        "120",
        "-",
        "45",
    ];
    assert_eq!(cells("10.1.0.7").as_deref(), Some(&known[..]));
    let unknown = [
        "10.1.0.8",
        "tas-hobart",
        "false",
        "-",
        "31",
        "120",
        "-",
        "-",
    ];
    assert_eq!(cells("10.1.0.8").as_deref(), Some(&unknown[..]));

    let json = environment.expect(0, &[&flow[..], &["--json", "--agent", &agent]].concat())?;
    let json: Value = serde_json::from_str(&json)?;
    assert_eq!(json["processes"][0]["explanation"]["decision"], "queue");
    Ok(())
}

/// Guards against arguments that lead to a query for another flow, or to an error that does not say which
/// argument is missing.
#[test]
fn verify_explain_names_missing_arguments() -> Result<()> {
    let environment = TestEnvironment::start()?;
    for (arguments, part) in [
        (&["explain"][..], "caller"),
        (&["explain", "192.0.2.1:80"], "service"),
        (&["explain", "--service", "bookings"], "--from"),
        (
            &["explain", "--service", "bookings", "--from", "a"],
            "--nodes",
        ),
        (
            &[
                "explain",
                "--service",
                "bookings",
                "--from",
                "a",
                "--agent",
                "x",
            ],
            "--agent",
        ),
    ] {
        let error = environment.expect(2, arguments)?;
        assert!(error.contains(part), "{arguments:?}: {error}");
    }
    Ok(())
}
