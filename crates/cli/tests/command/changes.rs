//! Changes of the catalogue by the command.

use {
    crate::common::{Endpoint, Result, World, domain, service},
    cardamomloom_standins::store::{Faults, LostAnswers},
    serde_json::{Value, json},
    std::{fs, path::PathBuf, sync::Arc, thread},
};

fn file(name: &str, text: &str) -> Result<String> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text)?;
    Ok(path.to_string_lossy().into_owned())
}

/// Guards against a first edit that needs more than the documented steps, and a dry run that
/// writes.
#[test]
fn verify_first_edit() -> Result<()> {
    let world = World::start()?;
    let text = format!(
        "// The service of the practice nets.\n{{\"key\": \"services/bookings\", \"value\": {}}}",
        service()
    );
    let path = file("first-edit.json", &text)?;
    let tried = world.expect(0, &["apply", "-f", &path, "--dry-run"])?;
    assert!(tried.contains("port: (not set) -> 80"), "{tried}");
    assert_eq!(world.version("services/bookings"), 0);

    world.expect(0, &["apply", "-f", &path])?;
    let again = world.expect(0, &["apply", "-f", &path])?;
    assert!(again.contains("unchanged"), "{again}");
    let set = ["edit", "services/bookings", "--set", "owner=grounds"];
    let edited = world.expect(0, &set)?;
    assert!(
        edited.contains("owner: \"nets\" -> \"grounds\""),
        "{edited}"
    );
    let got: Value =
        serde_json::from_str(&world.expect(0, &["get", "services/bookings", "--json"])?)?;
    assert_eq!(got["value"]["owner"], "grounds");
    assert_eq!(got["version"], 2);
    Ok(())
}

/// Guards against a conflict that overwrites, or that does not name field, value and version.
#[test]
fn verify_conflict_names_field_value_and_version() -> Result<()> {
    let world = World::start()?;
    world.write("services/bookings", service())?;
    let shown = world.expect(0, &["get", "services/bookings", "--json"])?;
    let path = file("conflict.json", &shown)?;
    world.expect(0, &["edit", "services/bookings", "--set", "port=81"])?;

    let lost = world.expect(4, &["apply", "-f", &path])?;
    for part in [
        "\"port\" is 81",
        "version 2",
        "made on version 1",
        "nothing was written",
    ] {
        assert!(lost.contains(part), "{part}: {lost}");
    }
    assert_eq!(world.value("services/bookings")["port"], 81);
    Ok(())
}

/// Guards against bad input that is accepted in part, or whose error does not help.
#[test]
fn verify_bad_input_changes_nothing() -> Result<()> {
    let world = World::start()?;
    world.write("services/bookings", service())?;
    world.write("domains/tas-hobart", domain("tas-hobart"))?;
    let other = format!(
        "[{{\"key\": \"domains/norte-a\", \"value\": {}}}, {{\"key\": \"services/x\", \"value\": {{}}}}]",
        domain("norte-a")
    );
    let partly = file("partly-invalid.json", &other)?;
    let mut taken = service();
    taken["name"] = json!("copy");
    taken["id"] = json!(2);
    let taken = json!({"key": "services/copy", "value": taken}).to_string();
    let taken = file("taken.json", &taken)?;
    let edit = |set: &'static str| vec!["edit", "services/bookings", "--set", set];
    let cases: Vec<(Vec<&str>, &str)> = vec![
        (edit("port=0"), "\"port\" is 0; allowed is 1 to 65535"),
        (
            edit("port=70000"),
            "\"port\": invalid value: integer `70000`, allowed is a number from 0 to 65535",
        ),
        (
            edit("class=gold"),
            "\"class\": unknown variant `gold`, expected one of `bulk`, `standard`, `critical`",
        ),
        (edit("colour=red"), "unknown field `colour`"),
        (
            edit("slots_per_host=5000"),
            "\"slots_per_host\" is 5000; allowed is 1 to 1024",
        ),
        (vec!["edit", "services/bookings"], "--set"),
        (
            vec!["edit", "Services", "--set", "a=1"],
            "\"key\" is \"Services\"",
        ),
        (vec!["edit", "nodes/n-1", "--set", "a=1"], "not_found"),
        (vec!["apply", "-f", &partly], "services/x"),
        (
            vec!["apply", "-f", &taken],
            "203.0.113.1 with port 80, which service bookings has",
        ),
        (
            vec!["domain", "out", "tas-hobart", "--reason", " "],
            "--reason",
        ),
        (vec!["domain", "out", "tas-hobart"], "reason"),
        (vec!["list", "--colour"], "colour"),
        (
            vec!["status", "--wait-timeout-ms", "0"],
            "allowed is 1 to 3600000",
        ),
        (
            vec!["explain", "here", "203.0.113.1:80"],
            "\"caller\" is \"here\"",
        ),
        (vec![], "command"),
    ];
    for (arguments, expected) in cases {
        let ran = world.run(&arguments)?;
        let code = if expected == "not_found" { 3 } else { 2 };
        assert_eq!(ran.code, code, "{arguments:?}: {ran:?}");
        assert!(ran.stderr.contains(expected), "{expected}: {ran:?}");
    }
    let keys: Value = serde_json::from_str(&world.expect(0, &["list", "--json"])?)?;
    assert_eq!(keys["version"], 2, "{keys}");
    Ok(())
}

/// Guards against an answer that is lost after or before the write and then reported wrongly.
#[test]
fn verify_lost_answers_are_settled() -> Result<()> {
    let world = World::start()?;
    world.write("services/bookings", service())?;
    let lose = |lost_answers| {
        world.store.set_faults(Faults {
            lost_answers,
            ..Faults::default()
        });
    };
    lose(LostAnswers::AfterWrite);
    let done = world.expect(0, &["edit", "services/bookings", "--set", "port=81"])?;
    assert!(done.contains("done, version 2"), "{done}");

    lose(LostAnswers::BeforeWrite);
    let quick = ["--settle-timeout-ms", "300"];
    let edit = [
        &quick[..],
        &["edit", "services/bookings", "--set", "port=82"],
    ]
    .concat();
    let unknown = world.expect(7, &edit)?;
    assert_eq!(world.version("services/bookings"), 2);
    lose(LostAnswers::None);

    // The message names the command that settles the outcome.
    let command = unknown
        .split("run: cardamomloom --store ")
        .nth(1)
        .and_then(|rest| rest.split(" (").next())
        .ok_or("the message names no command")?;
    let settle: Vec<&str> = command.split_whitespace().skip(1).collect();
    let pending = world.expect(7, &settle)?;
    assert!(pending.contains("version 2 is still present"), "{pending}");
    world.expect(0, &["edit", "services/bookings", "--set", "port=83"])?;
    let settled = world.expect(4, &settle)?;
    assert!(
        settled.contains("not done, and it never will be"),
        "{settled}"
    );
    Ok(())
}

/// Guards against a change that is reported as done while the store is down.
#[test]
fn verify_store_down_is_not_done() -> Result<()> {
    let world = World::start()?;
    world.write("domains/tas-hobart", domain("tas-hobart"))?;
    world.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    world.expect(
        6,
        &[
            "domain",
            "out",
            "tas-hobart",
            "--reason",
            "flood",
            "--force",
        ],
    )?;
    assert_eq!(world.version("domains/tas-hobart"), 1);
    Ok(())
}

/// Guards against an operator who takes out everything by mistake.
#[test]
fn verify_last_failure_domain_needs_force() -> Result<()> {
    let world = World::start()?;
    world.write("domains/tas-hobart", domain("tas-hobart"))?;
    world.write("domains/tas-devonport", domain("tas-devonport"))?;
    world.expect(0, &["domain", "out", "tas-hobart", "--reason", "flood"])?;
    let refused = world.expect(5, &["domain", "out", "tas-devonport", "--reason", "fire"])?;
    assert!(refused.contains("the last one that is in"), "{refused}");
    assert_eq!(world.value("domains/tas-devonport")["state"], "in");

    let forced = [
        "domain",
        "out",
        "tas-devonport",
        "--reason",
        "fire",
        "--force",
    ];
    world.expect(0, &forced)?;
    world.expect(0, &["domain", "in", "tas-hobart"])?;
    let back = world.expect(5, &["delete", "domains/tas-devonport"])?;
    assert!(back.contains("one without an object is in"), "{back}");
    assert_eq!(world.value("domains/tas-hobart")["state"], "in");
    assert_eq!(world.value("domains/tas-devonport")["reason"], "fire");
    Ok(())
}

/// Guards against a registration that is deleted by mistake, and one of a lost instance that
/// cannot be deleted.
#[test]
fn verify_deletion_of_a_registration_needs_force() -> Result<()> {
    let world = World::start()?;
    world.register(1, "127.0.0.1:9".parse()?)?;
    world.write("status/readers", json!({}))?;
    world.expect(5, &["delete", "nodes/n-1"])?;
    world.expect(0, &["delete", "nodes/n-1", "--force"])?;
    assert_eq!(world.version("nodes/n-1"), 0);
    world.expect(2, &["delete", "status/readers", "--force"])?;
    assert_eq!(world.version("status/readers"), 2);
    Ok(())
}

/// Guards against a connection limit below the present use, known or not.
#[test]
fn verify_limit_below_use_needs_force() -> Result<()> {
    let world = World::start()?;
    world.write("services/bookings", service())?;
    let host = json!({"host": 7, "service": 1, "state": "Ready"});
    let balancer = Arc::new(Endpoint::default());
    balancer.set_status(json!({"hosts": [host]}));
    let agent = Arc::new(Endpoint::default());
    agent.set_status(json!({"host": host, "open_flows": 5_000}));
    world.register(1, world.serve(balancer)?)?;
    let agents = world.serve(agent)?.to_string();
    let edit = |per_slot: &'static str| ["edit", "services/bookings", "--set", per_slot];

    let unknown = world.expect(5, &edit("connections_per_slot=1000"))?;
    assert!(unknown.contains("present use is not known"), "{unknown}");
    let known = [
        &["--agents", &agents],
        &edit("connections_per_slot=1000")[..],
    ]
    .concat();
    let below = world.expect(5, &known)?;
    assert!(
        below.contains("becomes 4000 per host, and a host has 5000"),
        "{below}"
    );
    world.expect(5, &["delete", "services/bookings"])?;
    let above = [
        &["--agents", &agents],
        &edit("connections_per_slot=1500")[..],
    ]
    .concat();
    world.expect(0, &above)?;
    world.expect(
        0,
        &[&edit("connections_per_slot=1000")[..], &["--force"]].concat(),
    )?;
    assert_eq!(
        world.value("services/bookings")["connections_per_slot"],
        1_000
    );
    Ok(())
}

/// Guards against processes that overwrite each other when they change one object at once.
#[test]
fn verify_racing_processes_overwrite_nothing() -> Result<()> {
    let world = World::start()?;
    world.write("services/bookings", service())?;
    world.store.set_faults(Faults {
        delay_ms: 20,
        ..Faults::default()
    });
    let settings = [
        "owner=a",
        "port=81",
        "class=bulk",
        "slots_per_host=5",
        "connections_per_slot=2001",
        "slow_start_ms=1",
        "drain_timeout_ms=1",
        "objective_success_ppm=1",
    ];
    let ran: Vec<_> = thread::scope(|scope| {
        let run = |set| world.run(&["edit", "services/bookings", "--set", set]);
        let started = settings.map(|set| scope.spawn(move || run(set).ok()));
        started
            .into_iter()
            .map(|thread| thread.join().ok().flatten())
            .collect()
    });
    let value = world.value("services/bookings");
    let mut accepted = 0;
    for (set, ran) in settings.iter().zip(ran) {
        let ran = ran.ok_or("a process did not run")?;
        let (field, wanted) = set.split_once('=').unwrap_or_default();
        let present = value[field].to_string().replace('"', "");
        match ran.code {
            0 => accepted += u64::from(present == wanted),
            4 => assert!(ran.stderr.contains("nothing was written"), "{ran:?}"),
            _ => return Err(format!("{set}: {ran:?}").into()),
        }
        assert_eq!(ran.code == 0, present == wanted, "{set}: {ran:?}: {value}");
    }
    assert_eq!(world.version("services/bookings"), 1 + accepted);
    assert!(accepted >= 1);
    Ok(())
}
