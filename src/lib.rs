//! Configuration distribution for a service mesh.
//!
//! One node process runs beside each backend server. Nodes read manifests from the platform's
//! configuration service, spread them to each other, and forward calls by the version in force.
//!
//! Versions have one total order at every node:
//!
//! ```
//! use endivelanding::version::VersionStamp;
//!
//! let older: VersionStamp = "6-ffffffffffffffffffffffffffffffff".parse()?;
//! let newer: VersionStamp = "7-00000000000000000000000000000000".parse()?;
//! assert!(older < newer);
//! # Ok::<(), endivelanding::Error>(())
//! ```

pub mod admin;
pub mod admission;
pub mod backend;
pub mod burn;
pub mod call;
pub mod caller;
pub mod clock;
pub mod distribution;
pub mod error;
pub mod id;
pub mod logging;
pub mod manifest;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod once;
pub mod peer;
pub mod platform;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod size;
pub mod status;
pub mod tool;
pub mod version;

pub use crate::error::{Error, Result, ResultCode};
