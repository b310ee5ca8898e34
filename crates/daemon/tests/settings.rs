//! Parsing of settings, and errors that name the offending field.

use {cardamomloom_core::ErrorKind, cardamomloom_daemon::settings::parse};

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
