//! Admission control in front of a backend server: slots, queueing and refusals.
//!
//! All types are state machines without clocks or sockets. The code that uses a policy runs the
//! calls that the policy admits and reports when they end.

mod admission_policy;
mod admission_queue;
mod admission_request;
mod fifo_queue;
mod queued_call;
mod refused_call;
mod running_call;
mod slot_time_estimate;

pub use admission_policy::{Admission, AdmissionPolicy, CancelOutcome};
pub use admission_queue::AdmissionQueue;
pub use admission_request::AdmissionRequest;
pub use fifo_queue::FifoQueue;
pub use refused_call::RefusedCall;
pub use slot_time_estimate::SlotTimeEstimate;
