//! Bodies that a node sends only when the endpoint has room for the request.
//!
//! A busy endpoint refuses many requests. Their bodies would fill the link of its instance, which other
//! requests need, and cross zones and regions for nothing.

mod body_supply;
mod hold_policy;

pub(crate) use body_supply::{BodySupply, FETCH_TIMEOUT, HeldBody, RequestBody};
pub use hold_policy::HoldPolicy;
