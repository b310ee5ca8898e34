//! Periodic work of a balancer: gossip rounds, digest comparison, repair and confirmation.

use {
    super::{BalancerMembership, Confirmation},
    cardamomloom_core::{HostId, NodeId, Span, Time},
    cardamomloom_protocol::control::{
        Gossip, HostEntry, HostState, ItemKind, ItemRank, Message, Subject,
    },
    rand_chacha::rand_core::Rng,
    std::net::SocketAddr,
};

/// Time between two housekeeping rounds, which remove expired entries and check for hosts that
/// no balancer observes.
const HOUSEKEEPING_INTERVAL: Span = Span::from_secs(1);

/// Number of housekeeping rounds over which the check for unobserved hosts is spread. The check of
/// 4,300 hosts then takes half a minute, and little time in each round.
const ADOPTION_SLICES: u32 = 30;

/// Time after which an object that has not arrived is requested again.
const OBJECT_REQUEST_INTERVAL: Span = Span::from_millis(300);

/// Time between two requests for confirmation, and between two digest comparisons while this
/// balancer has not caught up since its start.
const CONFIRMATION_INTERVAL: Span = Span::from_millis(200);

/// Number of peers that receive a request for confirmation.
const CONFIRMATION_PEERS: usize = 3;

impl BalancerMembership {
    /// Processes timers and queues the resulting messages. Must be called every 50 to 100 ms.
    pub fn on_tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.suspect_unresponsive(now);
        self.advance_suspicions(now);
        if now >= self.timers.next_gossip {
            self.timers.next_gossip = now + self.options.gossip_interval;
            self.gossip_round();
        }
        if now >= self.timers.next_anti_entropy && self.options.anti_entropy_interval > Span::ZERO {
            let is_catching_up = !self.is_caught_up();
            self.timers.next_anti_entropy = now
                + if is_catching_up {
                    CONFIRMATION_INTERVAL
                } else {
                    self.options.anti_entropy_interval
                };
            self.compare_digests(now);
        }
        if now >= self.timers.next_housekeeping {
            self.timers.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.replica.remove_expired(now);
            self.adopt_unobserved_hosts(now);
            self.requested_objects
                .retain(|_, requested_at| now.since(*requested_at) < OBJECT_REQUEST_INTERVAL);
        }
        if self.confirmation.state() != Confirmation::Confirmed
            && now >= self.timers.next_confirmation
        {
            self.timers.next_confirmation = now + CONFIRMATION_INTERVAL;
            if self.confirmation.on_tick(now) {
                self.request_confirmation();
            }
        }
        self.notify_agents();
    }

    /// Restarts all timeouts, ends all suspicions and starts a confirmation of versions when this
    /// process was paused.
    fn detect_pause(&mut self, now: Time) {
        let previous_tick = self.timers.last_tick.replace(now).unwrap_or(now);
        if now.since(previous_tick) < self.options.min_pause_span {
            return;
        }
        for last_seen in self
            .host_last_seen
            .values_mut()
            .chain(self.domain_last_seen.values_mut())
        {
            *last_seen = now;
        }
        for contact in self.peer_contacts.values_mut() {
            contact.unanswered_since = None;
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
        let targets = self.pick_random(targets, self.options.fanout);
        let gossip = self.replica.next_gossip(false);
        for to in targets {
            self.send(to, Message::Gossip(gossip.clone()));
        }
    }

    /// Starts a digest comparison with a random live peer and a random lost one.
    ///
    /// Comparisons with lost peers let regions find each other after a partition. Seeds from the
    /// settings are included after 1 s without contact with any balancer.
    fn compare_digests(&mut self, now: Time) {
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
            self.peer_contacts
                .entry(node)
                .or_default()
                .unanswered_since
                .get_or_insert(now);
            targets.push(address);
        }
        targets.extend(self.pick_random(lost, 1));
        if self
            .time_since_peer_contact(now)
            .is_none_or(|span| span > Span::from_secs(1))
        {
            targets.extend(self.identity.seeds.clone());
        }
        for to in targets {
            let gossip = self.digests_message(true);
            self.send(to, gossip);
        }
    }

    fn digests_message(&self, wants_answer: bool) -> Message {
        Message::Gossip(Gossip {
            wants_answer,
            digests: self.replica.digests(),
            ..Gossip::default()
        })
    }

    fn request_confirmation(&mut self) {
        let targets: Vec<SocketAddr> = self
            .alive_peers()
            .map(|peer| peer.control_address)
            .chain(self.identity.seeds.iter().copied())
            .collect();
        for to in self.pick_random(targets, CONFIRMATION_PEERS) {
            let gossip = self.digests_message(true);
            self.send(to, gossip);
        }
    }

    /// Starts the timeouts of hosts that this balancer should observe but has had no contact with.
    ///
    /// Without this, no balancer would detect the failure of a host that fails together with its
    /// observers.
    fn adopt_unobserved_hosts(&mut self, now: Time) {
        let slice = u32::try_from(
            now.as_millis() / HOUSEKEEPING_INTERVAL.as_millis() % u64::from(ADOPTION_SLICES),
        )
        .unwrap_or_default();
        let own_node = self.identity.node;
        let adopted: Vec<HostId> = self
            .replica
            .hosts()
            .iter()
            .filter(|entry| entry.host.0 % ADOPTION_SLICES == slice)
            .filter(|entry| entry.state != HostState::Gone)
            .filter(|entry| !self.host_last_seen.contains_key(&entry.host))
            .filter(|entry| {
                self.observers_of(entry.host, Some(&entry.domain))
                    .iter()
                    .any(|peer| peer.node == own_node)
            })
            .map(|entry| entry.host)
            .collect();
        for host in adopted {
            self.host_last_seen.insert(host, now);
        }
    }

    pub(super) fn on_gossip(&mut self, now: Time, from: SocketAddr, gossip: &Gossip) {
        self.merge_liveness_records(now, &gossip.liveness_records);
        self.merge_hosts(now, &gossip.hosts);
        let missing: Vec<u64> = gossip
            .objects
            .iter()
            .filter(|(id, version)| {
                self.replica
                    .rank(ItemKind::Object, *id)
                    .is_none_or(|known| known < *version)
            })
            .map(|(id, _)| *id)
            .collect();
        self.request_objects(now, from, missing);
        if gossip.wants_answer {
            let answer = self.digests_message(false);
            self.send(from, answer);
        }
        let has_changes = !gossip.liveness_records.is_empty()
            || !gossip.objects.is_empty()
            || !gossip.hosts.is_empty();
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
                    self.host_last_seen.remove(&host);
                }
            }
        }
    }

    fn on_digests(&mut self, now: Time, from: SocketAddr, gossip: &Gossip) {
        let own_digests = self.replica.digests();
        let is_configuration_equal = own_digests[..2] == gossip.digests[..2];
        if !gossip.wants_answer {
            self.confirmation.on_answer(from, is_configuration_equal);
        }
        if own_digests == gossip.digests {
            self.timers.differing_since = None;
            self.timers.has_caught_up |= !self.replica.objects().is_empty();
            return;
        }
        let since = self.timers.differing_since.map_or(now, |(since, _)| since);
        self.timers.differing_since = Some((since, from));
        // While recent changes spread, digests differ everywhere for a moment.
        if self.replica.has_rumors() && self.is_caught_up() {
            return;
        }
        // Only the process that was asked to compare starts the repair, so that it runs once.
        if !gossip.wants_answer || self.is_congested() {
            return;
        }
        for (index, kind) in ItemKind::ALL.into_iter().enumerate() {
            if own_digests[index] != gossip.digests[index] {
                let groups = self.replica.groups_message(kind);
                self.send(from, groups);
            }
        }
    }

    fn request_objects(&mut self, now: Time, from: SocketAddr, missing: Vec<u64>) {
        let requested = &mut self.requested_objects;
        let ids: Vec<u64> = missing
            .into_iter()
            .filter(|id| {
                let should_request = requested
                    .get(id)
                    .is_none_or(|requested_at| now.since(*requested_at) >= OBJECT_REQUEST_INTERVAL);
                if should_request {
                    requested.insert(*id, now);
                }
                should_request
            })
            .collect();
        if !ids.is_empty() {
            let kind = ItemKind::Object;
            self.send(from, Message::Want { kind, ids });
        }
    }

    /// Processes a message of a repair: digests, versions or requests of items, or the items.
    pub(super) fn on_repair(&mut self, now: Time, from: SocketAddr, message: Message) {
        let own_node = self.identity.node;
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
                let items = self.replica.item_messages(own_node, kind, &ids);
                self.send_all(from, items);
            }
            Message::Objects(objects) => {
                let (changed_count, _) = self.replica.merge_wire_objects(&objects);
                if changed_count > 0 {
                    self.update_topology();
                }
            }
            Message::LivenessRecords(records) => self.merge_liveness_records(now, &records),
            _ => {}
        }
    }

    fn on_versions(
        &mut self,
        from: SocketAddr,
        kind: ItemKind,
        group: u8,
        range: (u64, u64),
        items: &[ItemRank],
    ) {
        let own_node = self.identity.node;
        let answers = self
            .replica
            .answer_versions(own_node, kind, group, range, items);
        self.send_all(from, answers);
    }
}
