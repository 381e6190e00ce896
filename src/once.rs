//! At-most-once execution of calls by means of idempotency keys, recorded responses and fencing
//! tokens.
//!
//! A call with a given key runs at most once under these assumptions, which the other modules
//! guarantee:
//!
//! - The member table of every ready node contains all endpoints that have been up for at least
//!   [`KeyLimits::settle_time`]. Endpoints that have gone since are kept as tombstones.
//! - A request is not written after its deadline. A request written to a newer process than the one
//!   that was chosen states the time elapsed since the request arrived.
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

/// Token that permanently fences a key at a service to which its route no longer points.
pub const PERMANENT_FENCE_TOKEN: u64 = u64::MAX;
/// Time after which replies to fence requests are ignored.
pub const FENCE_TIMEOUT: ClockTime = ClockTime(1_000);
