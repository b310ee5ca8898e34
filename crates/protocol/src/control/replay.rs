//! Rejects control datagrams that were received before.

use {super::Origin, cardamomloom_core::Incarnation, std::collections::HashMap};

/// Sequence numbers below the highest one that are still accepted once, for reordering.
const WINDOW: u64 = 128;

/// Most senders that a process remembers: four times the 4,870 processes of the design size.
pub const MAX_SENDERS: usize = 20_000;

#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set when `highest - n` was received.
    received: u128,
    /// Number of accepted datagrams of all senders at the last one of this sender.
    last_use: u64,
}

/// Sliding windows over the sequence numbers of all senders, as in RFC 4303 section 3.4.3.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<u64, Sender>,
    accepted: u64,
}

impl ReplayGuard {
    /// Tells whether a datagram is new, and remembers it.
    ///
    /// A datagram of an earlier incarnation of its sender is not new. When the table is full, the
    /// sender that was silent for the longest time is forgotten.
    pub fn accept(&mut self, origin: &Origin) -> bool {
        let use_count = self.accepted + 1;
        let is_new = if let Some(sender) = self.senders.get_mut(&origin.sender) {
            sender.accept(origin)
        } else {
            self.make_room();
            self.senders.insert(origin.sender, Sender::first(origin));
            true
        };
        if is_new {
            self.accepted = use_count;
            if let Some(sender) = self.senders.get_mut(&origin.sender) {
                sender.last_use = use_count;
            }
        }
        is_new
    }

    /// Returns the number of remembered senders.
    #[must_use]
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Tells whether no sender is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, sender)| sender.last_use)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.senders.remove(&id);
        }
    }
}

impl Sender {
    const fn first(origin: &Origin) -> Self {
        Self {
            incarnation: origin.incarnation,
            highest: origin.sequence,
            received: 1,
            last_use: 0,
        }
    }

    fn accept(&mut self, origin: &Origin) -> bool {
        if origin.incarnation != self.incarnation {
            let is_later = origin.incarnation > self.incarnation;
            if is_later {
                *self = Self::first(origin);
            }
            return is_later;
        }
        if origin.sequence > self.highest {
            let shift = origin.sequence - self.highest;
            self.received = if shift < WINDOW {
                self.received << shift | 1
            } else {
                1
            };
            self.highest = origin.sequence;
            return true;
        }
        let age = self.highest - origin.sequence;
        if age >= WINDOW || self.received >> age & 1 == 1 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}
