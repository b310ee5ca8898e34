//! Lost flows to addresses of several services: collects the statements of the services, and resets a
//! flow when none of them holds it.

use {
    super::Balancer,
    crate::passthrough::{LookupOutcome, LookupOutcomes},
    cardamomloom_core::{ServiceName, Span, Time},
    cardamomloom_protocol::passthrough::{FlowId, Segment, ServiceAbsence, ServiceTag},
    log::info,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddrV4,
    },
};

/// Maximum number of flows with statements.
const CAPACITY: usize = 4_096;

/// Time after a packet in which its flow may be reset. The caller retransmits sooner.
const LIFETIME: Span = Span::from_millis(1_000);

/// Least time after the start in which every agent announces itself to this process.
const MIN_SETTLE_SPAN: Span = Span::from_millis(300);

/// A flow that no host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// The flow.
    pub flow: FlowId,
    /// Next sequence number that the caller expects.
    pub sequence: u32,
}

#[derive(Debug)]
struct Statements {
    acknowledgment: u32,
    until: Time,
    /// Packets of the flow that were sent to all services. A statement that arrives without one may be
    /// late.
    packets: u32,
    /// Whether this balancer or an agent that made a statement knows all former targets of the route.
    knows_former_targets: bool,
    /// Services that may own the flow, as far as this balancer or any agent that made a statement
    /// knows.
    required: BTreeSet<ServiceTag>,
    /// Services none of whose hosts holds the flow.
    denied: BTreeSet<ServiceTag>,
}

/// Statements of services that their hosts do not hold a flow.
#[derive(Debug, Default)]
pub(super) struct LostFlows {
    flows: HashMap<FlowId, Statements>,
    resets: Vec<LostFlow>,
    outcomes: LookupOutcomes,
}

impl LostFlows {
    /// Forgets the statements about a flow, because it is opened again.
    pub fn remove(&mut self, flow: &FlowId) {
        self.flows.remove(flow);
    }

    /// Ends the lookup of a flow, because its owner is known.
    pub fn on_owner(&mut self, now: Time, flow: &FlowId) {
        if self.flows.remove(flow).is_some() {
            self.outcomes.record(now, LookupOutcome::OwnerFound);
        }
    }

    /// Removes the statements whose time is over.
    pub fn expire(&mut self, now: Time) {
        let outcomes = &mut self.outcomes;
        self.flows.retain(|flow, statements| {
            let is_kept = now <= statements.until;
            if !is_kept
                && statements.packets > 0
                && statements.required.len() > 1
                && outcomes.record(now, LookupOutcome::ServiceSilent)
            {
                let (required, denied) = (&statements.required, &statements.denied);
                info!(
                    event = "lookup_undecided", flow:%, cause = LookupOutcome::ServiceSilent.label(),
                    services = required.len(), denied = denied.len();
                    "not every service that may own a flow stated that its hosts do not hold it"
                );
            }
            is_kept
        });
    }

    /// Records that a packet is sent to the services that may own its flow.
    ///
    /// Returns the number of earlier packets.
    fn on_packet(&mut self, now: Time, segment: &Segment, services: BTreeSet<ServiceTag>) -> u32 {
        let flow = segment.flow_from_caller();
        let Some(statements) = self.entry(now, flow, segment.acknowledgment) else {
            return 0;
        };
        statements.until = now + LIFETIME;
        statements.required.extend(services);
        statements.packets += 1;
        statements.packets - 1
    }

    /// Records the statement of a service. `present` are the services that may own the flow now.
    fn on_absence(
        &mut self,
        now: Time,
        absence: &ServiceAbsence,
        present: BTreeSet<ServiceTag>,
        knows_former_targets: bool,
    ) {
        let Some(statements) = self.entry(now, absence.flow, absence.acknowledgment) else {
            return;
        };
        statements.denied.insert(absence.service);
        statements.required.extend(present);
        statements.required.extend(&absence.possible_owners);
        statements.knows_former_targets |= knows_former_targets || absence.knows_former_targets;
        let is_lost = statements.packets > 0
            && statements.knows_former_targets
            && statements.required.is_subset(&statements.denied);
        if !is_lost {
            return;
        }
        let services = statements.denied.len();
        self.flows.remove(&absence.flow);
        self.resets.push(LostFlow {
            flow: absence.flow,
            sequence: absence.acknowledgment,
        });
        if self.outcomes.record(now, LookupOutcome::Lost) {
            info!(
                event = "lookup_lost", flow:% = absence.flow, services,
                outcome = LookupOutcome::Lost.label();
                "no service that may own a flow has a host that holds it"
            );
        }
    }

    /// Returns the statements about the packet of a flow. Returns `None` when too many flows are looked
    /// up.
    fn entry(&mut self, now: Time, flow: FlowId, acknowledgment: u32) -> Option<&mut Statements> {
        let is_known = self.flows.get(&flow).is_some_and(|statements| {
            statements.acknowledgment == acknowledgment && now <= statements.until
        });
        if !is_known {
            if self.flows.len() >= CAPACITY && !self.flows.contains_key(&flow) {
                self.outcomes.record(now, LookupOutcome::Limited);
                return None;
            }
            let statements = Statements {
                acknowledgment,
                until: now + LIFETIME,
                packets: 0,
                knows_former_targets: false,
                required: BTreeSet::new(),
                denied: BTreeSet::new(),
            };
            self.flows.insert(flow, statements);
        }
        self.flows.get_mut(&flow)
    }
}

impl Balancer {
    /// Returns the flows to reset since the last call: no host holds them.
    pub fn take_lost_flows(&mut self) -> Vec<LostFlow> {
        std::mem::take(&mut self.lost_flows.resets)
    }

    /// Returns the numbers of lookups of flows to addresses of several services.
    #[must_use]
    pub const fn lookup_outcomes(&self) -> &LookupOutcomes {
        &self.lost_flows.outcomes
    }

    /// Returns the services whose hosts may hold flows to an address.
    pub(super) fn possible_owners(
        &self,
        now: Time,
        address: SocketAddrV4,
    ) -> BTreeSet<&ServiceName> {
        self.catalogue
            .possible_owners(now, address)
            .chain(self.hosts.services_of_rerouted(now, address))
            .collect()
    }

    /// Records that a packet of an open flow is sent to all services that may own it. Returns the number
    /// of requests with the same acknowledgment number before.
    pub(super) fn on_unknown_owner(&mut self, now: Time, segment: &Segment) -> u32 {
        if segment.payload_bytes == 0 {
            return 0;
        }
        let services = self.possible_owner_tags(now, segment.destination);
        self.lost_flows.on_packet(now, segment, services)
    }

    /// Processes the statement that no host of a service holds a flow. The cached owner, if it is of
    /// this service, is wrong: the next packet is sent to all services that may own the flow.
    ///
    /// A balancer that does not know all announcements of hosts yet, or knows of a newer catalogue, may
    /// lack a service that owns the flow.
    pub(super) fn on_service_absence(&mut self, now: Time, absence: &ServiceAbsence) {
        let address = absence.flow.service;
        if let Some(placement) = self.placements.touch(now, &absence.flow) {
            if placement.service != absence.service {
                return;
            }
            self.placements.remove(&absence.flow);
        }
        if !self.knows_possible_owners(now) || !self.catalogue.has_route(address) {
            return;
        }
        let present = self.possible_owner_tags(now, address);
        let knows_former_targets = self.knows_former_targets(now);
        self.lost_flows
            .on_absence(now, absence, present, knows_former_targets);
    }

    fn possible_owner_tags(&self, now: Time, address: SocketAddrV4) -> BTreeSet<ServiceTag> {
        let services = self.possible_owners(now, address).into_iter();
        services.map(ServiceTag::from).collect()
    }

    /// Returns whether every agent has had the time to announce the addresses that its host holds flows
    /// to, and no newer catalogue is known to exist.
    fn knows_possible_owners(&self, now: Time) -> bool {
        let intervals = self.hosts.iter().map(|host| host.announcement.interval_ms);
        let interval_ms = u64::from(intervals.max().unwrap_or_default());
        let settle_span = MIN_SETTLE_SPAN.max(Span::from_millis(interval_ms * 6 / 5));
        now.since(self.started) >= settle_span && self.catalogue.behind_for(now).is_none()
    }
}
