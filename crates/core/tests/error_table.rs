//! The closed list of error kinds and its table.

use {
    cardamomloom_core::{ErrorKind, Span, Weight, error::Result},
    std::collections::BTreeSet,
};

/// Guards against two kinds that operators or scripts cannot tell apart.
#[test]
fn verify_error_answers_are_distinct() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.entry().name).collect();
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|k| k.entry().exit_code).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    assert!(!codes.contains(&0));
}

/// Guards against units whose text form cannot be read back.
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
