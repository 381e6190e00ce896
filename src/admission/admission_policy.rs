use crate::admission::{AdmissionRequest, RefusedCall};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::size::SlotCount;

/// Policy for which calls may run on one backend server, which has a limited number of slots.
pub trait AdmissionPolicy {
    /// Requests a slot for a new call.
    fn offer(&mut self, now: ClockTime, request: AdmissionRequest) -> Admission;

    /// Frees the slot of a running call and returns the ids of the calls to run next.
    ///
    /// `slot_ms` is the time for which the backend server processed the call. It is `None` for
    /// calls that were cancelled or did not reach the server, which leaves the estimate unchanged.
    /// If no running call has the id, no slot is freed.
    fn finish(&mut self, now: ClockTime, id: u64, slot_ms: Option<f64>) -> Vec<u64>;

    /// Removes queued calls that can no longer finish before their deadline; they are not run.
    fn expire(&mut self, now: ClockTime) -> Vec<RefusedCall>;

    /// Removes a queued call; a running call keeps its slot until `finish`.
    fn cancel(&mut self, id: u64) -> CancelOutcome;

    /// Returns the next time at which to call `expire`, which is later than `now`.
    fn next_expiry(&self, now: ClockTime) -> Option<ClockTime>;

    /// Returns the number of running and queued calls per slot in thousandths.
    fn load(&self) -> u32;

    /// Sets the number of slots and returns the ids of the calls to run next.
    ///
    /// Running calls are not interrupted.
    fn resize(&mut self, now: ClockTime, slots: SlotCount) -> Vec<u64>;

    /// Refuses new calls from now on; calls already queued still run.
    fn drain(&mut self);

    /// Returns whether no call is running or queued.
    fn is_idle(&self) -> bool;
}

/// Outcome of [`AdmissionPolicy::offer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call holds a slot and is to be run now.
    Run,
    /// The call is queued. If the queue was full, a call of lower rank was dropped.
    Queued {
        /// Call dropped from the queue.
        dropped: Option<RefusedCall>,
    },
    /// The call is refused and was not run.
    Refused {
        /// Reason for the refusal; always a code that means "not run".
        code: ResultCode,
        /// Time after which the call may be tried again.
        retry_after: ClockTime,
    },
}

/// Outcome of [`AdmissionPolicy::cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call was queued and was not run.
    Dropped,
    /// The call is running. It must be cancelled at the backend server, followed by `finish`.
    Running,
    /// The id is unknown.
    NotFound,
}
