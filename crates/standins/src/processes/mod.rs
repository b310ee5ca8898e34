//! Starts child processes, reads the addresses that they print, and ends them.

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

/// Result of an operation on a child process.
pub type Result<T> = IoResult<T>;

/// Longest wait for a line with an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prints `addresses` as one JSON line with `"event":"bound"`, from which the parent process reads
/// the bound addresses.
pub fn print_bound(addresses: &Value) {
    let mut line = addresses.clone();
    line["event"] = Value::from("bound");
    println!("{line}");
}

/// A child process that is killed when the value is dropped.
pub struct Process {
    name: String,
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program from the directory of the current executable or its parent directory.
    ///
    /// `name` identifies the process in error messages.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built or cannot be started.
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
            .map_err(|error| Error::other(format!("cannot start program {program}: {error}")))?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| Error::other(format!("{program}: standard output is not piped")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            lines: read_lines(output),
        })
    }

    /// Returns the id that the operating system assigned to the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the JSON line with `"event":"<event>"` and returns the whole line.
    ///
    /// Other lines before it are discarded.
    ///
    /// # Errors
    ///
    /// Fails when the process prints no such line within 20 s or before it closes its output.
    pub fn wait_for_event(&self, event: &str) -> Result<Value> {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = match self.lines.recv_timeout(remaining) {
                Ok(line) => line,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    return Err(Error::other(format!(
                        "{}: no line with event {event:?} within {EVENT_TIMEOUT:?} or before exit",
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

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails when the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id()).map_err(Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(Error::from)
    }

    /// Waits until the process exits by itself and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when the process is still running after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Error::other(format!(
                    "{}: still running after {timeout:?}",
                    self.name
                )));
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Returns the printed lines that were not read yet.
    ///
    /// Blocks until the process closes its standard output, usually by exiting.
    #[must_use]
    pub fn remaining_lines(&self) -> Vec<String> {
        self.lines.iter().collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `kill` fails only when the process has already exited; `wait` reaps it in both cases.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Deserializes the field `name` of a JSON line.
///
/// # Errors
///
/// Fails when the field is missing or has another type.
pub fn field<T: DeserializeOwned>(line: &Value, name: &str) -> Result<T> {
    T::deserialize(&line[name])
        .map_err(|error| Error::other(format!("field {name:?} of a printed line: {error}")))
}

/// Returns the path of a program in the directory of the current executable or in its parent.
///
/// Cargo puts programs in the parent directory of the one from which tests run.
fn program_path(program: &str) -> Result<PathBuf> {
    let current_program = env::current_exe()?;
    current_program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(program))
        .find(|path| path.exists())
        .ok_or_else(|| {
            Error::other(format!(
                "program {program} is not in the directory of {} or its parent; build it first",
                current_program.display()
            ))
        })
}

/// Starts a thread that sends each line of the output until the output ends.
fn read_lines(output: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                // The receiver was dropped. Reading goes on, because the process would block on a
                // full pipe.
            }
        }
    });
    lines
}
