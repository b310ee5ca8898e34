//! What the tests of real processes share.

use std::{
    env, fs,
    io::Result,
    path::Path,
    sync::{Mutex, PoisonError},
};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a test with a folder for its settings while no other test of the file runs.
pub fn exclusive<T>(name: &str, test: impl FnOnce(&Path) -> Result<T>) -> T {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = env::temp_dir().join(format!("cardamomloom-{name}-{}", std::process::id()));
    let result = test(&folder);
    let _ = fs::remove_dir_all(&folder);
    result.expect("all processes start and end")
}
