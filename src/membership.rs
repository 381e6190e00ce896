//! Member table: the state of all nodes, merged from the platform's instance list, the entries of
//! other nodes and reports of unreachable nodes.

mod list_merge;
mod member_entry;
mod member_record;
mod member_snapshot;
mod member_table;
mod suspicion_reports;

pub use member_entry::{MemberEntry, MemberState};
pub use member_snapshot::{MemberSnapshot, MemberView};
pub use member_table::MemberTable;
pub use suspicion_reports::SuspicionReports;
