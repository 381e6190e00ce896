//! Choice of the node that reads a large configuration for a reader with a slow link.
//!
//! The tree order that determines the reader of a region does not depend on links. A reader with a slow
//! link asks a node with a fast one to read the configuration, and receives only the changes.

mod link_report;
mod link_table;

pub use link_report::LinkReport;
pub use link_table::LinkTable;
