//! Evidence that no live agent owns an unknown flow, gathered before its packets are reset.
//!
//! Confirmations alone may be out of date: an owner may use a newer table, or its last message may
//! be lost. A reset therefore needs a flow that stayed unknown for the settling time, and a round
//! of queries after it in which every live agent describes a list that the directory holds whole.

use {
    super::HandoverOptions,
    cardamomloom_core::{HostId, Time},
    cardamomloom_protocol::packet::{FlowKey, PacketMeta},
    std::collections::{BTreeSet, HashMap},
};

#[derive(Clone, Copy, Debug)]
struct Sighting {
    first: Time,
    /// A retransmission repeats it; a later flow of the same 5-tuple does not.
    sequence: u32,
}

#[derive(Debug)]
struct Round {
    started: Time,
    asked: Time,
    missing: BTreeSet<HostId>,
}

/// Unknown flows and the rounds of queries about them.
#[derive(Debug)]
pub struct Verification {
    sightings: HashMap<FlowKey, Sighting>,
    number: u64,
    round: Option<Round>,
    /// Flows that had settled at this time have no owner.
    cleared: Option<Time>,
    options: HandoverOptions,
}

impl Verification {
    /// Creates a verification that knows nothing.
    pub fn new(options: HandoverOptions) -> Self {
        Self {
            sightings: HashMap::new(),
            number: 0,
            round: None,
            cleared: None,
            options,
        }
    }

    /// Starts anew after a table change.
    pub fn restart(&mut self) {
        self.sightings.clear();
        self.round = None;
        self.cleared = None;
    }

    /// Forgets an unknown flow.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.sightings.remove(flow);
    }

    /// Records a packet of an unknown flow and tells whether a reset is safe.
    pub fn on_unknown(&mut self, now: Time, meta: &PacketMeta) -> bool {
        let Some(sighting) = self.sightings.get(&meta.flow) else {
            if self.sightings.len() < self.options.max_sightings {
                let sighting = Sighting {
                    first: now,
                    sequence: meta.sequence,
                };
                self.sightings.insert(meta.flow, sighting);
            }
            return false;
        };
        sighting.sequence == meta.sequence
            && self
                .cleared
                .is_some_and(|cleared| sighting.first + self.options.settle_span <= cleared)
    }

    /// Returns the round and the agents to ask now: all when a flow has settled since the last
    /// round, and those without a usable answer again.
    pub fn due_queries<'a>(
        &mut self,
        now: Time,
        peers: impl Iterator<Item = &'a HostId>,
    ) -> Option<(u64, Vec<HostId>)> {
        if self.sightings.is_empty() {
            return None;
        }
        if let Some(round) = self.round.as_mut() {
            if !round.missing.is_empty() {
                if now.since(round.asked) < self.options.query_interval {
                    return None;
                }
                round.asked = now;
                return Some((self.number, round.missing.iter().copied().collect()));
            }
            if now.since(round.started) < self.options.round_interval {
                return None;
            }
        }
        self.forget_old(now);
        if !self.has_settled(now) {
            return None;
        }
        self.number += 1;
        let missing: BTreeSet<HostId> = peers.copied().collect();
        let asked = missing.iter().copied().collect();
        self.round = Some(Round {
            started: now,
            asked: now,
            missing,
        });
        self.finish_round();
        Some((self.number, asked))
    }

    /// Forgets flows whose callers have given up.
    fn forget_old(&mut self, now: Time) {
        let oldest = now - self.options.sighting_span;
        self.sightings
            .retain(|_, sighting| sighting.first >= oldest);
    }

    fn has_settled(&self, now: Time) -> bool {
        self.sightings.values().any(|sighting| {
            let due = sighting.first + self.options.settle_span;
            due <= now && self.cleared.is_none_or(|cleared| due > cleared)
        })
    }

    /// Takes the answer of an agent whose whole list is in the directory.
    pub fn on_state(&mut self, number: u64, from: HostId) {
        if number != self.number {
            return;
        }
        if let Some(round) = self.round.as_mut() {
            round.missing.remove(&from);
        }
        self.finish_round();
    }

    fn finish_round(&mut self) {
        if let Some(round) = &self.round
            && round.missing.is_empty()
        {
            self.cleared = Some(round.started);
        }
    }
}
