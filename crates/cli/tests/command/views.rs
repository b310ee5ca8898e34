//! Tests of the commands that report on running processes.

use {
    crate::common::{Endpoint, Result, TestEnvironment, domain, service},
    cardamomloom_standins::store::Faults,
    serde_json::{Value, json},
    std::{fs, path::PathBuf, sync::Arc},
};

/// Returns the status of a balancer with this version of `domains/tas-hobart` in force.
fn status(version: u64) -> Value {
    json!({
        "stopping": false, "hosts": [],
        "objects": [{"key": "domains/tas-hobart", "version": version}],
    })
}

/// Guards against a `--wait` that ends before the change is in force at every balancer, and against
/// a timeout message that does not name the balancers where it is not.
#[test]
fn verify_wait_names_lagging_balancers() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("domains/tas-hobart", domain("tas-hobart"))?;
    environment.write("domains/tas-devonport", domain("tas-devonport"))?;
    let nodes = [Arc::new(Endpoint::default()), Arc::new(Endpoint::default())];
    for (id, node) in (1..).zip(&nodes) {
        node.set_status(status(1));
        environment.register(id, environment.serve(node.clone())?)?;
    }
    nodes[0].set_status(status(5));
    let out = [
        "--wait-timeout-ms",
        "400",
        "domain",
        "out",
        "tas-hobart",
        "--reason",
        "flood",
        "--wait",
    ];
    let late = environment.expect(8, &out)?;
    assert!(
        late.contains("version 5 or later is not yet in force at: n-2 (has version 1)"),
        "{late}"
    );

    // The second balancer applies the change while the command waits.
    nodes[0].set_status(status(6));
    nodes[1].set_status_after(3, status(6));
    let back = environment.expect(0, &["domain", "in", "tas-hobart", "--wait"])?;
    assert!(
        back.contains("in force at all 2 registered balancers"),
        "{back}"
    );
    Ok(())
}

/// Guards against a status that compares balancers with the store under pass-through delivery, where
/// the store does not hold the objects that the command reads.
#[test]
fn verify_status_compares_balancers_with_pass_through_delivery() -> Result<()> {
    let environment = TestEnvironment::start()?;
    let status = |catalogue_version: u64, freshness_state: &str| {
        json!({
            "role": "balancer", "delivery": "pass_through", "stopping": false,
            "standing": freshness_state, "domains_out": ["tas-hobart"],
            "objects": [{"key": "catalogue", "version": catalogue_version}],
            "hosts": [{"agent": "10.1.0.1", "state": "Ready"}],
        })
    };
    let nodes = [Arc::new(Endpoint::default()), Arc::new(Endpoint::default())];
    nodes[0].set_status(status(14, "serving"));
    nodes[1].set_status(status(11, "isolated"));
    let addresses: Vec<String> = nodes
        .iter()
        .map(|node| Ok(environment.serve(node.clone())?.to_string()))
        .collect::<Result<_>>()?;
    let shown = environment.expect(0, &["--nodes", &addresses.join(","), "status"])?;
    for expected in [
        "lags: catalogue has version 11, the store has 14 [version_lag]",
        "serves its last configuration, which nobody confirms [isolated]",
        "failure domain tas-hobart is out [domain_out]",
    ] {
        assert!(shown.contains(expected), "{expected:?} in {shown}");
    }
    assert!(!shown.contains("store_unavailable"), "{shown}");
    Ok(())
}

/// Guards against a status that takes a balancer for the newest one because it has not noticed that
/// the store was restored, after which versions are lower.
#[test]
fn verify_status_compares_versions_of_two_eras() -> Result<()> {
    let environment = TestEnvironment::start()?;
    let status = |era: u64, version: u64| {
        json!({
            "role": "balancer", "delivery": "pass_through", "stopping": false,
            "standing": "serving", "domains_out": [], "hosts": [],
            "objects": [{"key": "domains", "era": era, "version": version}],
        })
    };
    let nodes = [Arc::new(Endpoint::default()), Arc::new(Endpoint::default())];
    nodes[0].set_status(status(1, 35));
    nodes[1].set_status(status(2, 9));
    let addresses: Vec<String> = nodes
        .iter()
        .map(|node| Ok(environment.serve(node.clone())?.to_string()))
        .collect::<Result<_>>()?;
    let shown = environment.expect(0, &["--nodes", &addresses.join(","), "status"])?;
    assert!(
        shown.contains("lags: domains has version 35 of era 1, the store has 9 of era 2"),
        "{shown}"
    );
    assert!(!shown.contains("has version 9"), "{shown}");
    Ok(())
}

/// Guards against a status that does not name the balancers that lag and what is degraded.
#[test]
fn verify_status_names_lag_and_degradation() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("domains/tas-hobart", domain("tas-hobart"))?;
    let node = Arc::new(Endpoint::default());
    let mut lagging = status(0);
    lagging["objects_invalid"] =
        json!([{"key": "services/x", "version": 9, "reason": "field \"port\" is 0"}]);
    lagging["problems"] = json!(["routing: service y states id 1, which service x has"]);
    lagging["standing"] = json!("isolated");
    lagging["domains_out"] = json!(["tas-devonport"]);
    node.set_status(lagging);
    environment.register(1, environment.serve(node)?)?;
    let unreachable = "127.0.0.1:9".parse()?;
    environment.register(2, unreachable)?;

    let shown = environment.expect(0, &["status"])?;
    for part in [
        "n-1: lags: domains/tas-hobart has version 0, the store has 1",
        "n-1: services/x version 9 is invalid and not in force: field \"port\" is 0",
        "n-1: routing: service y states id 1, which service x has",
        "n-1: failure domain tas-devonport is out",
        "n-1: serves its last configuration, which nobody confirms [isolated]",
        "n-2: http: no answer of 127.0.0.1:9",
    ] {
        assert!(shown.contains(part), "{part}: {shown}");
    }
    let json: Value = serde_json::from_str(&environment.expect(0, &["status", "--json"])?)?;
    assert_eq!(json["degraded"][1]["alert"], "object_invalid");
    assert_eq!(json["balancers"][0]["lags"][0]["stored"], 1);
    assert_eq!(json["balancers"][1]["state"], "no answer");
    Ok(())
}

/// Guards against a status that shows no balancer while the store is down, although their endpoints
/// are given with `--nodes`.
#[test]
fn verify_status_without_the_store() -> Result<()> {
    let environment = TestEnvironment::start()?;
    let node = Arc::new(Endpoint::default());
    node.set_status(status(1));
    let address = environment.serve(node)?.to_string();
    environment.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    environment.expect(6, &["status"])?;
    let shown = environment.expect(0, &["status", "--json", "--nodes", &address])?;
    let shown: Value = serde_json::from_str(&shown)?;
    assert_eq!(shown["degraded"][0]["alert"], "store_unavailable");
    assert_eq!(shown["balancers"][0]["state"], "running");
    Ok(())
}

/// Guards against `--help`, `--version` or `--json` that some commands or errors do not support.
#[test]
fn verify_help_version_and_json_errors() -> Result<()> {
    let environment = TestEnvironment::start()?;
    for arguments in [
        &["--help"][..],
        &["domain", "out", "--help"],
        &["apply", "-h"],
    ] {
        let help = environment.expect(0, arguments)?;
        assert!(help.contains("Usage: cardamomloom"), "{help}");
    }
    assert!(
        environment
            .expect(0, &["--version"])?
            .starts_with("cardamomloom 0")
    );
    let error: Value =
        serde_json::from_str(&environment.expect(3, &["get", "services/x", "--json"])?)?;
    assert_eq!(error["error"]["kind"], "not_found");
    assert_eq!(error["error"]["exit_code"], 3);
    environment.write("services/bookings", service())?;
    let list = environment.expect(0, &["list", "services/"])?;
    assert!(list.contains("id=1 class=critical"), "{list}");
    Ok(())
}

/// Guards against a burn report that leaves out the counts of some processes, or that derives the
/// urgency from a single window.
#[test]
fn verify_burn_sums_processes_and_combines_windows() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    let samples = |uptime_s: u64, sums: [(u64, u64); 4]| {
        let windows: Vec<Value> = [300, 3_600, 21_600, 259_200]
            .iter()
            .zip(sums)
            .map(|(window_s, (good, bad))| json!({"window_s": window_s, "good": good, "bad": bad}))
            .collect();
        json!({
            "uptime_s": uptime_s,
            "services": [{"service": 1, "windows": windows, "history": [windows[1].clone()]}],
        })
    };
    let (balancer, agent) = (Arc::new(Endpoint::default()), Arc::new(Endpoint::default()));
    balancer.set_burn(samples(50, [(0, 10), (0, 10), (0, 10), (0, 10)]));
    agent.set_burn(samples(9_000, [(90, 0), (990, 0), (9_990, 0), (99_990, 0)]));
    environment.register(1, environment.serve(balancer)?)?;
    let agents = environment.serve(agent)?.to_string();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("burn.svg");
    let plot = path.to_string_lossy();

    let burn = [
        "report", "burn", "--json", "--agents", &agents, "--plot", &plot,
    ];
    let report: Value = serde_json::from_str(&environment.expect(0, &burn)?)?;
    let rates: Vec<f64> = report["services"][0]["windows"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|window| window["burn_rate"].as_f64())
        .collect();
    // The objective is 99.9 %: 10 of 100, 1,000, 10,000 and 100,000 connections failed.
    let expected = [100.0, 10.0, 1.0, 0.1];
    assert_eq!(rates.len(), expected.len());
    for (rate, expected) in rates.iter().zip(expected) {
        assert!((rate - expected).abs() < 1e-9, "{rates:?}");
    }
    // A page needs a high burn rate over 1 hour too, so the short burst in the window of 5 minutes
    // does not cause one.
    assert_eq!(report["services"][0]["urgency"], "none");
    assert_eq!(report["covered_s"], 50);
    let svg = fs::read_to_string(&path)?;
    assert!(svg.starts_with("<svg") && svg.contains("bookings"), "{svg}");
    let text = environment.expect(0, &["report", "burn", "--agents", &agents])?;
    assert!(text.contains("100.00 (10 of 100)"), "{text}");
    Ok(())
}
