//! Messages of a balancer to agents: configuration, hosts of their services and assigned balancers.

use {
    super::{BalancerMembership, Sender},
    crate::dissemination::{exchange, index::item_digest, objects::object_id},
    cardamomloom_core::{DomainName, HostId, ServiceId, ServiceName, Time},
    cardamomloom_protocol::{
        control::{Heartbeat, HostEntry, HostState, LivenessRecord, Message, Subject},
        object::SERVICES_PREFIX,
        store_api::Object,
    },
    std::net::SocketAddr,
};

/// Number of balancers that an agent may contact when all its observers are unresponsive and the
/// store is unavailable.
const MAX_SPARES: usize = 3;

/// Returns the digest of the control sockets of the observers of a host, which is independent of
/// their order.
#[must_use]
pub fn assignment_digest(balancers: &[SocketAddr]) -> u32 {
    balancers
        .iter()
        .map(|address| item_digest(object_id(&address.to_string()), 1))
        .fold(0, |combined, digest| combined ^ digest)
}

impl BalancerMembership {
    pub(super) fn on_announce(&mut self, now: Time, from: SocketAddr, entry: HostEntry) {
        let host = entry.host;
        let is_superseded = self
            .replica
            .host(host)
            .is_some_and(|known| known.supersedes(&entry));
        if is_superseded {
            self.send_known_entry(from, host);
            return;
        }
        let is_gone = entry.state == HostState::Gone;
        self.replica.merge_host(now, entry);
        if is_gone {
            self.host_last_seen.remove(&host);
            self.suspicions.remove(&Subject::Host(host));
        } else {
            self.host_last_seen.insert(host, now);
        }
    }

    /// Sends the known entry of a host, so that its agent refutes the entry if it is wrong.
    pub(super) fn send_known_entry(&mut self, to: SocketAddr, host: HostId) {
        let entries: Vec<HostEntry> = self.replica.host(host).cloned().into_iter().collect();
        let messages = exchange::hosts_messages(self.identity.node, entries);
        self.send_all(to, messages);
    }

    /// Sends recent changes of hosts to the agents of the same service whose hosts this balancer
    /// observes.
    ///
    /// The agents would also receive the changes in answer to a heartbeat, but up to a second
    /// later. Until then two agents of a service would use different tables.
    pub(super) fn notify_agents(&mut self) {
        let changed_hosts = self.replica.take_changed_hosts();
        if changed_hosts.is_empty() || self.is_congested() {
            return;
        }
        let observed: Vec<(SocketAddr, ServiceId, HostId)> = self
            .host_last_seen
            .keys()
            .filter_map(|host| self.replica.hosts().get(*host))
            .map(|entry| (entry.control_address, entry.service, entry.host))
            .collect();
        for (to, service, host) in observed {
            let entries: Vec<HostEntry> = changed_hosts
                .iter()
                .filter(|changed_host| **changed_host != host)
                .filter_map(|changed_host| self.replica.host(*changed_host))
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
            self.send_known_entry(from, heartbeat.host);
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
        self.observers_of(host, domain)
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
        let records: Vec<LivenessRecord> =
            self.replica.domain_liveness_records().cloned().collect();
        if !records.is_empty() {
            self.send(to, Message::LivenessRecords(records));
        }
        let objects = exchange::object_messages(self.replica.agent_objects(service));
        self.send_all(to, objects);
        self.send_assignment(to, balancers);
    }

    fn send_assignment(&mut self, to: SocketAddr, balancers: Vec<SocketAddr>) {
        let spare_candidates = self
            .alive_peers()
            .map(|peer| peer.control_address)
            .filter(|address| !balancers.contains(address))
            .collect();
        let spares = self.pick_random(spare_candidates, MAX_SPARES);
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
            // A balancer sends the configuration only to agents that it observes. Otherwise a seed
            // that all starting agents contact would exhaust its control budget.
            self.send_assignment(from, balancers);
            return;
        }
        let key = format!("{SERVICES_PREFIX}{service}");
        let service = self.replica.objects().get(&key).cloned();
        self.send_config(from, service.as_ref(), balancers);
    }
}
