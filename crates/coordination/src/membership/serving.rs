//! What a balancer tells the agents that announce themselves to it.

use {
    super::{BalancerMembership, Sender},
    crate::dissemination::{exchange, index::item_digest, objects::object_id},
    cardamomloom_core::{DomainName, HostId, ServiceId, ServiceName, Time},
    cardamomloom_protocol::{
        control::{Heartbeat, HostEntry, HostState, Mark, Message, Subject},
        object::SERVICES_PREFIX,
        store_api::Object,
    },
    std::net::SocketAddr,
};

/// Balancers that an agent can turn to when all its witnesses are silent and the store is down.
const SPARES: usize = 3;

/// Digest of the control sockets of the witnesses of a host, in any order.
#[must_use]
pub fn assignment_digest(balancers: &[SocketAddr]) -> u32 {
    balancers
        .iter()
        .map(|address| item_digest(object_id(&address.to_string()), 1))
        .fold(0, |all, digest| all ^ digest)
}

impl BalancerMembership {
    pub(super) fn on_announce(&mut self, now: Time, from: SocketAddr, entry: HostEntry) {
        let host = entry.host;
        let is_outdated = self
            .replica
            .host(host)
            .is_some_and(|known| known.supersedes(&entry));
        if is_outdated {
            self.send_known(from, host);
            return;
        }
        let is_gone = entry.state == HostState::Gone;
        self.replica.merge_host(now, entry);
        if is_gone {
            self.heard.remove(&host);
            self.suspicions.remove(&Subject::Host(host));
        } else {
            self.heard.insert(host, now);
        }
    }

    /// Tells an agent what is known of its host, so that it refutes a wrong claim.
    pub(super) fn send_known(&mut self, to: SocketAddr, host: HostId) {
        let known: Vec<HostEntry> = self.replica.host(host).cloned().into_iter().collect();
        let messages = exchange::hosts_messages(self.identity.node, known);
        self.send_all(to, messages);
    }

    /// Tells the agents that announce themselves here about changes to hosts of their service.
    ///
    /// Their heartbeats would ask for the changes too, up to a second later; until then two agents
    /// of a service work with different tables.
    pub(super) fn notify_agents(&mut self) {
        let changed = self.replica.take_changed_hosts();
        if changed.is_empty() || self.is_congested() {
            return;
        }
        let served: Vec<(SocketAddr, ServiceId, HostId)> = self
            .heard
            .keys()
            .filter_map(|host| self.replica.hosts().get(*host))
            .map(|entry| (entry.control_address, entry.service, entry.host))
            .collect();
        for (to, service, host) in served {
            let entries: Vec<HostEntry> = changed
                .iter()
                .filter(|changed| **changed != host)
                .filter_map(|changed| self.replica.host(*changed))
                .filter(|entry| entry.service == service)
                .cloned()
                .collect();
            let messages = exchange::hosts_messages(self.identity.node, entries);
            self.send_all(to, messages);
        }
    }

    pub(super) fn on_heartbeat(&mut self, from: SocketAddr, heartbeat: Heartbeat) {
        let Some(entry) = self.replica.host(heartbeat.host).cloned() else {
            self.send(
                from,
                Message::HeartbeatAnswer {
                    hosts_digest: heartbeat.hosts_digest,
                    config_digest: heartbeat.config_digest,
                    wants_entry: true,
                },
            );
            return;
        };
        if entry.state == HostState::Gone || entry.incarnation != heartbeat.incarnation {
            self.send_known(from, heartbeat.host);
            self.send(
                from,
                Message::HeartbeatAnswer {
                    hosts_digest: heartbeat.hosts_digest,
                    config_digest: heartbeat.config_digest,
                    wants_entry: true,
                },
            );
            return;
        }
        let service = self.replica.objects().by_service(entry.service).cloned();
        let hosts_digest = self.replica.service_digest(entry.service);
        let balancers = self.assignment(entry.host, Some(&entry.domain));
        let config_digest =
            self.replica.config_digest(service.as_ref()) ^ assignment_digest(&balancers);
        if hosts_digest != heartbeat.hosts_digest && !self.is_congested() {
            let entries: Vec<HostEntry> = self
                .replica
                .hosts()
                .iter()
                .filter(|known| known.service == entry.service)
                .cloned()
                .collect();
            let messages = exchange::hosts_messages(self.identity.node, entries);
            self.send_all(from, messages);
        }
        if config_digest != heartbeat.config_digest {
            self.send_config(from, service.as_ref(), balancers);
        }
        if heartbeat.wants_answer {
            let answer = Message::HeartbeatAnswer {
                hosts_digest,
                config_digest,
                wants_entry: false,
            };
            self.send(from, answer);
        }
    }

    pub(super) fn assignment(&self, host: HostId, domain: Option<&DomainName>) -> Vec<SocketAddr> {
        self.witnesses_of(host, domain)
            .iter()
            .map(|peer| peer.control_address)
            .collect()
    }

    fn send_config(
        &mut self,
        to: SocketAddr,
        service: Option<&Object>,
        balancers: Vec<SocketAddr>,
    ) {
        let marks: Vec<Mark> = self.replica.domain_marks().cloned().collect();
        if !marks.is_empty() {
            self.send(to, Message::Marks(marks));
        }
        let objects = exchange::object_messages(self.replica.agent_objects(service));
        self.send_all(to, objects);
        self.send_assignment(to, balancers);
    }

    fn send_assignment(&mut self, to: SocketAddr, balancers: Vec<SocketAddr>) {
        let others = self
            .alive_peers()
            .map(|peer| peer.control_address)
            .filter(|address| !balancers.contains(address))
            .collect();
        let spares = self.pick(others, SPARES);
        self.send(to, Message::Assignment { balancers, spares });
    }

    pub(super) fn on_config_request(
        &mut self,
        from: SocketAddr,
        sender: Sender,
        service: &ServiceName,
        domain: &DomainName,
    ) {
        let Sender::Host(host) = sender else { return };
        let balancers = self.assignment(host, Some(domain));
        if !balancers.contains(&self.identity.control_address) {
            // Each balancer gives the configuration to its own agents only; a seed that all
            // starting agents turn to would otherwise exhaust its budget.
            self.send_assignment(from, balancers);
            return;
        }
        let key = format!("{SERVICES_PREFIX}{service}");
        let service = self.replica.objects().get(&key).cloned();
        self.send_config(from, service.as_ref(), balancers);
    }
}
