use std::rc::Rc;

use monoio::time;

use crate::backend::WorkGuard;
use crate::call::CallResponse;
use crate::clock::ClockTime;
use crate::error::{CallOutcome, Result};
use crate::node::{SlotGuard, TaskGroup};

/// Minimum time for which a slot stays occupied after its call was abandoned. It covers broken
/// connections, on which no response shows that the backend server has stopped.
const CANCEL_GRACE: ClockTime = ClockTime(20);

/// Owner of the slot of a running call, which is held for [`CANCEL_GRACE`] longer if the call is
/// abandoned.
pub(crate) struct BackendRun {
    slot_guard: Option<Rc<SlotGuard>>,
    tasks: Rc<TaskGroup>,
}

impl BackendRun {
    pub(crate) fn new(slot_guard: SlotGuard, tasks: Rc<TaskGroup>) -> Self {
        Self {
            slot_guard: Some(Rc::new(slot_guard)),
            tasks,
        }
    }

    /// Returns a work guard that shares the slot, which is released once every share is dropped.
    pub(crate) fn work_guard(&self) -> WorkGuard {
        match &self.slot_guard {
            Some(slot_guard) => Rc::clone(slot_guard) as WorkGuard,
            None => Rc::new(()),
        }
    }

    /// Ends the run and releases its own share of the slot immediately, unless the outcome is
    /// unknown.
    pub(crate) fn complete(
        mut self,
        (slot_ms, result): (f64, Result<CallResponse>),
    ) -> Result<CallResponse> {
        let abandoned = matches!(&result, Err(error) if error.outcome() == CallOutcome::Unknown);
        if !abandoned
            && let Some(slot_guard) = self.slot_guard.take()
            && result.is_ok()
        {
            slot_guard.finish(slot_ms);
        }
        result
    }
}

impl Drop for BackendRun {
    fn drop(&mut self) {
        if let Some(slot_guard) = self.slot_guard.take() {
            self.tasks.spawn(async move {
                time::sleep(CANCEL_GRACE.to_duration()).await;
                drop(slot_guard);
            });
        }
    }
}
