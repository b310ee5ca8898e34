//! Flow table of the backend server beside an agent.

use {
    cardamomloom_core::Time,
    cardamomloom_protocol::passthrough::{FlowId, RelayHeader, Segment},
    std::{
        collections::{BTreeSet, HashMap},
        net::{Ipv4Addr, SocketAddrV4},
    },
};

/// Maximum distance between an acknowledgment of a caller and the latest sequence number of its
/// host: a window of 16 packets of 1,200 bytes, and as much again. The sequence numbers of another
/// host are random, so that its flows are unlikely to match.
const MAX_SEQUENCE_DISTANCE: u32 = 40_000;

/// State of a flow in the table.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The SYN was delivered and has not been answered.
    SynDelivered {
        /// The SYN, which is kept in case it has to be sent to another host.
        packet: Box<[u8]>,
        header: RelayHeader,
        /// Whether the SYN has also been sent to another agent.
        is_relayed: bool,
    },
    /// A packet of an unknown flow was delivered, to find out whether the backend server holds the
    /// flow.
    Probing {
        /// Acknowledgment number of the packet.
        acknowledgment: u32,
        /// Agent that looks up the owner, and is told when the backend server does not hold the
        /// flow.
        searcher: Ipv4Addr,
    },
    /// The backend server answered.
    Open,
    /// Both ends have closed the flow, or one has reset it.
    Closed,
}

/// Flow table entry of a flow that this host holds, or may hold.
#[derive(Clone, Debug)]
pub(super) struct LocalFlow {
    pub phase: Phase,
    pub opened: Time,
    pub last_used: Time,
    /// Latest sequence number of the backend server.
    pub server_sequence: Option<u32>,
    /// Latest acknowledgment of the caller.
    pub caller_acknowledgment: Option<u32>,
    /// Sequence number after the latest data of the caller, if load control is on.
    pub caller_sequence: Option<u32>,
    pub has_caller_fin: bool,
    pub has_server_fin: bool,
    /// Whether the caller waits for the backend server: from the SYN, or the first data of a
    /// request, to the first data of the response.
    pub is_waiting: bool,
    /// Time of the SYN or the first data of the latest request.
    pub waiting_since: Time,
    /// Time at which the SYN was delivered, until the first data of the first request.
    pub syn_delivered_at: Option<Time>,
    /// Whether the flow has been idle for so long that it no longer counts as active. The backend
    /// server may still hold it.
    pub is_dormant: bool,
    /// Processes that are notified, once the backend server answers, that this agent owns the flow.
    pub owner_notice_receivers: Vec<Ipv4Addr>,
}

impl LocalFlow {
    pub const fn new(now: Time, phase: Phase) -> Self {
        Self {
            is_waiting: matches!(phase, Phase::SynDelivered { .. }),
            phase,
            opened: now,
            waiting_since: now,
            syn_delivered_at: None,
            last_used: now,
            server_sequence: None,
            caller_acknowledgment: None,
            caller_sequence: None,
            has_caller_fin: false,
            has_server_fin: false,
            is_dormant: false,
            owner_notice_receivers: Vec::new(),
        }
    }

    /// Records a packet of the flow.
    pub const fn touch(&mut self, now: Time) {
        self.last_used = now;
        self.is_dormant = false;
    }

    /// Returns whether a packet with this acknowledgment belongs to the flow of this host, and not
    /// to one of another host that answered the same SYN.
    pub const fn matches_acknowledgment(&self, acknowledgment: u32) -> bool {
        match self.server_sequence {
            Some(latest) => {
                acknowledgment
                    .wrapping_sub(latest)
                    .wrapping_add(MAX_SEQUENCE_DISTANCE)
                    <= 2 * MAX_SEQUENCE_DISTANCE
            }
            None => false,
        }
    }

    /// Returns whether the flow is open or its SYN is unanswered. A dormant flow counts as open.
    pub const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::SynDelivered { .. } | Phase::Open)
    }

    /// Returns whether the host has accepted the flow and the caller has not acknowledged it.
    pub const fn is_opening(&self) -> bool {
        self.is_active() && self.caller_acknowledgment.is_none()
    }

    const fn counts(&self) -> Counts {
        let is_held = self.is_active();
        let is_active = is_held && !self.is_dormant;
        Counts {
            held: is_held as usize,
            active: is_active as usize,
            waiting: (is_active && self.is_waiting) as usize,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    held: usize,
    active: usize,
    waiting: usize,
}

/// The flows of one backend server, with the numbers of held and active ones and of waiting callers.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: HashMap<FlowId, LocalFlow>,
    counts: Counts,
}

impl FlowTable {
    /// Returns the number of flows that the backend server may hold: the active ones and the dormant
    /// ones.
    pub const fn held(&self) -> usize {
        self.counts.held
    }

    /// Returns the number of active flows.
    pub const fn active(&self) -> usize {
        self.counts.active
    }

    /// Returns the number of active flows whose callers wait for the backend server.
    pub const fn waiting(&self) -> usize {
        self.counts.waiting
    }

    pub fn get(&self, flow: &FlowId) -> Option<&LocalFlow> {
        self.flows.get(flow)
    }

    /// Returns the service addresses of the flows that the backend server may hold.
    pub fn held_addresses(&self) -> BTreeSet<SocketAddrV4> {
        let held = self.flows.iter().filter(|(_, entry)| entry.is_active());
        held.map(|(flow, _)| flow.service).collect()
    }

    /// Changes a flow and updates the counts. Returns the result of `change`, or `None` when the
    /// flow is not in the table.
    pub fn update<T>(
        &mut self,
        flow: &FlowId,
        change: impl FnOnce(&mut LocalFlow) -> T,
    ) -> Option<T> {
        let entry = self.flows.get_mut(flow)?;
        let old_counts = entry.counts();
        let result = change(entry);
        let new_counts = entry.counts();
        self.update_counts(old_counts, new_counts);
        Some(result)
    }

    pub fn insert(&mut self, flow: FlowId, entry: LocalFlow) {
        let new_counts = entry.counts();
        let old_counts = self
            .flows
            .insert(flow, entry)
            .map(|old| old.counts())
            .unwrap_or_default();
        self.update_counts(old_counts, new_counts);
    }

    pub fn remove(&mut self, flow: &FlowId) -> Option<LocalFlow> {
        let entry = self.flows.remove(flow)?;
        self.update_counts(entry.counts(), Counts::default());
        Some(entry)
    }

    /// Removes the flows for which `predicate` holds, and returns them in the order of their
    /// identifiers.
    pub fn extract_if(
        &mut self,
        predicate: impl Fn(&LocalFlow) -> bool,
    ) -> Vec<(FlowId, LocalFlow)> {
        let mut extracted: Vec<_> = self.flows.extract_if(|_, entry| predicate(entry)).collect();
        extracted.sort_unstable_by_key(|(flow, _)| *flow);
        self.recount();
        extracted
    }

    /// Keeps the flows for which `is_kept`, which may change them, returns true.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&mut LocalFlow) -> bool) {
        self.flows.retain(|_, entry| is_kept(entry));
        self.recount();
    }

    fn recount(&mut self) {
        self.counts = Counts::default();
        for entry in self.flows.values() {
            let counts = entry.counts();
            self.counts.held += counts.held;
            self.counts.active += counts.active;
            self.counts.waiting += counts.waiting;
        }
    }

    const fn update_counts(&mut self, old: Counts, new: Counts) {
        self.counts.held = self.counts.held + new.held - old.held;
        self.counts.active = self.counts.active + new.active - old.active;
        self.counts.waiting = self.counts.waiting + new.waiting - old.waiting;
    }
}

/// Closes a flow that `segment` resets, or that both ends have finished.
pub(super) fn close_if_finished(entry: &mut LocalFlow, segment: &Segment) {
    if segment.flags.is_rst || (entry.has_caller_fin && entry.has_server_fin) {
        entry.phase = Phase::Closed;
    }
}
