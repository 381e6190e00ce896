//! Which nodes are live, merged from the platform's list, announcements and suspicions.

mod list_merge;
mod member_entry;
mod member_record;
mod member_snapshot;
mod member_table;
mod witness_set;

pub use member_entry::{MemberEntry, MemberState};
pub use member_snapshot::{MemberSnapshot, MemberView};
pub use member_table::MemberTable;
pub use witness_set::WitnessSet;
