//! At-most-once execution: idempotency keys, recorded answers and fences.
//!
//! A key runs at most once under these assumptions, which the wiring provides:
//!
//! - Every ready node knows all endpoints that have been up for the settle time of [`KeyLimits`], also those that
//!   have gone since, as tombstones.
//! - A request is not written after its deadline, and not through a connection to a later process
//!   than the one that was chosen without stating the time elapsed since its arrival.
//! - An attempt that may have run is never sent again with the same token.

mod begin_outcome;
mod fence_round;
mod key_age;
mod key_limits;
mod key_origin;
mod key_record;
mod key_record_store;
mod placed_key;
mod route_history;

use crate::clock::ClockTime;

pub use begin_outcome::BeginOutcome;
pub use fence_round::{FenceDecision, FenceRound};
pub use key_age::KeyAge;
pub use key_limits::KeyLimits;
pub use key_origin::KeyOrigin;
pub use key_record_store::{AbandonOutcome, KeyRecordStore};
pub use placed_key::PlacedKey;
pub use route_history::RouteHistory;

/// Token that fences a key for good at a service that its route no longer leads to.
pub const PERMANENT_FENCE_TOKEN: u64 = u64::MAX;
/// Time for which replies to a fence count.
pub const FENCE_TIMEOUT: ClockTime = ClockTime(1_000);
