//! docs/OPERATIONS.md against the closed lists of error kinds and alerts.

use {
    cardamomloom_core::{Alert, ErrorKind},
    std::collections::BTreeSet,
};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the rows of the table in a section, as cells.
fn table(section: &str) -> Vec<Vec<&'static str>> {
    PAGE.split("\n## ")
        .find(|text| text.starts_with(section))
        .unwrap_or_default()
        .lines()
        .filter(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// Guards against error kinds that operators cannot look up, or whose entry is out of date.
#[test]
fn verify_page_lists_every_error_kind() {
    let expected: Vec<Vec<String>> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.entry();
            vec![
                answer.name.to_owned(),
                answer.exit_code.to_string(),
                answer.http_status.to_string(),
                answer.grpc_code.to_string(),
                if answer.is_retryable { "yes" } else { "no" }.to_owned(),
                answer.action.to_owned(),
            ]
        })
        .collect();
    assert_eq!(table("Error kinds\n"), expected);
}

/// Guards against alerts without an entry, or with one that is out of date.
#[test]
fn verify_page_lists_every_alert() {
    let expected: Vec<Vec<&str>> = Alert::ALL
        .iter()
        .map(|alert| {
            let entry = alert.entry();
            vec![entry.name, entry.source, entry.action]
        })
        .collect();
    assert_eq!(table("Alerts\n"), expected);
    let names: BTreeSet<_> = Alert::ALL.iter().map(|alert| alert.entry().name).collect();
    assert_eq!(names.len(), Alert::ALL.len());
}
