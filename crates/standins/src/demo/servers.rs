//! Backend servers of an installation: their behaviour and their counts.

use {
    super::{Installation, Result},
    crate::backend::{Behaviour, ServerCounts},
    std::{collections::BTreeMap, io::Error, net::SocketAddr},
};

impl Installation {
    fn backend_address(&self, service: usize, host: usize) -> Result<SocketAddr> {
        self.hosts
            .get(service)
            .and_then(|hosts| hosts.get(host))
            .map(|host| host.backend_address)
            .ok_or_else(|| Error::other(format!("no host {host} of service {service}")))
    }

    /// Sets the behaviour of the backend server of a host.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes, or it does not answer.
    pub fn set_behaviour(&self, service: usize, host: usize, behaviour: Behaviour) -> Result<()> {
        let address = self.backend_address(service, host)?;
        self.put_json(&format!("http://{address}/behaviour"), &behaviour)
    }

    /// Makes the backend server of a host cold and resets its connections, without notice.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes, or it does not answer.
    pub fn crash_server(&self, service: usize, host: usize) -> Result<()> {
        let address = self.backend_address(service, host)?;
        self.post(&format!("http://{address}/crash"))
    }

    /// Returns the counts of the backend server of a host.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes, or it does not answer.
    pub fn server_counts(&self, service: usize, host: usize) -> Result<ServerCounts> {
        let address = self.backend_address(service, host)?;
        self.get_json(&format!("http://{address}/counts"))
    }

    /// Returns how many requests the backend server of a host ran.
    ///
    /// # Errors
    ///
    /// Fails when there is none with these indexes, or it does not answer.
    pub fn executed(&self, service: usize, host: usize) -> Result<u64> {
        let address = self.backend_address(service, host)?;
        let counts: BTreeMap<String, u64> = self.get_json(&format!("http://{address}/executed"))?;
        Ok(counts.values().sum())
    }

    /// Returns how many requests ran more than once, over all backend servers.
    ///
    /// # Errors
    ///
    /// Fails when a backend server does not answer.
    pub fn duplicated(&self) -> Result<u64> {
        let mut executed: BTreeMap<String, u64> = BTreeMap::new();
        for host in self.hosts.iter().flatten() {
            let url = format!("http://{}/executed", host.backend_address);
            let counts: BTreeMap<String, u64> = self.get_json(&url)?;
            for (request, count) in counts {
                *executed.entry(request).or_default() += count;
            }
        }
        Ok(executed.values().filter(|count| **count > 1).count() as u64)
    }
}
