//! Starts processes, reads the addresses they print and ends them.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{
        env,
        ffi::OsStr,
        io::{BufRead, BufReader, Error, Result as IoResult},
        path::PathBuf,
        process::{Child, ChildStdout, Command, ExitStatus, Stdio},
        sync::mpsc::{Receiver, RecvTimeoutError, channel},
        thread,
        time::{Duration, Instant},
    },
};

/// Result of handling a process.
pub type Result<T> = IoResult<T>;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prints the line that tells a parent process which addresses are bound.
pub fn print_bound(addresses: &Value) {
    let mut line = addresses.clone();
    line["event"] = Value::from("bound");
    println!("{line}");
}

/// A process that is killed when the value is dropped.
pub struct Process {
    name: String,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program that lies beside the present one.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start<I, S>(name: &str, program: &str, arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| Error::other(format!("cannot start {program}: {error}")))?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| Error::other("process has no standard output"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            lines: read_lines(output),
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the line with `"event":"<event>"` and returns a field of it.
    ///
    /// # Errors
    ///
    /// Fails when the process prints no such line within 20 s, or the field is missing.
    pub fn wait_for_event(&self, event: &str) -> Result<Value> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = match self.lines.recv_timeout(left) {
                Ok(line) => line,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    return Err(Error::other(format!(
                        "{}: no line with event {event:?}",
                        self.name
                    )));
                }
            };
            match serde_json::from_str::<Value>(&line) {
                Ok(value) if value["event"] == event => return Ok(value),
                _ => {}
            }
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id()).map_err(Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(Error::from)
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Error::other(format!(
                    "{} did not end within {timeout:?}",
                    self.name
                )));
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Returns the lines that were printed and not yet read.
    #[must_use]
    pub fn printed(&self) -> Vec<String> {
        self.lines.iter().collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only when the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a field of a line as a typed value.
///
/// # Errors
///
/// Fails when the field is missing or of another type.
pub fn field<T: DeserializeOwned>(line: &Value, name: &str) -> Result<T> {
    T::deserialize(&line[name]).map_err(|error| Error::other(format!("field {name:?}: {error}")))
}

/// Returns the path of a program in the folder of the present one, or the one above it, where
/// Cargo puts programs while tests run from a folder below.
fn program_path(program: &str) -> Result<PathBuf> {
    let own = env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.exists())
        .ok_or_else(|| Error::other(format!("program {program} is not built")))
}

fn read_lines(output: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                // The reader is gone; the output is still read, so that the process never blocks.
            }
        }
    });
    lines
}
