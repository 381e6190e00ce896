//! Which nodes are live, merged from the platform's list, announcements and suspicions.

mod member_entry;

pub use member_entry::{MemberEntry, MemberState};
