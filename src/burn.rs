//! Service-level objectives, error budgets and burn rates.
//!
//! A call is good if its complete response arrived before the deadline with a status below 500. The
//! burn rate is the ratio of bad calls divided by the ratio that the objective allows: at a rate of
//! 1, the error budget is used up exactly at the end of the window.

mod burn_rate_tracker;
mod burn_report;
mod burn_row;
mod call_window;

pub use burn_rate_tracker::BurnRateTracker;
pub use burn_report::BurnReport;
pub use burn_row::BurnRow;
pub use call_window::{CallWindow, WindowTotal};
