//! Introduction of nodes to their children in the distribution trees.
//!
//! A node that the registry turns away shortly after the start of the fleet may know only nodes in the
//! same situation, and no node that knows more would ever ask it. Each parent therefore introduces itself
//! to children that do not request its view.

mod child_table;
mod introduction_message;
mod introduction_task;

pub use child_table::ChildTable;
pub(crate) use introduction_message::{INTRODUCTION_PATH, Introduction, IntroductionReply};
pub(crate) use introduction_task::IntroductionTask;
