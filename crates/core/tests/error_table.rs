//! Tests of the list of error kinds and of the text form of units.

use {
    cardamomloom_core::{ErrorKind, Span, Weight, error::Result},
    std::collections::BTreeSet,
};

/// Guards against two kinds with the same name or exit code, which scripts could not tell apart.
#[test]
fn verify_error_entries_are_distinct() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.entry().name).collect();
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.entry().exit_code).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    assert!(!codes.contains(&0));
}

/// Guards against units whose text form cannot be parsed.
#[test]
fn verify_units_round_trip() -> Result<()> {
    for span in [
        Span::from_micros(7),
        Span::from_millis(7),
        Span::from_secs(7),
    ] {
        assert_eq!(span.to_string().parse::<Span>()?, span);
    }
    assert_eq!(
        Weight::STANDARD.to_string().parse::<Weight>()?,
        Weight::STANDARD
    );
    Ok(())
}
