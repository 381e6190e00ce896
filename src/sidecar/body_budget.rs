use std::cell::Cell;
use std::rc::Rc;

use crate::size::ByteSize;

/// Limit on the total size of the bodies that a node holds.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: u64,
    reserved: Cell<u64>,
}

/// Reserved bytes, released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Rc<BodyBudget>,
    size: u64,
}

impl BodyBudget {
    pub(crate) fn new(limit: ByteSize) -> Rc<Self> {
        Rc::new(Self {
            limit: limit.0,
            reserved: Cell::new(0),
        })
    }

    /// Returns the number of bytes that are not reserved.
    pub(crate) fn available(&self) -> u64 {
        self.limit.saturating_sub(self.reserved.get())
    }

    /// Reserves bytes; returns `None` if fewer are available.
    pub(crate) fn try_reserve(self: &Rc<Self>, size: u64) -> Option<BodyReservation> {
        if size > self.available() {
            return None;
        }
        self.reserved.set(self.reserved.get() + size);
        Some(BodyReservation {
            budget: Rc::clone(self),
            size,
        })
    }
}

impl BodyReservation {
    /// Extends the reservation to `size` bytes; returns false if they are not available.
    pub(crate) fn grow_to(&mut self, size: u64) -> bool {
        let added = size.saturating_sub(self.size);
        if added > self.budget.available() {
            return false;
        }
        let reserved = &self.budget.reserved;
        reserved.set(reserved.get() + added);
        self.size += added;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = &self.budget.reserved;
        reserved.set(reserved.get().saturating_sub(self.size));
    }
}
