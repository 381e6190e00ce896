use std::cell::Cell;
use std::rc::Rc;

use crate::size::ByteSize;

/// Bounds the bytes of request bodies that a node holds at the same time.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: u64,
    reserved: Cell<u64>,
}

/// Holds bytes of the budget until it is dropped.
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

    /// Returns the bytes that are free.
    pub(crate) fn available(&self) -> u64 {
        self.limit.saturating_sub(self.reserved.get())
    }

    /// Takes bytes of the budget; `None` if fewer are free.
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

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = &self.budget.reserved;
        reserved.set(reserved.get().saturating_sub(self.size));
    }
}
