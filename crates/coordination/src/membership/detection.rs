//! Signs of life, silence and suspicion.

use {
    super::{BalancerMembership, Sender, SuspicionAction},
    cardamomloom_core::{DomainName, HostId, NodeId, Span, Time},
    cardamomloom_protocol::control::{HostState, Mark, Message, Subject},
    rand_chacha::rand_core::Rng,
    std::net::SocketAddr,
};

/// Other witnesses that are asked to check a balancer or a failure domain.
const ASKED_WITNESSES: usize = 3;

/// Members of a failure domain that are probed at a time.
const DOMAIN_PROBES: usize = 4;

impl BalancerMembership {
    pub(super) fn on_node_heard(&mut self, now: Time, node: NodeId) {
        self.timers.peer_heard = Some(now);
        let Some(peer) = self.peers.get(&node) else {
            return;
        };
        let domain = peer.domain.clone();
        let contact = self.contacts.entry(node).or_default();
        contact.heard = Some(now);
        contact.asked = None;
        self.on_alive(&Subject::Node(node));
        self.on_domain_heard(now, domain);
    }

    pub(super) fn on_host_heard(&mut self, now: Time, host: HostId, message: &Message) {
        let Some(entry) = self.replica.hosts().get(host) else {
            return;
        };
        let domain = entry.domain.clone();
        let announces = matches!(message, Message::Heartbeat(_) | Message::Announce { .. });
        // A probe is also answered to witnesses that the host does not announce itself to.
        if announces || self.heard.contains_key(&host) {
            self.heard.insert(host, now);
        }
        self.on_alive(&Subject::Host(host));
        self.on_domain_heard(now, domain);
    }

    fn on_domain_heard(&mut self, now: Time, domain: DomainName) {
        self.on_alive(&Subject::Domain(domain.clone()));
        self.domain_heard.insert(domain, now);
    }

    /// Ends the suspicion of a subject and refutes its mark.
    fn on_alive(&mut self, subject: &Subject) {
        self.unreachable_changed |= self.suspicions.is_unreachable(subject);
        self.suspicions.remove(subject);
        self.refute(subject);
    }

    fn refute(&mut self, subject: &Subject) {
        if let Some(mark) = self.replica.mark(subject)
            && mark.is_down
        {
            let refutation = Mark {
                counter: mark.counter + 1,
                is_down: false,
                subject: subject.clone(),
            };
            self.replica.merge_mark(&refutation);
        }
    }

    /// Merges marks of a peer; those of this balancer and its failure domain are refuted.
    pub(super) fn merge_marks(&mut self, now: Time, marks: &[Mark]) {
        let own_node = Subject::Node(self.identity.node);
        let own_domain = Subject::Domain(self.identity.domain.clone());
        for mark in marks {
            let was_down = self.replica.is_down(&mark.subject);
            if !self.replica.merge_mark(mark) {
                continue;
            }
            if mark.is_down && (mark.subject == own_node || mark.subject == own_domain) {
                self.refute(&mark.subject);
            } else if mark.is_down {
                self.settle_members(&mark.subject);
            } else if was_down && !mark.is_down {
                // Somebody is in contact with the subject although this process is not.
                let until = now + self.options.refuted_span;
                self.refuted.insert(mark.subject.clone(), until);
                self.restart_watch(now, &mark.subject);
            }
        }
    }

    /// Ends the suspicion of the members of a lost failure domain, and of the domain itself.
    fn settle_members(&mut self, subject: &Subject) {
        self.suspicions.remove(subject);
        if let Subject::Domain(domain) = subject {
            let mut suspicions = std::mem::take(&mut self.suspicions);
            suspicions.retain(|member| self.domain_of(member).as_ref() != Some(domain));
            self.suspicions = suspicions;
        }
    }

    /// Gives the hosts of a returned failure domain time to announce themselves.
    fn restart_watch(&mut self, now: Time, subject: &Subject) {
        let Subject::Domain(domain) = subject else {
            return;
        };
        for (host, heard) in &mut self.heard {
            let hosts = self.replica.hosts();
            if hosts
                .get(*host)
                .is_some_and(|entry| entry.domain == *domain)
            {
                *heard = (*heard).max(now);
            }
        }
    }

    /// Checks a subject that another balancer found silent.
    pub(super) fn on_suspect(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: Sender,
        subject: &Subject,
        claim: u64,
    ) {
        let Sender::Node(witness) = sender else {
            return;
        };
        let own = *subject == Subject::Node(self.identity.node)
            || *subject == Subject::Domain(self.identity.domain.clone());
        if own {
            return;
        }
        match subject {
            Subject::Host(host) => match self.replica.host(*host) {
                Some(entry) if entry.incarnation.0 == claim && entry.state != HostState::Gone => {}
                Some(_) => {
                    self.send_known(from, *host);
                    return;
                }
                None => return,
            },
            Subject::Node(_) | Subject::Domain(_) => {
                let known = self.claim_of(subject);
                if known != claim || self.replica.is_down(subject) {
                    let mark = self.replica.mark(subject).cloned();
                    self.send_all(
                        from,
                        mark.map(|mark| Message::Marks(vec![mark]))
                            .into_iter()
                            .collect(),
                    );
                    return;
                }
            }
        }
        self.suspicions.on_report(now, subject, claim, witness);
    }

    /// Returns the number under which the loss of a balancer or failure domain is claimed.
    fn claim_of(&self, subject: &Subject) -> u64 {
        self.replica
            .mark(subject)
            .map_or(0, |mark| u64::from(mark.counter))
    }

    /// Suspects hosts, balancers and failure domains that were silent for too long.
    pub(super) fn detect_silence(&mut self, now: Time) {
        let silent: Vec<HostId> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(**heard) > self.options.silence_span)
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            self.on_silent_host(now, host);
        }
        let unanswered: Vec<NodeId> = self
            .contacts
            .iter()
            .filter(|(_, contact)| {
                contact
                    .asked
                    .is_some_and(|asked| now.since(asked) > self.options.answer_span)
            })
            .map(|(node, _)| *node)
            .collect();
        for node in unanswered {
            if let Some(contact) = self.contacts.get_mut(&node) {
                contact.asked = None;
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

    fn on_silent_host(&mut self, now: Time, host: HostId) {
        let entry = self.replica.hosts().get(host).cloned();
        let Some(entry) = entry.filter(|entry| entry.state != HostState::Gone) else {
            self.heard.remove(&host);
            return;
        };
        let domain = Subject::Domain(entry.domain.clone());
        if self.suspicions.contains(&Subject::Host(host)) || self.replica.is_down(&domain) {
            return;
        }
        let own = self.identity.node;
        let witnesses = self.witnesses_of(host, Some(&entry.domain));
        if witnesses.iter().all(|peer| peer.node != own) {
            // The agent announces itself to others now, so that its silence means nothing here.
            self.heard.remove(&host);
            return;
        }
        self.suspicions
            .suspect(now, Subject::Host(host), entry.incarnation.0);
        self.suspect_domain(now, &entry.domain);
    }

    /// Suspects a failure domain of which nobody was heard, rather than all its members.
    fn suspect_domain(&mut self, now: Time, domain: &DomainName) {
        let heard = self.domain_heard.get(domain).copied().unwrap_or_default();
        let is_silent = now.since(heard) > self.options.domain_silence_span;
        if is_silent && *domain != self.identity.domain {
            let subject = Subject::Domain(domain.clone());
            let claim = self.claim_of(&subject);
            self.suspicions.suspect(now, subject, claim);
        }
    }

    /// Carries out what is due about suspected subjects.
    pub(super) fn advance_suspicions(&mut self, now: Time) {
        self.refuted.retain(|_, until| now < *until);
        let unreachable: Vec<HostId> = self.unreachable_hosts().collect();
        let mut suspicions = std::mem::take(&mut self.suspicions);
        let actions = suspicions.on_tick(now, |subject, detected_at| {
            self.is_deferred(subject, detected_at)
        });
        self.suspicions = suspicions;
        self.unreachable_changed |= !self.unreachable_hosts().eq(unreachable);
        for action in actions {
            match action {
                SuspicionAction::Probe(subject) => self.probe(&subject),
                SuspicionAction::SuspectDomain(subject) => {
                    if let Some(domain) = self.domain_of(&subject) {
                        let subject = Subject::Domain(domain);
                        let claim = self.claim_of(&subject);
                        self.suspicions.suspect(now, subject, claim);
                    }
                }
                SuspicionAction::Report(subject, claim) => self.ask(&subject, claim),
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

    /// Tells whether the failure domain of a subject was not heard since this process is sure of
    /// the subject's silence. The loss of the whole failure domain would settle the suspicion of
    /// its members as one event, so that it is checked first.
    fn is_deferred(&self, subject: &Subject, detected_at: Time) -> bool {
        /// Signs of life this long before are as good, which saves a check.
        const RECENT: Span = Span::from_millis(200);
        self.domain_of(subject).is_some_and(|domain| {
            let heard = self.domain_heard.get(&domain).copied().unwrap_or_default();
            domain != self.identity.domain && heard < detected_at - RECENT
        })
    }

    fn probe(&mut self, subject: &Subject) {
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
                self.pick(members, DOMAIN_PROBES)
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

    fn ask(&mut self, subject: &Subject, claim: u64) {
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
        let more = if targets.is_empty() {
            ASKED_WITNESSES
        } else {
            1
        };
        targets.extend(self.pick(others, more));
        for to in targets {
            let subject = subject.clone();
            self.send(to, Message::Suspect { subject, claim });
        }
    }

    /// Declares a subject lost that enough witnesses found silent.
    fn declare(&mut self, now: Time, subject: &Subject, claim: u64) {
        if self.refuted.contains_key(subject) {
            return;
        }
        if let Subject::Host(host) = subject {
            let entry = self.replica.hosts().get(*host).cloned();
            if let Some(mut entry) = entry.filter(|entry| entry.incarnation.0 == claim) {
                entry.state = HostState::Gone;
                self.replica.merge_host(now, entry);
            }
            self.heard.remove(host);
        } else if self.claim_of(subject) == claim && !self.replica.is_down(subject) {
            let counter = u32::try_from(claim).unwrap_or(u32::MAX).saturating_add(1);
            let mark = Mark {
                subject: subject.clone(),
                counter,
                is_down: true,
            };
            self.replica.merge_mark(&mark);
            self.settle_members(subject);
        }
        self.suspicions.remove(subject);
    }

    /// Returns some of the targets, chosen at random.
    pub(super) fn pick(&mut self, mut targets: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        let count = count.min(targets.len());
        for index in 0..count {
            let rest = targets.len() - index;
            let offset = usize::try_from(self.random.next_u64() % rest as u64).unwrap_or_default();
            targets.swap(index, index + offset);
        }
        targets.truncate(count);
        targets
    }
}
