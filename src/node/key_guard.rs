use std::cell::RefCell;
use std::rc::Rc;

use crate::call::CallResponse;
use crate::clock::SystemClock;
use crate::error::{CallOutcome, Result};
use crate::id::RequestKey;
use crate::once::{AbandonOutcome, KeyRecordStore};

/// Guard that records the outcome of a key in the [`KeyRecordStore`], even if the call is dropped.
pub(crate) struct KeyGuard {
    key_records: Rc<RefCell<KeyRecordStore>>,
    clock: SystemClock,
    key: RequestKey,
    outcome: AbandonOutcome,
    finished: bool,
}

impl KeyGuard {
    pub(crate) fn new(
        key_records: Rc<RefCell<KeyRecordStore>>,
        clock: SystemClock,
        key: RequestKey,
    ) -> Self {
        Self {
            key_records,
            clock,
            key,
            outcome: AbandonOutcome::NotRun,
            finished: false,
        }
    }

    /// Marks the request as sent: from now on the backend server may run it.
    pub(crate) fn mark_sent(&mut self) {
        self.outcome = AbandonOutcome::Unknown;
    }

    /// Records the result of the call.
    pub(crate) fn finish(mut self, result: &Result<CallResponse>) {
        match result {
            Ok(response) => {
                self.finished = true;
                let now = self.clock.now();
                self.key_records
                    .borrow_mut()
                    .finish(now, &self.key, response);
            }
            Err(error) if error.outcome() == CallOutcome::NotRun => {
                self.outcome = AbandonOutcome::NotRun;
            }
            Err(_) => self.outcome = AbandonOutcome::Unknown,
        }
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.clock.now();
            self.key_records
                .borrow_mut()
                .abandon(now, &self.key, self.outcome);
        }
    }
}
