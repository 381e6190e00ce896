//! Service-level objectives, error budgets and burn rates.
//!
//! A call is good when its whole answer came in time and the backend server did not report a
//! failure of its own. The burn rate is the share of bad calls divided by the share that the
//! objective allows: at 1 the error budget is used up exactly at the end of the window.

mod burn_rate_tracker;
mod burn_report;
mod burn_row;
mod call_window;

pub use burn_rate_tracker::BurnRateTracker;
pub use burn_report::BurnReport;
pub use burn_row::BurnRow;
pub use call_window::{CallWindow, WindowTotal};
