//! Replay protection of control datagrams.

use {super::Origin, cardamomloom_core::Incarnation, std::collections::HashMap};

/// Length of the window of sequence numbers, up to the highest one received, in which datagrams may
/// arrive out of order.
const WINDOW: u64 = 128;

/// Maximum number of senders that a process tracks: four times the 4,870 processes of the design
/// size.
pub const MAX_SENDERS: usize = 20_000;

#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set if the sequence number `highest - n` was received.
    received: u128,
    /// Value of `accepted` in the guard after the last accepted datagram of this sender.
    last_accepted: u64,
}

/// Sliding windows over the sequence numbers of all senders, as in RFC 4303 section 3.4.3.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<u64, SenderWindow>,
    /// Number of accepted datagrams of all senders.
    accepted: u64,
}

impl ReplayGuard {
    /// Records a datagram and returns whether it is new.
    ///
    /// A datagram of an earlier incarnation of its sender is not new. When the table is full, the
    /// sender whose last accepted datagram is the oldest is evicted.
    pub fn accept(&mut self, origin: &Origin) -> bool {
        let accepted = self.accepted + 1;
        let is_new = if let Some(sender) = self.senders.get_mut(&origin.sender) {
            sender.accept(origin)
        } else {
            self.evict_if_full();
            self.senders
                .insert(origin.sender, SenderWindow::first(origin));
            true
        };
        if is_new {
            self.accepted = accepted;
            if let Some(sender) = self.senders.get_mut(&origin.sender) {
                sender.last_accepted = accepted;
            }
        }
        is_new
    }

    /// Returns the number of tracked senders.
    #[must_use]
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn evict_if_full(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, sender)| sender.last_accepted)
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.senders.remove(&id);
        }
    }
}

impl SenderWindow {
    const fn first(origin: &Origin) -> Self {
        Self {
            incarnation: origin.incarnation,
            highest: origin.sequence,
            received: 1,
            last_accepted: 0,
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
