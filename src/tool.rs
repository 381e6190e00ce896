//! The read-only commands of the operators' tool `endivectl`.

mod address_check;
mod burn_survey;
mod call_view;
mod conflict_line;
mod fleet_reader;
mod fleet_report;
mod fleet_survey;
mod held_versions;
mod manifest_check;
mod refusal_line;
mod tool_exit;
mod tool_output;
mod version_wait;
mod wait_result;
mod wait_target;
mod wait_verdict;
mod zone_report;

pub use address_check::check_settings;
pub use burn_survey::BurnSurvey;
pub use call_view::explain;
pub use conflict_line::ConflictLine;
pub use fleet_reader::FleetReader;
pub use fleet_report::FleetReport;
pub use fleet_survey::FleetSurvey;
pub use held_versions::HeldVersions;
pub use manifest_check::check_manifest;
pub use refusal_line::RefusalLine;
pub use tool_exit::ToolExit;
pub use tool_output::ToolOutput;
pub use version_wait::VersionWait;
pub use wait_result::WaitResult;
pub use wait_target::WaitTarget;
pub use wait_verdict::WaitVerdict;
pub use zone_report::ZoneReport;

use std::fmt::Display;

use serde::Serializer;

/// Serializes a value as its text, for example a stamp as `number-digest`.
pub(crate) fn as_text<Value, Output>(
    value: &Value,
    output: Output,
) -> Result<Output::Ok, Output::Error>
where
    Value: Display,
    Output: Serializer,
{
    output.collect_str(value)
}
