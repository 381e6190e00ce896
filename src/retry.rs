//! Retry budget, resend policy and hedging policy.

mod attempt_cause;
mod attempt_window;
mod hedge_policy;
mod resend_policy;
mod retry_budget;

pub(crate) use attempt_cause::AttemptCause;
pub use hedge_policy::{HedgeCall, HedgePolicy};
pub use resend_policy::{FailedCall, ResendPolicy};
pub use retry_budget::RetryBudget;
