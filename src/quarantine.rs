//! Requests that crash the endpoints that run them, and how all nodes come to refuse them.

mod crash_guard;
mod crash_id;
mod crash_watch;
mod fingerprint;
mod news_pace;
mod quarantine_message;
mod quarantine_state;
mod quarantine_task;
mod recent_runs;
mod solo_slot;
mod suspect_entry;
mod suspect_table;

pub(crate) use crash_guard::CrashGuard;
pub use crash_id::CrashId;
pub use crash_watch::CrashWatch;
pub use fingerprint::Fingerprint;
pub use news_pace::NewsPace;
pub(crate) use quarantine_message::{
    MAX_ENTRY_COUNT, QUARANTINE_PATH, QuarantineCodec, QuarantineMessage, QuarantineReply,
};
pub(crate) use quarantine_state::QuarantineState;
pub(crate) use quarantine_task::QuarantineTask;
pub use recent_runs::RecentRuns;
pub use solo_slot::{SoloPermit, SoloSlot};
pub use suspect_entry::{CrashReport, SuspectEntry};
pub use suspect_table::SuspectTable;
