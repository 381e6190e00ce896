//! Stand-ins of the platform's store, endpoints and clients, and a launcher of node processes.
//!
//! They follow the users' pages and use the standard library only.

pub mod client;
pub mod deployment;
pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
