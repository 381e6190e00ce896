use crate::admission::{AdmissionRequest, RefusedCall};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::size::SlotCount;

/// Decides which calls hold the slots of one backend server.
pub trait AdmissionPolicy {
    /// Takes a new call.
    fn offer(&mut self, now: ClockTime, ticket: AdmissionRequest) -> Admission;

    /// Frees the slot of a running call and returns the tickets to run next.
    ///
    /// `slot_ms` is the time for which the backend server was busy with the call; `None` keeps the
    /// estimate unchanged, for calls that were cancelled or did not reach it. An id that does not
    /// run frees nothing.
    fn finish(&mut self, now: ClockTime, id: u64, slot_ms: Option<f64>) -> Vec<u64>;

    /// Drops queued tickets that can no longer finish in time; they are not run.
    fn expire(&mut self, now: ClockTime) -> Vec<RefusedCall>;

    /// Removes a queued ticket; a running one keeps its slot until `finish`.
    fn cancel(&mut self, id: u64) -> CancelEffect;

    /// Returns the next instant at which to call `expire`; it is later than `now`.
    fn next_expiry(&self, now: ClockTime) -> Option<ClockTime>;

    /// Returns running and queued calls per slot in thousandths.
    fn load(&self) -> u32;

    /// Sets the number of slots and returns the tickets to run; running calls are never cut.
    fn resize(&mut self, now: ClockTime, slots: SlotCount) -> Vec<u64>;

    /// Refuses new calls from now on; queued ones still run.
    fn drain(&mut self);

    /// Returns whether nothing runs or waits.
    fn is_idle(&self) -> bool;
}

/// Answers an offered ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call holds a slot and runs now.
    Run,
    /// The call waits; a less valuable ticket was dropped for it if the queue was full.
    Queued {
        /// Ticket dropped from the queue.
        dropped: Option<RefusedCall>,
    },
    /// The call is refused and has not run.
    Refused {
        /// Reason; always a code that means "not run".
        code: ResultCode,
        /// Time after which another attempt is welcome.
        retry_after: ClockTime,
    },
}

/// States what a cancellation met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelEffect {
    /// The ticket was queued and has not run.
    Dropped,
    /// The call runs; the owner cancels it at the backend server and then calls `finish`.
    Running,
    /// The ticket is not known.
    NotFound,
}
