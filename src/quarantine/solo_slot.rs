use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use monoio::time;

use crate::clock::ClockTime;

/// Slot for the suspected requests of an endpoint, which run one at a time.
///
/// Several that run together would be blamed for the same crash again.
#[derive(Debug, Default)]
pub struct SoloSlot {
    is_taken: Cell<bool>,
    waiters: RefCell<VecDeque<oneshot::Sender<SoloPermit>>>,
}

/// Permit for the slot, which the next request gets when it is dropped.
#[derive(Debug)]
pub struct SoloPermit {
    slot: Rc<SoloSlot>,
}

impl SoloSlot {
    /// Waits for the slot; returns `None` if it was not free in time.
    pub async fn acquire(self: &Rc<Self>, max_wait: ClockTime) -> Option<SoloPermit> {
        if !self.is_taken.replace(true) {
            return Some(SoloPermit {
                slot: Rc::clone(self),
            });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(sender);
        let permit = time::timeout(max_wait.to_duration(), receiver).await;
        permit.ok()?.ok()
    }

    fn release(self: &Rc<Self>) {
        self.is_taken.set(false);
        // The permit returns here if the request no longer waits for it.
        if let Some(sender) = self.take_waiter() {
            self.is_taken.set(true);
            let permit = SoloPermit {
                slot: Rc::clone(self),
            };
            drop(sender.send(permit));
        }
    }

    fn take_waiter(&self) -> Option<oneshot::Sender<SoloPermit>> {
        let mut waiters = self.waiters.borrow_mut();
        while let Some(sender) = waiters.pop_front() {
            if !sender.is_canceled() {
                return Some(sender);
            }
        }
        None
    }
}

impl Drop for SoloPermit {
    fn drop(&mut self) {
        self.slot.release();
    }
}
