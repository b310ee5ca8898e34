//! Receiver side: which agent owns the flows that hash to this one.

use {
    super::HandoverOptions,
    cardamomloom_core::{HostId, Incarnation, TableVersion, Time},
    cardamomloom_protocol::packet::FlowKey,
    std::collections::{BTreeSet, HashMap},
};

/// Most parts of one list: the flow limit of an agent divided by the IPv6 flows of a part.
const MAX_PARTS: u32 = 8_192;

/// Identifies a received part.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub incarnation: Incarnation,
    pub generation: u64,
    pub table: TableVersion,
    pub index: u32,
    pub parts: u32,
}

/// Agents that may own a flow, latest first. Two agents claim one 5-tuple when both answered its
/// opening packet, or when it was used again before the earlier claim expired.
pub type Owners = [Option<HostId>; 2];

#[derive(Clone, Copy, Debug)]
struct Claim {
    owner: HostId,
    expires: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    latest: Claim,
    earlier: Option<Claim>,
}

impl Entry {
    fn claim(&mut self, claim: Claim) {
        if self.latest.owner != claim.owner {
            self.earlier = Some(self.latest);
        }
        self.latest = claim;
    }
}

/// What was received of the newest list of an owner.
#[derive(Debug)]
struct ReceivedList {
    incarnation: Incarnation,
    generation: u64,
    table: TableVersion,
    parts: u32,
    received: BTreeSet<u32>,
}

/// Directory of flows that other agents own.
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

    /// Returns the agents that may own a flow.
    pub fn owners_of(&self, now: Time, flow: &FlowKey) -> Owners {
        let Some(entry) = self.entries.get(flow) else {
            return [None, None];
        };
        [Some(entry.latest), entry.earlier].map(|claim| {
            claim
                .filter(|claim| claim.expires > now)
                .map(|claim| claim.owner)
        })
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Forgets expired entries.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.latest.expires > now);
    }

    /// Keeps a part; returns false when it is outdated or has no room, so that it is not
    /// confirmed.
    pub fn take(&mut self, now: Time, owner: HostId, part: Part, flows: &[FlowKey]) -> bool {
        if part.index >= part.parts || part.parts > MAX_PARTS {
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
        let expires = now + self.options.entry_ttl;
        for flow in flows {
            let claim = Claim { owner, expires };
            self.entries
                .entry(*flow)
                .and_modify(|entry| entry.claim(claim))
                .or_insert(Entry {
                    latest: claim,
                    earlier: None,
                });
        }
        self.mark_received(owner, part);
        true
    }

    fn mark_received(&mut self, owner: HostId, part: Part) {
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

    /// Tells whether the whole list of an owner for a table is here; `expected` names its
    /// generation and number of parts where they are known.
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
