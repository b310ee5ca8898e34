//! The record of a case: what was sent, answered and run, with the time of each.

use std::{
    fs::File,
    io::{Result, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record of a case; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file in place of an earlier one.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Appends a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panics");
        writeln!(file, "{:9.3} {text}", self.now_s()).expect("the record can be written");
    }

    /// Appends a line and prints it too.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now_s());
        self.line(text);
    }
}
