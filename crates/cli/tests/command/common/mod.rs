//! Runs the command as a process against a stand-in store and stand-in endpoints, which the test
//! process serves.

use {
    cardamomloom_core::ObjectVersion,
    cardamomloom_standins::store::Store,
    cardamomloom_transport::http::{self, Inspect},
    serde_json::{Value, json},
    std::{
        error::Error,
        net::SocketAddr,
        process::Command,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{net::TcpListener, runtime::Runtime},
};

pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Stand-in store, and the runtime that serves it and the endpoints of balancers and agents.
pub struct TestEnvironment {
    pub store: Store,
    pub store_url: String,
    runtime: Runtime,
}

/// Exit code and output of one run of the command.
#[derive(Debug)]
pub struct CommandOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Endpoint of a balancer or an agent whose answers a test sets.
#[derive(Default)]
pub struct Endpoint {
    /// Answers to `/status`, each with the number of preceding calls from which on it is given.
    statuses: Mutex<Vec<(usize, Value)>>,
    calls: AtomicUsize,
    burn: Mutex<Value>,
}

impl Endpoint {
    pub fn set_status(&self, status: Value) {
        *self.statuses.lock().unwrap_or_else(PoisonError::into_inner) = vec![(0, status)];
    }

    pub fn set_burn(&self, burn: Value) {
        *self.burn.lock().unwrap_or_else(PoisonError::into_inner) = burn;
    }

    /// Sets the status that is returned once `/status` was called `calls` more times. Until then, the
    /// status that was set last is returned.
    pub fn set_status_after(&self, calls: usize, status: Value) {
        let from = self.calls.load(Ordering::Relaxed) + calls;
        self.statuses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((from, status));
    }
}

impl Inspect for Endpoint {
    fn is_ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn status(&self) -> Value {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        let current = statuses.iter().rfind(|(from, _)| *from <= call);
        current
            .map(|(_, status)| status.clone())
            .unwrap_or_default()
    }

    fn burn(&self) -> Value {
        self.burn
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl TestEnvironment {
    pub fn start() -> Result<Self> {
        let runtime = Runtime::new()?;
        let store = Store::default();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let store_url = format!("http://{}", listener.local_addr()?);
        runtime.spawn(store.clone().serve(listener));
        Ok(Self {
            store,
            store_url,
            runtime,
        })
    }

    /// Serves an endpoint on a free port and returns its address.
    pub fn serve(&self, endpoint: Arc<Endpoint>) -> Result<SocketAddr> {
        let listener = self.runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        self.runtime
            .spawn(http::serve(listener, endpoint, std::future::pending()));
        Ok(address)
    }

    /// Writes the registration of a balancer with this endpoint to the store.
    pub fn register(&self, node: u64, http_address: SocketAddr) -> Result<()> {
        let value = json!({
            "node": node, "domain": "tas-hobart", "incarnation": 1,
            "data_address": "127.0.0.1:1", "control_address": "127.0.0.1:2",
            "http_address": http_address,
        });
        self.write(&format!("nodes/n-{node:x}"), value)
    }

    /// Creates an object in the store; fails if it exists.
    pub fn write(&self, key: &str, value: Value) -> Result<()> {
        self.store
            .write(key, ObjectVersion(0), Some(value))
            .map_err(|current| format!("object {key} already exists: {current:?}"))?;
        Ok(())
    }

    /// Returns the value of an object, or null if it does not exist.
    pub fn value(&self, key: &str) -> Value {
        self.store
            .read(key)
            .and_then(|object| object.value)
            .unwrap_or_default()
    }

    /// Returns the version of an object, or 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.store.read(key).map_or(0, |object| object.version.0)
    }

    /// Runs the command with `--store` followed by `arguments`.
    pub fn run(&self, arguments: &[&str]) -> Result<CommandOutput> {
        let output = Command::new(env!("CARGO_BIN_EXE_cardamomloom"))
            .args(["--store", &self.store_url])
            .args(arguments)
            .output()?;
        Ok(CommandOutput {
            exit_code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout)?,
            stderr: String::from_utf8(output.stderr)?,
        })
    }

    /// Runs the command, checks its exit code, and returns its standard output followed by its standard
    /// error.
    pub fn expect(&self, exit_code: i32, arguments: &[&str]) -> Result<String> {
        let output = self.run(arguments)?;
        assert_eq!(output.exit_code, exit_code, "{arguments:?}: {output:?}");
        Ok(output.stdout + &output.stderr)
    }
}

/// Returns a valid service object.
pub fn service() -> Value {
    json!({
        "name": "bookings", "id": 1, "owner": "nets", "class": "critical",
        "addresses": ["203.0.113.1"], "port": 80, "slots_per_host": 4,
        "connections_per_slot": 2_000, "hash_key": "00112233445566778899aabbccddeeff",
    })
}

/// Returns a failure domain object that is in service.
pub fn domain(name: &str) -> Value {
    json!({"name": name, "region": "tas", "state": "in"})
}
