//! Tests of the commands that change the catalogue.

use {
    crate::common::{Endpoint, Result, TestEnvironment, domain, service},
    cardamomloom_standins::store::{Faults, LostAnswers},
    serde_json::{Value, json},
    std::{fs, path::PathBuf, sync::Arc, thread},
};

/// Writes a file for `apply` and returns its path.
fn write_file(name: &str, text: &str) -> Result<String> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text)?;
    Ok(path.to_string_lossy().into_owned())
}

/// Guards against a dry run that writes, and against a first service that cannot be created, applied
/// again without change, edited and read back with one command each, as documented.
#[test]
fn verify_first_service_is_applied_and_edited() -> Result<()> {
    let environment = TestEnvironment::start()?;
    let text = format!(
        "// The service of the practice nets.\n{{\"key\": \"services/bookings\", \"value\": {}}}",
        service()
    );
    let path = write_file("first-edit.json", &text)?;
    let dry_run = environment.expect(0, &["apply", "-f", &path, "--dry-run"])?;
    assert!(dry_run.contains("port: (not set) -> 80"), "{dry_run}");
    assert_eq!(environment.version("services/bookings"), 0);

    environment.expect(0, &["apply", "-f", &path])?;
    let reapplied = environment.expect(0, &["apply", "-f", &path])?;
    assert!(reapplied.contains("unchanged"), "{reapplied}");
    let set = ["edit", "services/bookings", "--set", "owner=grounds"];
    let edited = environment.expect(0, &set)?;
    assert!(
        edited.contains("owner: \"nets\" -> \"grounds\""),
        "{edited}"
    );
    let stored: Value =
        serde_json::from_str(&environment.expect(0, &["get", "services/bookings", "--json"])?)?;
    assert_eq!(stored["value"]["owner"], "grounds");
    assert_eq!(stored["version"], 2);
    Ok(())
}

/// Guards against a write based on an outdated version that overwrites the newer one, and against a
/// conflict message without the field, its value and the versions.
#[test]
fn verify_conflict_names_field_value_and_version() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    let shown = environment.expect(0, &["get", "services/bookings", "--json"])?;
    let path = write_file("conflict.json", &shown)?;
    environment.expect(0, &["edit", "services/bookings", "--set", "port=81"])?;

    let conflict = environment.expect(4, &["apply", "-f", &path])?;
    for part in [
        "\"port\" is 81",
        "version 2",
        "made on version 1",
        "nothing was written",
    ] {
        assert!(conflict.contains(part), "{part}: {conflict}");
    }
    assert_eq!(environment.value("services/bookings")["port"], 81);
    Ok(())
}

/// Guards against invalid input that is written in part, and against error messages that do not name
/// the field and the accepted values.
#[test]
fn verify_invalid_input_writes_nothing() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    environment.write("domains/tas-hobart", domain("tas-hobart"))?;
    let partly_invalid = format!(
        "[{{\"key\": \"domains/norte-a\", \"value\": {}}}, {{\"key\": \"services/x\", \"value\": {{}}}}]",
        domain("norte-a")
    );
    let partly_invalid = write_file("partly-invalid.json", &partly_invalid)?;
    let mut duplicate = service();
    duplicate["name"] = json!("copy");
    duplicate["id"] = json!(2);
    let duplicate = json!({"key": "services/copy", "value": duplicate}).to_string();
    let duplicate_address = write_file("taken.json", &duplicate)?;
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
        (vec!["apply", "-f", &partly_invalid], "services/x"),
        (
            vec!["apply", "-f", &duplicate_address],
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
        let output = environment.run(&arguments)?;
        let exit_code = if expected == "not_found" { 3 } else { 2 };
        assert_eq!(output.exit_code, exit_code, "{arguments:?}: {output:?}");
        assert!(output.stderr.contains(expected), "{expected}: {output:?}");
    }
    let list: Value = serde_json::from_str(&environment.expect(0, &["list", "--json"])?)?;
    assert_eq!(list["version"], 2, "{list}");
    Ok(())
}

/// Guards against a wrong report about a write whose answer was lost, whether the store had executed
/// the write or not.
#[test]
fn verify_lost_answers_are_settled() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    let set_lost_answers = |lost_answers| {
        environment.store.set_faults(Faults {
            lost_answers,
            ..Faults::default()
        });
    };
    set_lost_answers(LostAnswers::AfterWrite);
    let done = environment.expect(0, &["edit", "services/bookings", "--set", "port=81"])?;
    assert!(done.contains("done, version 2"), "{done}");

    set_lost_answers(LostAnswers::BeforeWrite);
    let short_timeout = ["--settle-timeout-ms", "300"];
    let edit = [
        &short_timeout[..],
        &["edit", "services/bookings", "--set", "port=82"],
    ]
    .concat();
    let unknown = environment.expect(7, &edit)?;
    assert_eq!(environment.version("services/bookings"), 2);
    set_lost_answers(LostAnswers::None);

    // The message contains the command that resolves the outcome.
    let command = unknown
        .split("run: cardamomloom --store ")
        .nth(1)
        .and_then(|rest| rest.split(" (").next())
        .ok_or("the message contains no command that resolves the outcome")?;
    let resolve: Vec<&str> = command.split_whitespace().skip(1).collect();
    let pending = environment.expect(7, &resolve)?;
    assert!(pending.contains("version 2 is still present"), "{pending}");
    environment.expect(0, &["edit", "services/bookings", "--set", "port=83"])?;
    let resolved = environment.expect(4, &resolve)?;
    assert!(
        resolved.contains("not done, and it never will be"),
        "{resolved}"
    );
    Ok(())
}

/// Guards against a change that is reported as done although the store is down.
#[test]
fn verify_change_fails_while_the_store_is_down() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("domains/tas-hobart", domain("tas-hobart"))?;
    environment.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    environment.expect(
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
    assert_eq!(environment.version("domains/tas-hobart"), 1);
    Ok(())
}

/// Guards against an operator who takes all failure domains out of service by mistake, and against a
/// deletion that brings a failure domain back: one without an object is in service.
#[test]
fn verify_last_failure_domain_needs_force() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("domains/tas-hobart", domain("tas-hobart"))?;
    environment.write("domains/tas-devonport", domain("tas-devonport"))?;
    environment.expect(0, &["domain", "out", "tas-hobart", "--reason", "flood"])?;
    let refused = environment.expect(5, &["domain", "out", "tas-devonport", "--reason", "fire"])?;
    assert!(refused.contains("the last one that is in"), "{refused}");
    assert_eq!(environment.value("domains/tas-devonport")["state"], "in");

    let forced = [
        "domain",
        "out",
        "tas-devonport",
        "--reason",
        "fire",
        "--force",
    ];
    environment.expect(0, &forced)?;
    environment.expect(0, &["domain", "in", "tas-hobart"])?;
    let deletion = environment.expect(5, &["delete", "domains/tas-devonport"])?;
    assert!(
        deletion.contains("one without an object is in"),
        "{deletion}"
    );
    assert_eq!(environment.value("domains/tas-hobart")["state"], "in");
    assert_eq!(environment.value("domains/tas-devonport")["reason"], "fire");
    Ok(())
}

/// Guards against the deletion of a balancer's registration by mistake, and against a registration
/// of a lost instance that cannot be deleted at all.
#[test]
fn verify_deletion_of_a_registration_needs_force() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.register(1, "127.0.0.1:9".parse()?)?;
    environment.write("status/readers", json!({}))?;
    environment.expect(5, &["delete", "nodes/n-1"])?;
    environment.expect(0, &["delete", "nodes/n-1", "--force"])?;
    assert_eq!(environment.version("nodes/n-1"), 0);
    environment.expect(2, &["delete", "status/readers", "--force"])?;
    assert_eq!(environment.version("status/readers"), 2);
    Ok(())
}

/// Guards against a connection limit that falls below the number of open flows on a host, or that is
/// lowered while that number is unknown.
#[test]
fn verify_limit_below_use_needs_force() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    let host = json!({"host": 7, "service": 1, "state": "Ready"});
    let balancer = Arc::new(Endpoint::default());
    balancer.set_status(json!({"hosts": [host]}));
    let agent = Arc::new(Endpoint::default());
    agent.set_status(json!({"host": host, "open_flows": 5_000}));
    environment.register(1, environment.serve(balancer)?)?;
    let agents = environment.serve(agent)?.to_string();
    let edit = |per_slot: &'static str| ["edit", "services/bookings", "--set", per_slot];

    let unknown = environment.expect(5, &edit("connections_per_slot=1000"))?;
    assert!(unknown.contains("present use is not known"), "{unknown}");
    let known = [
        &["--agents", &agents],
        &edit("connections_per_slot=1000")[..],
    ]
    .concat();
    let below = environment.expect(5, &known)?;
    assert!(
        below.contains("becomes 4000 per host, and a host has 5000"),
        "{below}"
    );
    environment.expect(5, &["delete", "services/bookings"])?;
    let above = [
        &["--agents", &agents],
        &edit("connections_per_slot=1500")[..],
    ]
    .concat();
    environment.expect(0, &above)?;
    environment.expect(
        0,
        &[&edit("connections_per_slot=1000")[..], &["--force"]].concat(),
    )?;
    assert_eq!(
        environment.value("services/bookings")["connections_per_slot"],
        1_000
    );
    Ok(())
}

/// Guards against processes that overwrite each other's fields when they change one object
/// concurrently.
#[test]
fn verify_racing_processes_overwrite_nothing() -> Result<()> {
    let environment = TestEnvironment::start()?;
    environment.write("services/bookings", service())?;
    environment.store.set_faults(Faults {
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
    let outputs: Vec<_> = thread::scope(|scope| {
        let run = |set| environment.run(&["edit", "services/bookings", "--set", set]);
        let threads = settings.map(|set| scope.spawn(move || run(set).ok()));
        threads
            .into_iter()
            .map(|thread| thread.join().ok().flatten())
            .collect()
    });
    let value = environment.value("services/bookings");
    let mut accepted = 0;
    for (set, output) in settings.iter().zip(outputs) {
        let output = output.ok_or("the command could not be run")?;
        let (field, expected) = set.split_once('=').unwrap_or_default();
        let stored = value[field].to_string().replace('"', "");
        match output.exit_code {
            0 => accepted += u64::from(stored == expected),
            4 => assert!(output.stderr.contains("nothing was written"), "{output:?}"),
            _ => return Err(format!("{set}: {output:?}").into()),
        }
        assert_eq!(
            output.exit_code == 0,
            stored == expected,
            "{set}: {output:?}: {value}"
        );
    }
    assert_eq!(environment.version("services/bookings"), 1 + accepted);
    assert!(accepted >= 1);
    Ok(())
}
