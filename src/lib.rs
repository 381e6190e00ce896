//! Configuration distribution for a service mesh.
//!
//! A node process runs next to each backend server. Nodes read manifests from the platform's
//! configuration service, distribute them among each other, and route calls according to the
//! version in force.
//!
//! A manifest is decoded and validated as a whole; an invalid one is rejected with a numeric code:
//!
//! ```
//! use endivelanding::ResultCode;
//! use endivelanding::manifest::Manifest;
//!
//! let manifest = Manifest::decode(
//!     br#"{ "number": 7,
//!           "services": [ { "name": "ratecard", "inherits": null, "protocol": "http1",
//!               "slots": 6, "connections": 130,
//!               "kinds": [ { "name": "price", "idempotent": true, "weight": 5,
//!                   "deadline_ms": 300, "long": false, "objective": 0.999 } ] } ],
//!           "routes": [ { "method": "GET", "prefix": "/price", "service": "ratecard",
//!               "kind": "price" } ] }"#,
//! )?;
//! let found = manifest.lookup("GET", "/price/roll-40").expect("the route matches");
//! assert_eq!(found.service.name.as_str(), "ratecard");
//!
//! let error = Manifest::decode(br#"{ "number": 8, "services": [], "rotes": [] }"#).unwrap_err();
//! assert_eq!(error.code(), ResultCode::ManifestUnknownField);
//! # Ok::<(), endivelanding::Error>(())
//! ```
//!
//! Versions are totally ordered, so that nodes converge even if updates arrive out of order:
//!
//! ```
//! use endivelanding::version::VersionStamp;
//!
//! let older: VersionStamp = "6-ffffffffffffffffffffffffffffffff".parse()?;
//! let newer: VersionStamp = "7-00000000000000000000000000000000".parse()?;
//! assert!(older < newer);
//! # Ok::<(), endivelanding::Error>(())
//! ```
//!
//! The settings of a node are a TOML file, which is validated before the node starts:
//!
//! ```no_run
//! use std::path::Path;
//!
//! use endivelanding::node;
//! use endivelanding::settings::NodeSettings;
//!
//! let settings = NodeSettings::load(Path::new("node.toml"))?;
//! let exit = node::run(settings)?;
//! std::process::exit(exit.code().into());
//! # #[allow(unreachable_code)]
//! # Ok::<(), endivelanding::Error>(())
//! ```

pub mod admin;
pub mod admission;
mod advice;
pub mod backend;
pub mod burn;
pub mod call;
pub mod caller;
pub mod clock;
pub mod cold;
pub mod config_check;
pub mod config_relay;
pub mod distribution;
pub mod error;
pub mod evacuation;
pub mod event_loop;
mod forwarding;
pub mod held_body;
pub mod homes;
pub mod id;
pub mod introduction;
pub mod leaving;
mod listener;
pub mod logging;
pub mod manifest;
pub mod membership;
pub mod memory;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod once;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod rate_limit;
pub mod registry_read;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod shedding;
pub mod sidecar;
pub mod size;
pub mod status;
pub mod tool;
pub mod version;

pub use crate::error::{Error, Result, ResultCode};
