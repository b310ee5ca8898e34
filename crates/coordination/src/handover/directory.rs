//! Receiver side of the handover: a directory of the flows that other agents own.

use {
    super::HandoverOptions,
    cardamomloom_core::{HostId, Incarnation, TableVersion, Time},
    cardamomloom_protocol::packet::FlowKey,
    std::collections::{BTreeSet, HashMap},
};

/// Maximum number of parts in one flow list: the flow limit of an agent divided by the number of
/// IPv6 flows that fit in a part.
const MAX_PARTS_PER_LIST: u32 = 8_192;

/// Identifies one part of the flow list of an owner.
#[derive(Clone, Copy, Debug)]
pub struct PartId {
    pub incarnation: Incarnation,
    pub generation: u64,
    pub table: TableVersion,
    pub index: u32,
    pub parts: u32,
}

/// Agents that may own a flow, latest claim first.
///
/// Two agents claim the same 5-tuple when both answered its SYN, or when the caller reused the
/// 5-tuple before the earlier claim expired.
pub type Owners = [Option<HostId>; 2];

#[derive(Clone, Copy, Debug)]
struct OwnerClaim {
    owner: HostId,
    expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    latest: OwnerClaim,
    earlier: Option<OwnerClaim>,
}

impl Entry {
    fn add_claim(&mut self, claim: OwnerClaim) {
        if self.latest.owner != claim.owner {
            self.earlier = Some(self.latest);
        }
        self.latest = claim;
    }
}

/// Progress in receiving the newest flow list of an owner.
#[derive(Debug)]
struct ReceivedList {
    incarnation: Incarnation,
    generation: u64,
    table: TableVersion,
    parts: u32,
    received: BTreeSet<u32>,
}

/// Flows that other agents own and whose first candidate is this agent, as reported by the owners.
#[derive(Debug)]
pub struct Directory {
    entries: HashMap<FlowKey, Entry>,
    lists: HashMap<HostId, ReceivedList>,
    options: HandoverOptions,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(options: HandoverOptions) -> Self {
        Self {
            entries: HashMap::new(),
            lists: HashMap::new(),
            options,
        }
    }

    /// Returns the agents with an unexpired claim to a flow.
    pub fn owners_of(&self, now: Time, flow: &FlowKey) -> Owners {
        let Some(entry) = self.entries.get(flow) else {
            return [None, None];
        };
        [Some(entry.latest), entry.earlier].map(|claim| {
            claim
                .filter(|claim| claim.expires_at > now)
                .map(|claim| claim.owner)
        })
    }

    /// Returns the number of flows in the directory, including expired ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes flows whose latest claim has expired.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| entry.latest.expires_at > now);
    }

    /// Stores the flows of a part and returns whether it did.
    ///
    /// A part that is invalid, belongs to an outdated list or would exceed the size limit of the
    /// directory is not stored and must not be confirmed to its owner.
    pub fn insert(&mut self, now: Time, owner: HostId, part: PartId, flows: &[FlowKey]) -> bool {
        if part.index >= part.parts || part.parts > MAX_PARTS_PER_LIST {
            return false;
        }
        if let Some(known) = self.lists.get(&owner)
            && (known.incarnation, known.generation) > (part.incarnation, part.generation)
        {
            return false;
        }
        if self.entries.len() + flows.len() > self.options.max_entries {
            self.expire(now);
            if self.entries.len() + flows.len() > self.options.max_entries {
                return false;
            }
        }
        let expires_at = now + self.options.entry_ttl;
        for flow in flows {
            let claim = OwnerClaim { owner, expires_at };
            self.entries
                .entry(*flow)
                .and_modify(|entry| entry.add_claim(claim))
                .or_insert(Entry {
                    latest: claim,
                    earlier: None,
                });
        }
        self.mark_received(owner, part);
        true
    }

    fn mark_received(&mut self, owner: HostId, part: PartId) {
        let list = self.lists.entry(owner).or_insert_with(|| ReceivedList {
            incarnation: part.incarnation,
            generation: part.generation,
            table: part.table,
            parts: part.parts,
            received: BTreeSet::new(),
        });
        if (list.incarnation, list.generation) != (part.incarnation, part.generation) {
            list.received.clear();
            list.parts = 0;
        }
        list.incarnation = part.incarnation;
        list.generation = part.generation;
        list.table = part.table;
        list.parts = list.parts.max(part.parts);
        list.received.insert(part.index);
    }

    /// Returns whether all parts of an owner's list for a table were received.
    ///
    /// `expected` is the generation and the number of parts of the list, if they are known.
    pub fn is_complete(
        &self,
        owner: HostId,
        incarnation: Incarnation,
        table: TableVersion,
        expected: Option<(u64, u32)>,
    ) -> bool {
        self.lists.get(&owner).is_some_and(|list| {
            list.incarnation == incarnation
                && list.table == table
                && list.received.len() == list.parts as usize
                && expected.is_none_or(|expected| expected == (list.generation, list.parts))
        })
    }
}
