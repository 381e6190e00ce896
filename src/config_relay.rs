//! Choice of the node that reads a large configuration for a reader with a slow link.
//!
//! The readers of a region are chosen by a hash, whatever their links. A reader whose link is slow asks a
//! node with a fast one to read the configuration, and receives only what has changed.

mod link_report;
mod link_table;

pub use link_report::LinkReport;
pub use link_table::LinkTable;
