//! Open-loop load generator that verifies the responses.

mod attempt_result;
mod call_queue;
mod kind_stats;
mod load_caller;
mod load_profile;
mod load_run;
mod response_check;
mod scheduled_call;
mod target_address;
mod target_pool;

pub use attempt_result::AttemptResult;
pub use call_queue::CallQueue;
pub use kind_stats::KindStats;
pub use load_caller::LoadCaller;
pub use load_profile::{KeyMode, KindProfile, LoadProfile, StepProfile};
pub use load_run::LoadRun;
pub use response_check::ResponseCheck;
pub use scheduled_call::ScheduledCall;
pub use target_address::TargetAddress;
pub use target_pool::TargetPool;
