use std::rc::Rc;

use monoio::time;

use crate::backend::WorkGuard;
use crate::call::CallAnswer;
use crate::clock::ClockTime;
use crate::error::{CallOutcome, Result};
use crate::node::{SlotGuard, TaskGroup};

/// Least time for which a slot stays taken after a call was given up. It covers connections that
/// broke, where no answer shows the end of the work.
const CANCEL_GRACE: ClockTime = ClockTime(20);

/// Holds the slot of a running call and, if the call is given up, a little longer.
pub(crate) struct BackendRun {
    guard: Option<Rc<SlotGuard>>,
    tasks: Rc<TaskGroup>,
}

impl BackendRun {
    pub(crate) fn new(guard: SlotGuard, tasks: Rc<TaskGroup>) -> Self {
        Self {
            guard: Some(Rc::new(guard)),
            tasks,
        }
    }

    /// Returns a part of the guard; the slot is free when all parts are dropped.
    pub(crate) fn hold(&self) -> WorkGuard {
        match &self.guard {
            Some(guard) => Rc::clone(guard) as WorkGuard,
            None => Rc::new(()),
        }
    }

    /// Ends the run; the slot is free at once unless the call was given up.
    pub(crate) fn complete(
        mut self,
        (slot_ms, result): (f64, Result<CallAnswer>),
    ) -> Result<CallAnswer> {
        let given_up = matches!(&result, Err(error) if error.outcome() == CallOutcome::Unknown);
        if !given_up
            && let Some(guard) = self.guard.take()
            && result.is_ok()
        {
            guard.finish(slot_ms);
        }
        result
    }
}

impl Drop for BackendRun {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.tasks.spawn(async move {
                time::sleep(CANCEL_GRACE.to_duration()).await;
                drop(guard);
            });
        }
    }
}
