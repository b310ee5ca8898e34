//! Control of the backend servers of an installation: behaviour, crashes and counters.

use {
    super::{Installation, Result},
    crate::backend::{Behaviour, ServerCounts},
    std::{collections::BTreeMap, io::Error, net::SocketAddr},
};

impl Installation {
    /// Returns the control address of the backend server of a host.
    fn backend_control_address(&self, service: usize, host: usize) -> Result<SocketAddr> {
        self.hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| host.backend_control_address)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))
    }

    /// Sets the behaviour of the backend server of a host.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes or its backend server does not answer.
    pub fn set_behaviour(&self, service: usize, host: usize, behaviour: Behaviour) -> Result<()> {
        let address = self.backend_control_address(service, host)?;
        self.put_json(&format!("http://{address}/behaviour"), &behaviour)
    }

    /// Resets all connections of the backend server of a host and makes it cold, without notice to
    /// the agent.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes or its backend server does not answer.
    pub fn crash_server(&self, service: usize, host: usize) -> Result<()> {
        let address = self.backend_control_address(service, host)?;
        self.post(&format!("http://{address}/crash"))
    }

    /// Returns the counters of the backend server of a host.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes or its backend server does not answer.
    pub fn server_counts(&self, service: usize, host: usize) -> Result<ServerCounts> {
        let address = self.backend_control_address(service, host)?;
        self.get_json(&format!("http://{address}/counts"))
    }

    /// Returns the number of requests that the backend server of a host ran; a request that ran
    /// twice counts as two.
    ///
    /// # Errors
    ///
    /// Fails when no host has these indexes or its backend server does not answer.
    pub fn executed_requests(&self, service: usize, host: usize) -> Result<u64> {
        let address = self.backend_control_address(service, host)?;
        let counts: BTreeMap<String, u64> = self.get_json(&format!("http://{address}/executed"))?;
        Ok(counts.values().sum())
    }

    /// Returns the number of requests that ran more than once, on one backend server or several.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub fn duplicated_requests(&self) -> Result<u64> {
        let mut executions: BTreeMap<String, u64> = BTreeMap::new();
        for host in self.hosts.iter().flatten() {
            let url = format!("http://{}/executed", host.backend_control_address);
            let counts: BTreeMap<String, u64> = self.get_json(&url)?;
            for (request, count) in counts {
                *executions.entry(request).or_default() += count;
            }
        }
        Ok(executions.values().filter(|count| **count > 1).count() as u64)
    }
}
