//! Connection slots of a backend server, and the guards that hold them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

/// Counts admitted connections by slot; each [`ConnectionGuard`] releases its own connection.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    /// Connections of each slot. When the number of slots shrinks, the slots above it keep their
    /// counts until their guards are dropped.
    slots: RefCell<Vec<u32>>,
    total: Cell<u32>,
    connecting: Cell<u32>,
    /// Number of the current epoch. An epoch starts when a warm server falls back to slow start or
    /// is restarted.
    epoch: Cell<u32>,
    /// Open connections that were admitted in the current epoch.
    epoch_connections: Cell<u32>,
}

impl SlotAllocator {
    /// Returns the number of admitted connections.
    pub const fn total(&self) -> u32 {
        self.total.get()
    }

    /// Returns the number of admitted connections that are not yet established.
    pub const fn connecting(&self) -> u32 {
        self.connecting.get()
    }

    /// Returns the number of open connections that were admitted in the current epoch.
    pub const fn epoch_connections(&self) -> u32 {
        self.epoch_connections.get()
    }

    /// Starts an epoch; connections that are open now do not count towards it.
    pub fn start_epoch(&self) {
        self.epoch.set(self.epoch.get().wrapping_add(1));
        self.epoch_connections.set(0);
    }

    /// Adds a connection to the least loaded of the first `slots` slots.
    ///
    /// Returns `None` when each of them holds `per_slot` connections, or when the total, including
    /// connections in slots above the first `slots`, has reached the limit of all of them.
    pub fn acquire(self: &Rc<Self>, slots: u32, per_slot: u32) -> Option<ConnectionGuard> {
        let mut counts = self.slots.borrow_mut();
        let max_total = per_slot.saturating_mul(slots);
        let slots = slots as usize;
        if counts.len() < slots {
            counts.resize(slots, 0);
        }
        let (slot, count) = counts
            .iter_mut()
            .take(slots)
            .enumerate()
            .min_by_key(|(_, count)| **count)?;
        if *count >= per_slot || self.total.get() >= max_total {
            return None;
        }
        *count += 1;
        self.total.set(self.total.get() + 1);
        self.connecting.set(self.connecting.get() + 1);
        self.epoch_connections.set(self.epoch_connections.get() + 1);
        Some(ConnectionGuard {
            allocator: self.clone(),
            slot,
            epoch: self.epoch.get(),
            is_connecting: true,
        })
    }
}

/// Holds the slot of one admitted connection and releases it when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    allocator: Rc<SlotAllocator>,
    slot: usize,
    epoch: u32,
    is_connecting: bool,
}

impl ConnectionGuard {
    /// Marks the connection as established, so that it no longer counts as connecting.
    pub fn set_connected(&mut self) {
        if std::mem::take(&mut self.is_connecting) {
            let connecting = &self.allocator.connecting;
            connecting.set(connecting.get().saturating_sub(1));
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.set_connected();
        let allocator = &self.allocator;
        allocator.total.set(allocator.total.get().saturating_sub(1));
        if let Some(count) = allocator.slots.borrow_mut().get_mut(self.slot) {
            *count = count.saturating_sub(1);
        }
        if self.epoch == allocator.epoch.get() {
            let connections = &allocator.epoch_connections;
            connections.set(connections.get().saturating_sub(1));
        }
    }
}
