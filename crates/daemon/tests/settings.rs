//! Parsing of settings, and errors that name the offending field.

use {
    cardamomloom_coordination::passthrough::load::{LoadControlOptions, PlacementPolicy},
    cardamomloom_core::{ErrorKind, error::Error},
    cardamomloom_daemon::settings::{parse, parse_any},
};

const VALID: &str = r#"{
    // A balancer in Hobart.
    "domain": "tas-hobart",
    "data_address": "127.0.0.1:0",
    "control_address": "127.0.0.1:0",
    "http_address": "127.0.0.1:0",
    "store_url": "http://127.0.0.1:1",
    "datagram_key": "00112233445566778899aabbccddeeff",
    "role": {"balancer": {"linger_ms": 500}}
}"#;

fn message_of(text: &str) -> String {
    let error = parse(text).expect_err("the settings are wrong");
    assert_eq!(error.kind, ErrorKind::InvalidArgument);
    error.message.to_string()
}

/// Guards against settings with comments being rejected.
#[test]
fn verify_valid_settings_with_comments() {
    parse(VALID).expect("valid settings");
}

/// Guards against a misspelled field being ignored.
#[test]
fn verify_unknown_field_is_named() {
    let text = VALID.replace("linger_ms", "linger");
    let message = message_of(&text);
    assert!(message.contains("role.balancer"), "{message}");
    assert!(message.contains("linger"), "{message}");
}

/// Guards against an error for a value out of range that omits the field, the value or the range.
#[test]
fn verify_range_error_names_field_value_and_range() {
    let message = message_of(&VALID.replace("500", "60001"));
    for part in ["role.balancer.linger_ms", "60001", "0 to 60000"] {
        assert!(message.contains(part), "{message}");
    }
}

/// Guards against an error for a value of the wrong type that omits the field.
#[test]
fn verify_type_error_names_the_field() {
    let message = message_of(&VALID.replace("\"tas-hobart\"", "7"));
    assert!(message.contains("domain"), "{message}");
}

const PASS_THROUGH: &str = r#"{
    "delivery": "pass_through",
    "node": "edge-1",
    "domain": "tas-hobart",
    "data_address": "127.0.0.1:7100",
    "readiness_address": "127.0.0.1:7103",
    "control_port": 7104,
    "http_port": 7105,
    "store_address": "127.0.0.1:80",
    "datagram_key": "00112233445566778899aabbccddeeff",
    LOAD_CONTROL
    "role": {"balancer": {"linger_ms": 500}}
}"#;

fn load_control(fields: &str) -> Result<LoadControlOptions, Error> {
    let settings = parse_any(&PASS_THROUGH.replace("LOAD_CONTROL", fields))?;
    Ok(settings.into_pass_through()?.load_control.options())
}

/// Guards against load control that is on without a setting, and against a field that is not passed on.
#[test]
fn verify_load_control_is_off_by_default_and_each_field_is_passed_on() {
    let off = LoadControlOptions::default();
    assert_eq!(load_control(""), Ok(off));
    assert_eq!(load_control(r#""load_control": {},"#), Ok(off));
    let placement = LoadControlOptions {
        placement: PlacementPolicy::ExpectedWait,
        ..off
    };
    let cases = [
        (r#""placement": "expected_wait""#, placement),
        (
            r#""placement": "expected_wait", "prefers_own_domain": true"#,
            LoadControlOptions {
                prefers_own_domain: true,
                ..placement
            },
        ),
        (
            r#""placement": "rendezvous", "rejects_late_flows": true"#,
            LoadControlOptions {
                rejects_late_flows: true,
                ..off
            },
        ),
    ];
    for (fields, expected) in cases {
        let fields = format!(r#""load_control": {{{fields}}},"#);
        assert_eq!(load_control(&fields), Ok(expected), "{fields}");
    }
}

/// Guards against a wrong value of the load control that is ignored, or whose error does not say what to
/// write in its place.
#[test]
fn verify_load_control_errors_name_field_value_and_allowed_values() {
    let cases: [(&str, &[&str]); 6] = [
        (
            r#"{"placement": "fastest"}"#,
            &[
                "load_control.placement",
                "fastest",
                "\"rendezvous\" or \"expected_wait\"",
            ],
        ),
        (
            r#"{"placement": 7}"#,
            &[
                "load_control.placement",
                "7",
                "\"rendezvous\" or \"expected_wait\"",
            ],
        ),
        (
            r#"{"rejects_late_flows": "yes"}"#,
            &["load_control.rejects_late_flows", "yes", "boolean"],
        ),
        (
            r#"{"prefers_own_domain": true}"#,
            &[
                "load_control.prefers_own_domain",
                "true",
                "rendezvous",
                "expected_wait",
            ],
        ),
        (
            r#"{"reject_late_flows": true}"#,
            &["load_control", "reject_late_flows", "rejects_late_flows"],
        ),
        (r"null", &["load_control", "null"]),
    ];
    for (value, parts) in cases {
        let fields = format!(r#""load_control": {value},"#);
        let error = load_control(&fields).expect_err("the settings are wrong");
        assert_eq!(error.kind, ErrorKind::InvalidArgument);
        for part in parts {
            assert!(error.message.contains(part), "{value}: {}", error.message);
        }
    }
}
