//! The operators' page lists every metric that the processes publish.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const PREFIX: &str = "cardamomloom_";

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the metric names that follow `opening` in a text.
fn names_after(text: &str, opening: &str, names: &mut BTreeSet<String>) {
    for part in text.split(opening).skip(1) {
        let name: String = part
            .chars()
            .take_while(|c| c.is_ascii_lowercase() || *c == '_')
            .collect();
        names.insert(format!("{PREFIX}{name}"));
    }
}

fn names_in_sources(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            names_in_sources(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            for opening in [
                "counter!(\"cardamomloom_",
                "gauge!(\"cardamomloom_",
                "histogram!(\"cardamomloom_",
            ] {
                names_after(&text, opening, names);
            }
        }
    }
}

/// Guards against a metric that operators cannot look up, and a row for one that is gone.
#[test]
fn verify_operations_page_lists_every_metric() {
    let mut published = BTreeSet::new();
    for name in ["daemon", "transport", "coordination", "state"] {
        names_in_sources(
            &repository().join("crates").join(name).join("src"),
            &mut published,
        );
    }
    names_in_sources(&repository().join("platform/src"), &mut published);
    let page = fs::read_to_string(repository().join("docs/OPERATIONS.md")).expect("the page");
    let mut listed = BTreeSet::new();
    names_after(&page, "\n| cardamomloom_", &mut listed);
    assert_eq!(listed, published);
}
