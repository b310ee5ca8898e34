//! Count of admitted connections by slot; each one is released by its guard.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

/// Counts of admitted connections, shared with their guards.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Connections of each slot; a slot that limits no longer contain keeps its count.
    slots: RefCell<Vec<u32>>,
    total: Cell<u32>,
    connecting: Cell<u32>,
    /// Counts the collapses of trust after which connections are counted anew.
    epoch: Cell<u32>,
    /// Connections admitted in the present epoch.
    of_epoch: Cell<u32>,
}

impl Ledger {
    /// Returns all admitted connections.
    pub const fn total(&self) -> u32 {
        self.total.get()
    }

    /// Returns the connections whose connect is under way.
    pub const fn connecting(&self) -> u32 {
        self.connecting.get()
    }

    /// Returns the connections admitted since trust last collapsed.
    pub const fn of_epoch(&self) -> u32 {
        self.of_epoch.get()
    }

    /// Counts from zero, without the connections that are open now.
    pub fn start_epoch(&self) {
        self.epoch.set(self.epoch.get().wrapping_add(1));
        self.of_epoch.set(0);
    }

    /// Enters a connection into the emptiest of the first `slots` slots; `None` when all are full.
    pub fn acquire(self: &Rc<Self>, slots: u32, per_slot: u32) -> Option<ConnectionGuard> {
        let mut counts = self.slots.borrow_mut();
        let most = per_slot.saturating_mul(slots);
        let slots = slots as usize;
        if counts.len() < slots {
            counts.resize(slots, 0);
        }
        let (slot, count) = counts
            .iter_mut()
            .take(slots)
            .enumerate()
            .min_by_key(|(_, count)| **count)?;
        if *count >= per_slot || self.total.get() >= most {
            return None;
        }
        *count += 1;
        self.total.set(self.total.get() + 1);
        self.connecting.set(self.connecting.get() + 1);
        self.of_epoch.set(self.of_epoch.get() + 1);
        Some(ConnectionGuard {
            ledger: self.clone(),
            slot,
            epoch: self.epoch.get(),
            connecting: true,
        })
    }
}

/// Holds one admitted connection and releases it when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    ledger: Rc<Ledger>,
    slot: usize,
    epoch: u32,
    connecting: bool,
}

impl ConnectionGuard {
    /// Notes that the connect has ended with success.
    pub fn set_connected(&mut self) {
        if std::mem::take(&mut self.connecting) {
            let connecting = &self.ledger.connecting;
            connecting.set(connecting.get().saturating_sub(1));
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.set_connected();
        let ledger = &self.ledger;
        ledger.total.set(ledger.total.get().saturating_sub(1));
        if let Some(count) = ledger.slots.borrow_mut().get_mut(self.slot) {
            *count = count.saturating_sub(1);
        }
        if self.epoch == ledger.epoch.get() {
            ledger.of_epoch.set(ledger.of_epoch.get().saturating_sub(1));
        }
    }
}
