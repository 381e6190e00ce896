use std::cell::Cell;
use std::rc::Rc;

/// Limit of a node on the pipelined requests that start before their turn and on the responses that
/// wait for an earlier one.
#[derive(Debug)]
pub(crate) struct AheadBudget {
    max_requests: usize,
    max_held_bytes: usize,
    requests: Cell<usize>,
    held_bytes: Cell<usize>,
}

/// Permission for one request to start before its turn, released on drop.
#[derive(Debug)]
pub(crate) struct AheadPermit {
    budget: Rc<AheadBudget>,
    held_bytes: usize,
}

impl AheadBudget {
    pub(crate) fn new(max_requests: usize, max_held_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_requests,
            max_held_bytes,
            requests: Cell::new(0),
            held_bytes: Cell::new(0),
        })
    }

    /// Returns a permit, or `None` at the limit.
    pub(crate) fn try_acquire(self: &Rc<Self>) -> Option<AheadPermit> {
        let has_room =
            self.requests.get() < self.max_requests && self.held_bytes.get() < self.max_held_bytes;
        has_room.then(|| {
            self.requests.set(self.requests.get() + 1);
            AheadPermit {
                budget: Rc::clone(self),
                held_bytes: 0,
            }
        })
    }
}

impl AheadPermit {
    /// Records the size of the response, which is held until it is sent.
    pub(crate) fn hold(&mut self, bytes: usize) {
        let held_bytes = &self.budget.held_bytes;
        held_bytes.set(held_bytes.get() + bytes - self.held_bytes);
        self.held_bytes = bytes;
    }
}

impl Drop for AheadPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.requests.set(budget.requests.get() - 1);
        budget
            .held_bytes
            .set(budget.held_bytes.get() - self.held_bytes);
    }
}
