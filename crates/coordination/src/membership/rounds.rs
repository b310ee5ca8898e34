//! Gossip rounds, comparison of digests, repair and confirmation.

use {
    super::{BalancerMembership, Confirmation},
    cardamomloom_core::{HostId, NodeId, Span, Time},
    cardamomloom_protocol::control::{
        Gossip, HostEntry, HostState, ItemRank, Kind, Message, Subject,
    },
    rand_chacha::rand_core::Rng,
    std::net::SocketAddr,
};

/// Time between two checks for hosts that nobody watches and entries to forget.
const HOUSEKEEPING_INTERVAL: Span = Span::from_secs(1);

/// Hosts looked at in one check, so that 4,300 hosts take half a minute and little time each.
const ADOPTION_SHARE: u32 = 30;

/// Time after which an object that did not arrive is asked for again.
const WANT_INTERVAL: Span = Span::from_millis(300);

/// Time between two requests of a confirmation.
const CONFIRM_INTERVAL: Span = Span::from_millis(200);

/// Peers that are asked for a confirmation.
const CONFIRM_PEERS: usize = 3;

impl BalancerMembership {
    /// Does what is due; called every 50 to 100 ms.
    pub fn on_tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.detect_silence(now);
        self.advance_suspicions(now);
        if now >= self.timers.round {
            self.timers.round = now + self.options.round_interval;
            self.gossip_round();
        }
        if now >= self.timers.exchange && self.options.exchange_interval > Span::ZERO {
            let is_starting = !self.is_caught_up();
            self.timers.exchange = now
                + if is_starting {
                    CONFIRM_INTERVAL
                } else {
                    self.options.exchange_interval
                };
            self.compare(now);
        }
        if now >= self.timers.housekeeping {
            self.timers.housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.replica.forget(now);
            self.adopt_hosts(now);
            self.wanted
                .retain(|_, asked| now.since(*asked) < WANT_INTERVAL);
        }
        if self.confirming.state() != Confirmation::Confirmed && now >= self.timers.confirm {
            self.timers.confirm = now + CONFIRM_INTERVAL;
            if self.confirming.on_tick(now) {
                self.ask_confirmation();
            }
        }
        self.notify_agents();
    }

    /// Forgives everybody's silence after a pause of the own process, and confirms versions.
    fn detect_pause(&mut self, now: Time) {
        let previous = self.timers.tick.replace(now).unwrap_or(now);
        if now.since(previous) < self.options.pause_span {
            return;
        }
        for heard in self
            .heard
            .values_mut()
            .chain(self.domain_heard.values_mut())
        {
            *heard = now;
        }
        for contact in self.contacts.values_mut() {
            contact.asked = None;
        }
        self.suspicions.clear();
        self.confirm_versions(now);
    }

    fn gossip_round(&mut self) {
        if !self.replica.has_rumors() || self.is_congested() {
            return;
        }
        let targets: Vec<SocketAddr> = self
            .alive_peers()
            .map(|peer| peer.control_address)
            .collect();
        if targets.is_empty() {
            return;
        }
        let targets = self.pick(targets, self.options.fanout);
        let gossip = self.replica.next_gossip(false);
        for to in targets {
            self.send(to, Message::Gossip(gossip.clone()));
        }
    }

    /// Compares digests with one live peer, and now and then with a lost one, which is how
    /// regions find each other again.
    fn compare(&mut self, now: Time) {
        let alive: Vec<(NodeId, SocketAddr)> = self
            .alive_peers()
            .map(|peer| (peer.node, peer.control_address))
            .collect();
        let lost: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| !self.is_alive(peer))
            .map(|peer| peer.control_address)
            .collect();
        let mut targets = Vec::new();
        if !alive.is_empty() {
            let index = self.random.next_u64() % alive.len() as u64;
            let (node, address) = alive[usize::try_from(index).unwrap_or_default()];
            self.contacts
                .entry(node)
                .or_default()
                .asked
                .get_or_insert(now);
            targets.push(address);
        }
        targets.extend(self.pick(lost, 1));
        if self
            .silence(now)
            .is_none_or(|silence| silence > Span::from_secs(1))
        {
            targets.extend(self.identity.seeds.clone());
        }
        for to in targets {
            let gossip = self.digests_only(true);
            self.send(to, gossip);
        }
    }

    fn digests_only(&self, wants_answer: bool) -> Message {
        Message::Gossip(Gossip {
            wants_answer,
            digests: self.replica.digests(),
            ..Gossip::default()
        })
    }

    fn ask_confirmation(&mut self) {
        let targets: Vec<SocketAddr> = self
            .alive_peers()
            .map(|peer| peer.control_address)
            .chain(self.identity.seeds.iter().copied())
            .collect();
        for to in self.pick(targets, CONFIRM_PEERS) {
            let gossip = self.digests_only(true);
            self.send(to, gossip);
        }
    }

    /// Expects signs of life from hosts whose witness this balancer is and that it never heard.
    ///
    /// Without this, a host that dies together with its witnesses would never be missed.
    fn adopt_hosts(&mut self, now: Time) {
        let slice = u32::try_from(
            now.as_millis() / HOUSEKEEPING_INTERVAL.as_millis() % u64::from(ADOPTION_SHARE),
        )
        .unwrap_or_default();
        let own = self.identity.node;
        let adopted: Vec<HostId> = self
            .replica
            .hosts()
            .iter()
            .filter(|entry| entry.host.0 % ADOPTION_SHARE == slice)
            .filter(|entry| entry.state != HostState::Gone)
            .filter(|entry| !self.heard.contains_key(&entry.host))
            .filter(|entry| {
                self.witnesses_of(entry.host, Some(&entry.domain))
                    .iter()
                    .any(|peer| peer.node == own)
            })
            .map(|entry| entry.host)
            .collect();
        for host in adopted {
            self.heard.insert(host, now);
        }
    }

    pub(super) fn on_gossip(&mut self, now: Time, from: SocketAddr, gossip: &Gossip) {
        self.merge_marks(now, &gossip.marks);
        self.merge_hosts(now, &gossip.hosts);
        let missing: Vec<u64> = gossip
            .objects
            .iter()
            .filter(|(id, version)| {
                self.replica
                    .rank(Kind::Object, *id)
                    .is_none_or(|known| known < *version)
            })
            .map(|(id, _)| *id)
            .collect();
        self.want_objects(now, from, missing);
        if gossip.wants_answer {
            let answer = self.digests_only(false);
            self.send(from, answer);
        }
        let has_changes =
            !gossip.marks.is_empty() || !gossip.objects.is_empty() || !gossip.hosts.is_empty();
        if !has_changes {
            self.on_digests(now, from, gossip);
        }
    }

    pub(super) fn merge_hosts(&mut self, now: Time, entries: &[HostEntry]) {
        for entry in entries {
            let host = entry.host;
            if self.replica.merge_host(now, entry.clone()) {
                self.suspicions.remove(&Subject::Host(host));
                if entry.state == HostState::Gone {
                    self.heard.remove(&host);
                }
            }
        }
    }

    fn on_digests(&mut self, now: Time, from: SocketAddr, gossip: &Gossip) {
        let own = self.replica.digests();
        let configuration_is_equal = own[..2] == gossip.digests[..2];
        if !gossip.wants_answer {
            self.confirming.on_answer(from, configuration_is_equal);
        }
        if own == gossip.digests {
            self.timers.differs = None;
            self.timers.caught_up |= !self.replica.objects().is_empty();
            return;
        }
        let since = self.timers.differs.map_or(now, |(since, _)| since);
        self.timers.differs = Some((since, from));
        // Changes that are still being passed on differ for a moment everywhere.
        if self.replica.has_rumors() && self.is_caught_up() {
            return;
        }
        // Only the side that was asked starts the repair, so that it runs once.
        if !gossip.wants_answer || self.is_congested() {
            return;
        }
        for (index, kind) in Kind::ALL.into_iter().enumerate() {
            if own[index] != gossip.digests[index] {
                let groups = self.replica.groups(kind);
                self.send(from, groups);
            }
        }
    }

    fn want_objects(&mut self, now: Time, from: SocketAddr, missing: Vec<u64>) {
        let wanted = &mut self.wanted;
        let ids: Vec<u64> = missing
            .into_iter()
            .filter(|id| {
                let is_due = wanted
                    .get(id)
                    .is_none_or(|asked| now.since(*asked) >= WANT_INTERVAL);
                if is_due {
                    wanted.insert(*id, now);
                }
                is_due
            })
            .collect();
        if !ids.is_empty() {
            let kind = Kind::Object;
            self.send(from, Message::Want { kind, ids });
        }
    }

    /// Processes a message that carries items or asks for them.
    pub(super) fn on_repair(&mut self, now: Time, from: SocketAddr, message: Message) {
        let own = self.identity.node;
        match message {
            Message::Groups { .. } | Message::Versions { .. } if self.is_congested() => {}
            Message::Groups { kind, digests } => {
                let offset = usize::try_from(self.random.next_u64() % 64).unwrap_or_default();
                let answers = self.replica.answer_groups(kind, &digests, offset);
                self.send_all(from, answers);
            }
            Message::Versions {
                kind,
                group,
                first,
                last,
                items,
            } => self.on_versions(from, kind, group, (first, last), &items),
            Message::Want { kind, ids } => {
                let items = self.replica.items(own, kind, &ids);
                self.send_all(from, items);
            }
            Message::Objects(objects) => {
                let (news, _) = self.replica.merge_wire_objects(&objects);
                if news > 0 {
                    self.update_topology();
                }
            }
            Message::Marks(marks) => self.merge_marks(now, &marks),
            _ => {}
        }
    }

    fn on_versions(
        &mut self,
        from: SocketAddr,
        kind: Kind,
        group: u8,
        range: (u64, u64),
        items: &[ItemRank],
    ) {
        let own = self.identity.node;
        let answers = self.replica.answer_versions(own, kind, group, range, items);
        self.send_all(from, answers);
    }
}
