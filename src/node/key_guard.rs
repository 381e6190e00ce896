use std::cell::RefCell;
use std::rc::Rc;

use crate::call::CallResponse;
use crate::clock::SystemClock;
use crate::error::{CallOutcome, Result};
use crate::id::RequestKey;
use crate::once::{KeyEnd, KeyLedger};

/// Settles a key at the ledger, whatever happens to the call that holds it.
pub(crate) struct KeyGuard {
    ledger: Rc<RefCell<KeyLedger>>,
    clock: SystemClock,
    key: RequestKey,
    end: KeyEnd,
    finished: bool,
}

impl KeyGuard {
    pub(crate) fn new(ledger: Rc<RefCell<KeyLedger>>, clock: SystemClock, key: RequestKey) -> Self {
        Self {
            ledger,
            clock,
            key,
            end: KeyEnd::NotRun,
            finished: false,
        }
    }

    /// States that the request may reach the backend server from now on.
    pub(crate) fn mark_written(&mut self) {
        self.end = KeyEnd::Unknown;
    }

    /// Records how the call ended.
    pub(crate) fn finish(mut self, result: &Result<CallResponse>) {
        match result {
            Ok(response) => {
                self.finished = true;
                let now = self.clock.now();
                self.ledger.borrow_mut().finish(now, &self.key, response);
            }
            Err(error) if error.outcome() == CallOutcome::NotRun => self.end = KeyEnd::NotRun,
            Err(_) => self.end = KeyEnd::Unknown,
        }
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.clock.now();
            self.ledger.borrow_mut().abandon(now, &self.key, self.end);
        }
    }
}
