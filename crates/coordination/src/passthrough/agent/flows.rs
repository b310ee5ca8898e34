//! Flows of the backend server beside an agent.

use {
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader},
    std::{collections::HashMap, net::Ipv4Addr},
};

/// Largest distance between an acknowledgment of a caller and the latest sequence number of its
/// host: a window of 16 packets of 1,200 bytes, and as much again. The numbers of another host are
/// random.
const SEQUENCE_DISTANCE: u32 = 40_000;

/// How far a flow is.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The opening packet was delivered and is not answered.
    Opening {
        /// The packet, in case another host has to take it.
        packet: Box<[u8]>,
        header: RelayHeader,
        /// Whether the packet was already given to another agent as well.
        is_passed_on: bool,
    },
    /// A packet of a flow that this process does not know was delivered.
    Probing,
    /// The backend server answered.
    Open,
    /// Both ends have closed, or one has aborted.
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct OwnFlow {
    pub phase: Phase,
    pub opened: Time,
    pub used: Time,
    /// Latest sequence number of the backend server.
    pub server_sequence: Option<u32>,
    /// Latest acknowledgment of the caller.
    pub caller_acknowledgment: Option<u32>,
    pub is_caller_finished: bool,
    pub is_server_finished: bool,
    /// Whether the caller waits for the backend server: from the opening packet, or data of the
    /// caller, to the first data of the backend server.
    pub is_waiting: bool,
    /// Since when the caller waits.
    pub asked: Time,
    /// Processes to tell that the flow is here.
    pub inform: Vec<Ipv4Addr>,
}

impl OwnFlow {
    pub const fn new(now: Time, phase: Phase) -> Self {
        Self {
            is_waiting: matches!(phase, Phase::Opening { .. }),
            phase,
            opened: now,
            asked: now,
            used: now,
            server_sequence: None,
            caller_acknowledgment: None,
            is_caller_finished: false,
            is_server_finished: false,
            inform: Vec::new(),
        }
    }

    /// Tells whether a packet with this acknowledgment belongs to the flow of this host, and not
    /// to one of another host that answered the same opening.
    pub const fn matches(&self, acknowledgment: u32) -> bool {
        match self.server_sequence {
            Some(latest) => {
                acknowledgment
                    .wrapping_sub(latest)
                    .wrapping_add(SEQUENCE_DISTANCE)
                    <= 2 * SEQUENCE_DISTANCE
            }
            None => false,
        }
    }

    pub const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Opening { .. } | Phase::Open)
    }

    const fn counts(&self) -> Counts {
        let is_active = self.is_active();
        Counts {
            active: is_active as usize,
            waiting: (is_active && self.is_waiting) as usize,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    active: usize,
    waiting: usize,
}

/// The flows of one backend server, with counts of them.
#[derive(Debug, Default)]
pub(super) struct OwnFlows {
    flows: HashMap<FlowId, OwnFlow>,
    counts: Counts,
}

impl OwnFlows {
    /// Returns the number of open flows.
    pub const fn active(&self) -> usize {
        self.counts.active
    }

    /// Returns the number of flows whose callers wait for the backend server.
    pub const fn waiting(&self) -> usize {
        self.counts.waiting
    }

    pub fn get(&self, flow: &FlowId) -> Option<&OwnFlow> {
        self.flows.get(flow)
    }

    /// Changes a flow and keeps the count right.
    pub fn update<T>(
        &mut self,
        flow: &FlowId,
        change: impl FnOnce(&mut OwnFlow) -> T,
    ) -> Option<T> {
        let entry = self.flows.get_mut(flow)?;
        let before = entry.counts();
        let result = change(entry);
        let after = entry.counts();
        self.count(before, after);
        Some(result)
    }

    pub fn insert(&mut self, flow: FlowId, entry: OwnFlow) {
        let after = entry.counts();
        let before = self
            .flows
            .insert(flow, entry)
            .map(|old| old.counts())
            .unwrap_or_default();
        self.count(before, after);
    }

    pub fn remove(&mut self, flow: &FlowId) -> Option<OwnFlow> {
        let entry = self.flows.remove(flow)?;
        self.count(entry.counts(), Counts::default());
        Some(entry)
    }

    /// Removes and returns the flows for which `is_taken` holds.
    pub fn take(&mut self, is_taken: impl Fn(&OwnFlow) -> bool) -> Vec<(FlowId, OwnFlow)> {
        let mut taken: Vec<_> = self.flows.extract_if(|_, entry| is_taken(entry)).collect();
        taken.sort_unstable_by_key(|(flow, _)| *flow);
        self.recount();
        taken
    }

    /// Removes flows for which `is_expired` holds.
    pub fn expire(&mut self, is_expired: impl Fn(&OwnFlow) -> bool) {
        self.flows.retain(|_, entry| !is_expired(entry));
        self.recount();
    }

    fn recount(&mut self) {
        self.counts = Counts::default();
        for entry in self.flows.values() {
            let counts = entry.counts();
            self.counts.active += counts.active;
            self.counts.waiting += counts.waiting;
        }
    }

    const fn count(&mut self, before: Counts, after: Counts) {
        self.counts.active = self.counts.active + after.active - before.active;
        self.counts.waiting = self.counts.waiting + after.waiting - before.waiting;
    }
}
