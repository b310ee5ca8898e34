//! Completeness of the list of metrics on the operations page.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const PREFIX: &str = "cardamomloom_";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the metric names that follow `marker` in a text.
fn collect_names_after(text: &str, marker: &str, names: &mut BTreeSet<String>) {
    for part in text.split(marker).skip(1) {
        let name: String = part
            .chars()
            .take_while(|c| c.is_ascii_lowercase() || *c == '_')
            .collect();
        names.insert(format!("{PREFIX}{name}"));
    }
}

fn collect_names_in_sources(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_names_in_sources(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            for marker in [
                "counter!(\"cardamomloom_",
                "gauge!(\"cardamomloom_",
                "histogram!(\"cardamomloom_",
            ] {
                collect_names_after(&text, marker, names);
            }
        }
    }
}

/// Guards against metrics missing from the operations page, and rows for metrics that no longer
/// exist.
#[test]
fn verify_operations_page_lists_every_metric() {
    let mut published = BTreeSet::new();
    for name in ["daemon", "transport", "coordination", "state"] {
        collect_names_in_sources(
            &repository_root().join("crates").join(name).join("src"),
            &mut published,
        );
    }
    collect_names_in_sources(&repository_root().join("platform/src"), &mut published);
    let page = fs::read_to_string(repository_root().join("docs/OPERATIONS.md")).expect("the page");
    let mut listed = BTreeSet::new();
    collect_names_after(&page, "\n| cardamomloom_", &mut listed);
    assert_eq!(listed, published);
}
