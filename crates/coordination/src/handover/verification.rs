//! Verification that no live agent owns an unknown flow before its packets are answered with a
//! reset.
//!
//! Received flow lists alone may be out of date: an owner may use a newer table, or its last
//! message may be lost. A reset therefore requires that the flow stayed unknown for the settling
//! time, and that in a later query round every live agent described a flow list of which the
//! directory has all parts.

use {
    super::HandoverOptions,
    cardamomloom_core::{HostId, Time},
    cardamomloom_protocol::packet::{FlowKey, PacketMeta},
    std::collections::{BTreeSet, HashMap},
};

/// The first packet of an unknown flow.
#[derive(Clone, Copy, Debug)]
struct UnknownFlow {
    first_seen: Time,
    /// TCP sequence number of the packet. A retransmission repeats it, a later flow with the same
    /// 5-tuple does not.
    sequence: u32,
}

/// Queries to all other agents with the same round number.
#[derive(Debug)]
struct QueryRound {
    started_at: Time,
    queried_at: Time,
    pending: BTreeSet<HostId>,
}

/// Recorded unknown flows and the query rounds that verify that they have no owner.
#[derive(Debug)]
pub struct Verification {
    unknown_flows: HashMap<FlowKey, UnknownFlow>,
    round_number: u64,
    round: Option<QueryRound>,
    /// Start of the last query round that all agents answered. Flows whose settling time had passed
    /// by then have no owner.
    verified_until: Option<Time>,
    options: HandoverOptions,
}

impl Verification {
    /// Creates a verification without recorded flows.
    pub fn new(options: HandoverOptions) -> Self {
        Self {
            unknown_flows: HashMap::new(),
            round_number: 0,
            round: None,
            verified_until: None,
            options,
        }
    }

    /// Discards all records and the current round after a table change. Round
    /// numbers continue.
    pub fn restart(&mut self) {
        self.unknown_flows.clear();
        self.round = None;
        self.verified_until = None;
    }

    /// Removes the record of an unknown flow.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.unknown_flows.remove(flow);
    }

    /// Records a packet of an unknown flow and returns whether it may be answered with a reset.
    pub fn record_unknown(&mut self, now: Time, meta: &PacketMeta) -> bool {
        let Some(unknown) = self.unknown_flows.get(&meta.flow) else {
            if self.unknown_flows.len() < self.options.max_unknown_flows {
                let unknown = UnknownFlow {
                    first_seen: now,
                    sequence: meta.sequence,
                };
                self.unknown_flows.insert(meta.flow, unknown);
            }
            return false;
        };
        unknown.sequence == meta.sequence
            && self.verified_until.is_some_and(|verified_until| {
                unknown.first_seen + self.options.settle_span <= verified_until
            })
    }

    /// Returns the round number and the agents to query now, if any.
    ///
    /// A new round queries all agents. It starts when the settling time of a flow has passed since
    /// the last round. A running round queries those agents again whose answer is missing or
    /// describes a list that the directory lacks parts of.
    pub fn next_queries<'a>(
        &mut self,
        now: Time,
        peers: impl Iterator<Item = &'a HostId>,
    ) -> Option<(u64, Vec<HostId>)> {
        if self.unknown_flows.is_empty() {
            return None;
        }
        if let Some(round) = self.round.as_mut() {
            if !round.pending.is_empty() {
                if now.since(round.queried_at) < self.options.query_retry_interval {
                    return None;
                }
                round.queried_at = now;
                return Some((self.round_number, round.pending.iter().copied().collect()));
            }
            if now.since(round.started_at) < self.options.query_round_interval {
                return None;
            }
        }
        self.remove_expired(now);
        if !self.has_unverified_flow(now) {
            return None;
        }
        self.round_number += 1;
        let pending: BTreeSet<HostId> = peers.copied().collect();
        let queried_hosts = pending.iter().copied().collect();
        self.round = Some(QueryRound {
            started_at: now,
            queried_at: now,
            pending,
        });
        self.finish_round();
        Some((self.round_number, queried_hosts))
    }

    /// Removes records so old that the callers have given up.
    fn remove_expired(&mut self, now: Time) {
        let oldest_kept = now - self.options.unknown_flow_ttl;
        self.unknown_flows
            .retain(|_, unknown| unknown.first_seen >= oldest_kept);
    }

    /// Returns whether the settling time of a flow has passed since the start of the last completed
    /// round.
    fn has_unverified_flow(&self, now: Time) -> bool {
        self.unknown_flows.values().any(|unknown| {
            let settled_at = unknown.first_seen + self.options.settle_span;
            settled_at <= now
                && self
                    .verified_until
                    .is_none_or(|verified_until| settled_at > verified_until)
        })
    }

    /// Processes the answer of an agent whose flow list is in the directory completely. Answers to
    /// earlier rounds are ignored.
    pub fn on_complete_answer(&mut self, round_number: u64, from: HostId) {
        if round_number != self.round_number {
            return;
        }
        if let Some(round) = self.round.as_mut() {
            round.pending.remove(&from);
        }
        self.finish_round();
    }

    fn finish_round(&mut self) {
        if let Some(round) = &self.round
            && round.pending.is_empty()
        {
            self.verified_until = Some(round.started_at);
        }
    }
}
