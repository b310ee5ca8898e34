//! List of the hosts of the service, as balancers send it to an agent.

use {
    super::Agent,
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{HostAdvertisement, HostListDigest, HostListPart},
    log::warn,
    std::collections::BTreeMap,
};

/// Parts of a list of hosts that have arrived.
#[derive(Debug, Default)]
pub(super) struct PartialHostList {
    list: HostListDigest,
    parts: BTreeMap<u8, Vec<HostAdvertisement>>,
}

impl Agent {
    /// Collects the parts of a list of hosts, and replaces the present list when all have arrived.
    pub(super) fn on_host_list_part(&mut self, now: Time, part: HostListPart) {
        let partial = &mut self.control.partial_list;
        if partial.list != part.list {
            *partial = PartialHostList {
                list: part.list,
                parts: BTreeMap::new(),
            };
        }
        partial.parts.insert(part.position, part.hosts);
        if partial.parts.len() < usize::from(part.parts) {
            return;
        }
        let parts = std::mem::take(partial).parts.into_values();
        let hosts: Vec<HostAdvertisement> = parts.flatten().collect();
        if HostListDigest::of(&hosts) != part.list {
            warn!(event = "host_list_rejected", hosts = hosts.len(); "list of hosts rejected: its parts do not match its digest");
            return;
        }
        self.apply_host_list(now, hosts);
        self.touch_listed_agents(now);
    }

    /// Replaces the list of hosts of the service.
    pub(super) fn apply_host_list(&mut self, now: Time, hosts: Vec<HostAdvertisement>) {
        self.control.hosts_digest = HostListDigest::of(&hosts);
        let retention = self.options.agent_retention;
        // An agent that is missing in this list is still asked in lookups until the retention is over.
        let has_new_agent = hosts.iter().any(|host| {
            let listed_at = self.agents_listed_at.get(&host.agent);
            listed_at.is_none_or(|at| now.since(*at) > retention)
        });
        if has_new_agent {
            self.control.agents_changed_at = now;
        }
        self.service_hosts = hosts;
    }

    /// Records that balancers list the present agents of the service, and forgets those that have
    /// not been listed for long.
    pub(super) fn touch_listed_agents(&mut self, now: Time) {
        let retention = self.options.agent_retention;
        self.agents_listed_at
            .retain(|_, listed_at| now.since(*listed_at) <= retention);
        let listed_agents = self.service_hosts.iter().map(|host| (host.agent, now));
        self.agents_listed_at.extend(listed_agents);
    }
}
