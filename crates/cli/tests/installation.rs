//! Tests of the command against a complete installation whose parts run as separate processes.

use {
    cardamomloom_core::ObjectVersion,
    cardamomloom_standins::demo::{Customer, Installation, Load},
    cardamomloom_transport::store::{StoreClient, StoreOptions},
    serde_json::Value,
    std::{
        env,
        error::Error,
        fs,
        process::Command,
        time::{Duration, Instant},
    },
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Address of the caller and of the service of the flow that `explain` is asked about.
const FLOW: [&str; 2] = ["198.51.100.7:40000", "203.0.113.1:80"];

/// Runs the command with `--json`, checks its exit code, and returns the document that it printed.
fn run(installation: &Installation, exit_code: i32, arguments: &[&str]) -> Result<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomloom"))
        .args(["--json", "--store", installation.store_url()])
        .args(arguments)
        .output()?;
    let stdout = String::from_utf8(output.stdout)?;
    assert_eq!(
        output.status.code(),
        Some(exit_code),
        "{arguments:?}: {stdout}"
    );
    Ok(serde_json::from_str(&stdout)?)
}

/// Returns the candidate list of [`FLOW`] at each balancer.
fn candidates(installation: &Installation) -> Result<Vec<Value>> {
    let explained = run(installation, 0, &["explain", FLOW[0], FLOW[1]])?;
    let balancers = explained["balancers"]
        .as_array()
        .ok_or("the output of explain has no list of balancers")?;
    let lists = balancers.iter().map(|balancer| {
        assert_eq!(balancer["explanation"]["service"], "pedidos", "{balancer}");
        balancer["explanation"]["candidates"].clone()
    });
    Ok(lists.collect())
}

fn uses_domain(candidates: &Value, domain: &str) -> bool {
    let mut candidates = candidates.as_array().into_iter().flatten();
    candidates.any(|candidate| candidate["domain"] == domain)
}

/// Writes to the store directly, without the checks of the command.
fn write_unchecked(installation: &Installation, key: &str, value: &Value) -> Result<()> {
    let store = StoreClient::new(installation.store_url(), StoreOptions::default())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let current = store.get(key).await?;
        let version = current.map_or(ObjectVersion(0), |object| object.version);
        store.put(key, version, value).await
    })?;
    Ok(())
}

/// Returns the messages about what is degraded, one per line.
fn degraded_messages(installation: &Installation) -> Result<String> {
    let status = run(installation, 0, &["status"])?;
    let lines = status["degraded"].as_array().into_iter().flatten();
    let lines: Vec<&str> = lines
        .filter_map(|degraded| degraded["message"].as_str())
        .collect();
    Ok(lines.join("\n"))
}

/// Takes a failure domain out and brings it back, then edits a service while the catalogue holds an
/// invalid object and a contested address.
fn change_catalogue(installation: &mut Installation) -> Result<()> {
    assert_eq!(candidates(installation)?.len(), 3);

    // Once --wait has returned, no balancer has a candidate in the failure domain that is out.
    let out = ["domain", "out", "norte-a", "--reason", "flood", "--wait"];
    let domain_out = run(installation, 0, &out)?;
    assert_eq!(domain_out["changes"][0]["in_force_at"], 3, "{domain_out}");
    for list in candidates(installation)? {
        assert!(!uses_domain(&list, "norte-a"), "{list}");
    }
    let explained = run(installation, 0, &["explain", FLOW[0], FLOW[1]])?;
    let left_out = explained["left_out"]
        .as_array()
        .ok_or("the output of explain has no list of hosts that were left out")?;
    assert!(!left_out.is_empty(), "{explained}");
    for host in left_out {
        assert_eq!(host["domain"], "norte-a", "{explained}");
        assert_eq!(host["why"], "its failure domain is out", "{explained}");
    }
    let degraded = degraded_messages(installation)?;
    assert!(
        degraded.contains("failure domain norte-a is out"),
        "{degraded}"
    );
    run(installation, 0, &["domain", "in", "norte-a", "--wait"])?;

    // An invalid object and an address that two services claim block no other change.
    let service = run(installation, 0, &["get", "services/pedidos"])?["value"].clone();
    let mut invalid = service.clone();
    invalid["port"] = Value::from(0);
    write_unchecked(installation, "services/pedidos", &invalid)?;
    let mut contested = service;
    contested["name"] = Value::from("copia");
    contested["id"] = Value::from(77);
    write_unchecked(installation, "services/copia", &contested)?;
    let edit = [
        "edit",
        "services/catalogo",
        "--set",
        "owner=reparto",
        "--wait",
    ];
    run(installation, 0, &edit)?;
    let degraded = degraded_messages(installation)?;
    for part in [
        "services/pedidos version",
        "field \"port\" is 0; allowed is 1 to 65535",
        "service copia states 203.0.113.1:80, which service pedidos has",
    ] {
        assert!(degraded.contains(part), "{part}: {degraded}");
    }
    assert_eq!(candidates(installation)?.len(), 3);
    Ok(())
}

/// Guards against a command that works with the simulated endpoints of its other tests only. Changes
/// a running installation, inspects it, and reads its burn.
#[test]
fn verify_commands_on_a_running_installation() -> Result<()> {
    let folder = env::temp_dir().join(format!("cardamomloom-operate-{}", std::process::id()));
    let mut installation = Installation::start(Customer::Lenas, &folder)?;
    change_catalogue(&mut installation)?;

    let load = Load {
        flows: 60,
        requests_per_flow: 2,
        interval_ms: 100,
        open_over_ms: 500,
        ..Load::default()
    };
    let mut callers = installation.start_callers(1, &load)?;
    callers.wait(Duration::from_secs(50))?;
    let agents: Vec<String> = installation
        .agent_endpoints()
        .iter()
        .map(ToString::to_string)
        .collect();
    let agents = agents.join(",");
    let report = run(&installation, 0, &["report", "burn", "--agents", &agents])?;
    let services = report["services"]
        .as_array()
        .ok_or("the report has no list of services")?;
    let catalogo = services
        .iter()
        .find(|service| service["service"] == "catalogo")
        .ok_or("the report has no service catalogo")?;
    assert_eq!(catalogo["windows"][0]["good"], load.flows);
    assert_eq!(catalogo["windows"][0]["bad"], 0);
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Guards against agents that accept traffic in a failure domain that is out. An agent could miss the
/// state of its failure domain if its service was deleted, or lost its id to another service, before
/// the failure domain was taken out.
#[test]
fn verify_domain_out_reaches_agents_without_a_service() -> Result<()> {
    let folder = env::temp_dir().join(format!("cardamomloom-out-{}", std::process::id()));
    let installation = Installation::start(Customer::Lenas, &folder)?;
    run(
        &installation,
        0,
        &["delete", "services/catalogo", "--force", "--wait"],
    )?;
    let mut contested = run(&installation, 0, &["get", "services/pedidos"])?["value"].clone();
    contested["name"] = Value::from("copia");
    contested["addresses"] = serde_json::json!(["203.0.113.9"]);
    write_unchecked(&installation, "services/copia", &contested)?;
    // Both services now claim the same id. Service pedidos was written last and loses it.
    let mut rewritten = contested;
    rewritten["name"] = Value::from("pedidos");
    write_unchecked(&installation, "services/pedidos", &rewritten)?;
    run(
        &installation,
        0,
        &["domain", "out", "norte-b", "--reason", "flood"],
    )?;

    // The second host of each service is in norte-b. The design allows 3 s until agents apply it.
    let deadline = Instant::now() + Duration::from_secs(3);
    let is_out = |service| -> Result<bool> {
        Ok(installation.agent_status(service, 1)?["domain_out"] == true)
    };
    while !(is_out(0)? && is_out(1)?) {
        assert!(
            Instant::now() < deadline,
            "an agent did not learn within 3 s that its failure domain is out"
        );
    }
    fs::remove_dir_all(&folder)?;
    Ok(())
}
