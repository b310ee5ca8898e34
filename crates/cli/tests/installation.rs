//! The command against the whole system as real processes.

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

const FLOW: [&str; 2] = ["198.51.100.7:40000", "203.0.113.1:80"];

fn run(installation: &Installation, code: i32, arguments: &[&str]) -> Result<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomloom"))
        .args(["--json", "--store", installation.store_url()])
        .args(arguments)
        .output()?;
    let printed = String::from_utf8(output.stdout)?;
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {printed}");
    Ok(serde_json::from_str(&printed)?)
}

/// Returns the candidate lists of a flow at every balancer.
fn candidates(installation: &Installation) -> Result<Vec<Value>> {
    let explained = run(installation, 0, &["explain", FLOW[0], FLOW[1]])?;
    let balancers = explained["balancers"].as_array().ok_or("no balancers")?;
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

/// Writes as a program would that does not check what it writes.
fn write_unchecked(installation: &Installation, key: &str, value: &Value) -> Result<()> {
    let store = StoreClient::new(installation.store_url(), StoreOptions::default())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let present = store.get(key).await?;
        let version = present.map_or(ObjectVersion(0), |object| object.version);
        store.put(key, version, value).await
    })?;
    Ok(())
}

fn degraded(installation: &Installation) -> Result<String> {
    let status = run(installation, 0, &["status"])?;
    let lines = status["degraded"].as_array().into_iter().flatten();
    let lines: Vec<&str> = lines
        .filter_map(|degraded| degraded["message"].as_str())
        .collect();
    Ok(lines.join("\n"))
}

fn operate(installation: &mut Installation) -> Result<()> {
    assert_eq!(candidates(installation)?.len(), 3);

    // A failure domain that is out is in no list of any balancer once --wait has returned.
    let out = ["domain", "out", "norte-a", "--reason", "flood", "--wait"];
    let done = run(installation, 0, &out)?;
    assert_eq!(done["changes"][0]["in_force_at"], 3, "{done}");
    for list in candidates(installation)? {
        assert!(!uses_domain(&list, "norte-a"), "{list}");
    }
    let explained = run(installation, 0, &["explain", FLOW[0], FLOW[1]])?;
    let left_out = explained["left_out"].as_array().ok_or("no list")?;
    assert!(!left_out.is_empty(), "{explained}");
    for host in left_out {
        assert_eq!(host["domain"], "norte-a", "{explained}");
        assert_eq!(host["why"], "its failure domain is out", "{explained}");
    }
    let out = degraded(installation)?;
    assert!(out.contains("failure domain norte-a is out"), "{out}");
    run(installation, 0, &["domain", "in", "norte-a", "--wait"])?;

    // An invalid object and a contested address stop no other change.
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
    let degraded = degraded(installation)?;
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

/// Guards against a command that works only with the stand-ins of its own tests: operators change
/// a running installation, look at it, and read its burn.
#[test]
fn verify_operators_run_an_installation() -> Result<()> {
    let folder = env::temp_dir().join(format!("cardamomloom-operate-{}", std::process::id()));
    let mut installation = Installation::start(Customer::Lenas, &folder)?;
    operate(&mut installation)?;

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
    let services = report["services"].as_array().ok_or("no services")?;
    let catalogo = services
        .iter()
        .find(|service| service["service"] == "catalogo")
        .ok_or("no such service")?;
    assert_eq!(catalogo["windows"][0]["good"], load.flows);
    assert_eq!(catalogo["windows"][0]["bad"], 0);
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Guards against agents that take traffic in a failure domain that is out, because their service
/// was deleted or lost its id before.
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
    // Written last, the service itself loses its id.
    let mut rewritten = contested;
    rewritten["name"] = Value::from("pedidos");
    write_unchecked(&installation, "services/pedidos", &rewritten)?;
    run(
        &installation,
        0,
        &["domain", "out", "norte-b", "--reason", "flood"],
    )?;

    // The second host of each service is in norte-b. The bound of the design is 3 s.
    let deadline = Instant::now() + Duration::from_secs(3);
    let is_out = |service| -> Result<bool> {
        Ok(installation.agent_status(service, 1)?["domain_out"] == true)
    };
    while !(is_out(0)? && is_out(1)?) {
        assert!(
            Instant::now() < deadline,
            "an agent does not know that its failure domain is out"
        );
    }
    fs::remove_dir_all(&folder)?;
    Ok(())
}
