//! Failure detection: last contact with subjects, suspicion, and liveness records.

use {
    super::{BalancerMembership, Sender, SuspicionAction},
    cardamomloom_core::{DomainName, HostId, NodeId, Span, Time},
    cardamomloom_protocol::control::{HostState, LivenessRecord, Message, Subject},
    rand_chacha::rand_core::Rng,
    std::net::SocketAddr,
};

/// Number of other balancers that receive a failure report about a balancer or a failure domain.
const REPORT_TARGETS: usize = 3;

/// Number of members of a failure domain that are probed at a time.
const PROBES_PER_DOMAIN: usize = 4;

impl BalancerMembership {
    pub(super) fn on_node_contact(&mut self, now: Time, node: NodeId) {
        self.timers.last_peer_contact = Some(now);
        let Some(peer) = self.peers.get(&node) else {
            return;
        };
        let domain = peer.domain.clone();
        let contact = self.peer_contacts.entry(node).or_default();
        contact.last_seen = Some(now);
        contact.unanswered_since = None;
        self.on_alive(&Subject::Node(node));
        self.on_domain_contact(now, domain);
    }

    pub(super) fn on_host_contact(&mut self, now: Time, host: HostId, message: &Message) {
        let Some(entry) = self.replica.hosts().get(host) else {
            return;
        };
        let domain = entry.domain.clone();
        let is_heartbeat = matches!(message, Message::Heartbeat(_) | Message::Announce { .. });
        // Hosts also answer probes from balancers that do not observe them.
        if is_heartbeat || self.host_last_seen.contains_key(&host) {
            self.host_last_seen.insert(host, now);
        }
        self.on_alive(&Subject::Host(host));
        self.on_domain_contact(now, domain);
    }

    fn on_domain_contact(&mut self, now: Time, domain: DomainName) {
        self.on_alive(&Subject::Domain(domain.clone()));
        self.domain_last_seen.insert(domain, now);
    }

    /// Ends the suspicion of a subject that a message shows to be alive, and refutes its loss.
    fn on_alive(&mut self, subject: &Subject) {
        self.unreachable_changed |= self.suspicions.is_unreachable(subject);
        self.suspicions.remove(subject);
        self.refute(subject);
    }

    fn refute(&mut self, subject: &Subject) {
        if let Some(record) = self.replica.liveness_record(subject)
            && record.is_down
        {
            let refutation = LivenessRecord {
                counter: record.counter + 1,
                is_down: false,
                subject: subject.clone(),
            };
            self.replica.merge_liveness_record(&refutation);
        }
    }

    /// Merges liveness records from a peer. Records that declare this balancer or its failure
    /// domain lost are refuted.
    pub(super) fn merge_liveness_records(&mut self, now: Time, records: &[LivenessRecord]) {
        let own_node = Subject::Node(self.identity.node);
        let own_domain = Subject::Domain(self.identity.domain.clone());
        for record in records {
            let was_down = self.replica.is_down(&record.subject);
            if !self.replica.merge_liveness_record(record) {
                continue;
            }
            if record.is_down && (record.subject == own_node || record.subject == own_domain) {
                self.refute(&record.subject);
            } else if record.is_down {
                self.end_suspicions_of_lost(&record.subject);
            } else if was_down && !record.is_down {
                // Another process has contact with the subject, even if this one has not.
                let until = now + self.options.refutation_hold_span;
                self.refuted_until.insert(record.subject.clone(), until);
                self.restart_host_timeouts(now, &record.subject);
            }
        }
    }

    /// Ends the suspicion of a subject that was declared lost. For a failure domain, this includes
    /// all its members.
    fn end_suspicions_of_lost(&mut self, subject: &Subject) {
        self.suspicions.remove(subject);
        if let Subject::Domain(domain) = subject {
            let mut suspicions = std::mem::take(&mut self.suspicions);
            suspicions.retain(|member| self.domain_of(member).as_ref() != Some(domain));
            self.suspicions = suspicions;
        }
    }

    /// Restarts the timeouts of the hosts in a failure domain that returned, which gives them time
    /// to announce themselves.
    fn restart_host_timeouts(&mut self, now: Time, subject: &Subject) {
        let Subject::Domain(domain) = subject else {
            return;
        };
        for (host, last_seen) in &mut self.host_last_seen {
            let hosts = self.replica.hosts();
            if hosts
                .get(*host)
                .is_some_and(|entry| entry.domain == *domain)
            {
                *last_seen = (*last_seen).max(now);
            }
        }
    }

    /// Processes a failure report of another balancer.
    ///
    /// Starts to suspect the subject too, unless the report is outdated. In this case the sender
    /// receives the newer host entry or liveness record.
    pub(super) fn on_suspect(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: Sender,
        subject: &Subject,
        claim: u64,
    ) {
        let Sender::Node(observer) = sender else {
            return;
        };
        let concerns_this_process = *subject == Subject::Node(self.identity.node)
            || *subject == Subject::Domain(self.identity.domain.clone());
        if concerns_this_process {
            return;
        }
        match subject {
            Subject::Host(host) => match self.replica.host(*host) {
                Some(entry) if entry.incarnation.0 == claim && entry.state != HostState::Gone => {}
                Some(_) => {
                    self.send_known_entry(from, *host);
                    return;
                }
                None => return,
            },
            Subject::Node(_) | Subject::Domain(_) => {
                let current_claim = self.claim_of(subject);
                if current_claim != claim || self.replica.is_down(subject) {
                    let record = self.replica.liveness_record(subject).cloned();
                    self.send_all(
                        from,
                        record
                            .map(|record| Message::LivenessRecords(vec![record]))
                            .into_iter()
                            .collect(),
                    );
                    return;
                }
            }
        }
        self.suspicions.on_report(now, subject, claim, observer);
    }

    /// Returns the claim under which a balancer or failure domain is suspected: the counter in its
    /// liveness record, or 0 without one.
    fn claim_of(&self, subject: &Subject) -> u64 {
        self.replica
            .liveness_record(subject)
            .map_or(0, |record| u64::from(record.counter))
    }

    /// Suspects hosts, balancers and failure domains whose timeouts have expired.
    pub(super) fn suspect_unresponsive(&mut self, now: Time) {
        let expired_hosts: Vec<HostId> = self
            .host_last_seen
            .iter()
            .filter(|(_, last_seen)| now.since(**last_seen) > self.options.host_timeout)
            .map(|(host, _)| *host)
            .collect();
        for host in expired_hosts {
            self.suspect_host(now, host);
        }
        let unresponsive_peers: Vec<NodeId> = self
            .peer_contacts
            .iter()
            .filter(|(_, contact)| {
                contact
                    .unanswered_since
                    .is_some_and(|asked_at| now.since(asked_at) > self.options.answer_timeout)
            })
            .map(|(node, _)| *node)
            .collect();
        for node in unresponsive_peers {
            if let Some(contact) = self.peer_contacts.get_mut(&node) {
                contact.unanswered_since = None;
            }
            let Some(peer) = self.peers.get(&node).filter(|peer| self.is_alive(peer)) else {
                continue;
            };
            let domain = peer.domain.clone();
            let subject = Subject::Node(node);
            let claim = self.claim_of(&subject);
            self.suspicions.suspect(now, subject, claim);
            self.suspect_domain(now, &domain);
        }
    }

    fn suspect_host(&mut self, now: Time, host: HostId) {
        let entry = self.replica.hosts().get(host).cloned();
        let Some(entry) = entry.filter(|entry| entry.state != HostState::Gone) else {
            self.host_last_seen.remove(&host);
            return;
        };
        let domain = Subject::Domain(entry.domain.clone());
        if self.suspicions.contains(&Subject::Host(host)) || self.replica.is_down(&domain) {
            return;
        }
        let own_node = self.identity.node;
        let observers = self.observers_of(host, Some(&entry.domain));
        if observers.iter().all(|peer| peer.node != own_node) {
            // The agent announces its host to other balancers now, so that the missing heartbeats
            // do not indicate a failure.
            self.host_last_seen.remove(&host);
            return;
        }
        self.suspicions
            .suspect(now, Subject::Host(host), entry.incarnation.0);
        self.suspect_domain(now, &entry.domain);
    }

    /// Suspects a failure domain when there was no recent contact with any member, so that its loss
    /// becomes one event rather than one for each member.
    fn suspect_domain(&mut self, now: Time, domain: &DomainName) {
        let last_seen = self
            .domain_last_seen
            .get(domain)
            .copied()
            .unwrap_or_default();
        let is_unresponsive = now.since(last_seen) > self.options.domain_timeout;
        if is_unresponsive && *domain != self.identity.domain {
            let subject = Subject::Domain(domain.clone());
            let claim = self.claim_of(&subject);
            self.suspicions.suspect(now, subject, claim);
        }
    }

    /// Executes the actions that suspicions require now.
    pub(super) fn advance_suspicions(&mut self, now: Time) {
        self.refuted_until.retain(|_, until| now < *until);
        let previously_unreachable: Vec<HostId> = self.unreachable_hosts().collect();
        let mut suspicions = std::mem::take(&mut self.suspicions);
        let actions = suspicions.on_tick(now, |subject, detected_at| {
            self.is_deferred(subject, detected_at)
        });
        self.suspicions = suspicions;
        self.unreachable_changed |= !self.unreachable_hosts().eq(previously_unreachable);
        for action in actions {
            match action {
                SuspicionAction::Probe(subject) => self.send_probes(&subject),
                SuspicionAction::SuspectDomain(subject) => {
                    if let Some(domain) = self.domain_of(&subject) {
                        let subject = Subject::Domain(domain);
                        let claim = self.claim_of(&subject);
                        self.suspicions.suspect(now, subject, claim);
                    }
                }
                SuspicionAction::Report(subject, claim) => {
                    self.send_failure_reports(&subject, claim);
                }
                SuspicionAction::Declare(subject, claim) => self.declare(now, &subject, claim),
            }
        }
    }

    fn domain_of(&self, subject: &Subject) -> Option<DomainName> {
        match subject {
            Subject::Host(host) => self.replica.host(*host).map(|entry| entry.domain.clone()),
            Subject::Node(node) => self.peers.get(node).map(|peer| peer.domain.clone()),
            Subject::Domain(_) => None,
        }
    }

    /// Returns whether there was no contact with the failure domain of a subject since this process
    /// detected the failure of the subject.
    ///
    /// The loss of the whole failure domain would end the suspicions of all its members as one
    /// event, so that it is evaluated first.
    fn is_deferred(&self, subject: &Subject, detected_at: Time) -> bool {
        /// Contact up to this long before the detection is recent enough, which saves probes.
        const RECENT: Span = Span::from_millis(200);
        self.domain_of(subject).is_some_and(|domain| {
            let last_seen = self
                .domain_last_seen
                .get(&domain)
                .copied()
                .unwrap_or_default();
            domain != self.identity.domain && last_seen < detected_at - RECENT
        })
    }

    fn send_probes(&mut self, subject: &Subject) {
        let targets: Vec<SocketAddr> = match subject {
            Subject::Host(host) => self
                .replica
                .hosts()
                .get(*host)
                .map(|entry| entry.control_address)
                .into_iter()
                .collect(),
            Subject::Node(node) => self
                .peers
                .get(node)
                .map(|peer| peer.control_address)
                .into_iter()
                .collect(),
            Subject::Domain(domain) => {
                let members = self.members_of(domain);
                self.pick_random(members, PROBES_PER_DOMAIN)
            }
        };
        for to in targets {
            self.send(to, Message::Probe);
        }
    }

    fn members_of(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let nodes = self
            .peers
            .values()
            .filter(|peer| peer.domain == *domain)
            .map(|peer| peer.control_address);
        let hosts = self
            .replica
            .hosts()
            .iter()
            .filter(|entry| entry.domain == *domain && entry.state != HostState::Gone)
            .map(|entry| entry.control_address);
        nodes.chain(hosts).collect()
    }

    fn send_failure_reports(&mut self, subject: &Subject, claim: u64) {
        let mut targets: Vec<SocketAddr> = Vec::new();
        let mut others: Vec<SocketAddr> = self
            .alive_peers()
            .filter(|peer| !self.suspicions.contains(&Subject::Node(peer.node)))
            .filter(|peer| {
                !self
                    .suspicions
                    .contains(&Subject::Domain(peer.domain.clone()))
            })
            .map(|peer| peer.control_address)
            .collect();
        if let Subject::Host(host) = subject {
            let domain = self
                .replica
                .hosts()
                .get(*host)
                .map(|entry| entry.domain.clone());
            targets = self.assignment(*host, domain.as_ref());
            targets.retain(|address| *address != self.identity.control_address);
            others.retain(|address| !targets.contains(address));
        }
        let other_count = if targets.is_empty() {
            REPORT_TARGETS
        } else {
            1
        };
        targets.extend(self.pick_random(others, other_count));
        for to in targets {
            let subject = subject.clone();
            self.send(to, Message::Suspect { subject, claim });
        }
    }

    /// Declares a subject lost whose failure a quorum of observers has detected, unless its loss
    /// was refuted recently.
    fn declare(&mut self, now: Time, subject: &Subject, claim: u64) {
        if self.refuted_until.contains_key(subject) {
            return;
        }
        if let Subject::Host(host) = subject {
            let entry = self.replica.hosts().get(*host).cloned();
            if let Some(mut entry) = entry.filter(|entry| entry.incarnation.0 == claim) {
                entry.state = HostState::Gone;
                self.replica.merge_host(now, entry);
            }
            self.host_last_seen.remove(host);
        } else if self.claim_of(subject) == claim && !self.replica.is_down(subject) {
            let counter = u32::try_from(claim).unwrap_or(u32::MAX).saturating_add(1);
            let record = LivenessRecord {
                subject: subject.clone(),
                counter,
                is_down: true,
            };
            self.replica.merge_liveness_record(&record);
            self.end_suspicions_of_lost(subject);
        }
        self.suspicions.remove(subject);
    }

    /// Returns up to `count` random targets.
    pub(super) fn pick_random(
        &mut self,
        mut targets: Vec<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let count = count.min(targets.len());
        for index in 0..count {
            let remaining = targets.len() - index;
            let offset =
                usize::try_from(self.random.next_u64() % remaining as u64).unwrap_or_default();
            targets.swap(index, index + offset);
        }
        targets.truncate(count);
        targets
    }
}
