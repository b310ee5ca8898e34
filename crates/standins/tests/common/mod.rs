//! Shared setup of the tests that start processes.

use std::{
    env, fs,
    io::Result,
    path::Path,
    sync::{Mutex, PoisonError},
};

/// Held by the running test, because each test starts too many processes to run beside another.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Runs `test` with a folder for settings files while no other test of the same program runs, then
/// removes the folder.
///
/// Panics when `test` fails.
pub fn run_exclusively<T>(name: &str, test: impl FnOnce(&Path) -> Result<T>) -> T {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let settings_folder =
        env::temp_dir().join(format!("cardamomloom-{name}-{}", std::process::id()));
    let result = test(&settings_folder);
    let _ = fs::remove_dir_all(&settings_folder);
    result.expect("every process starts, answers and exits in time")
}
