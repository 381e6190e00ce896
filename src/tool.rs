//! Read-only commands of the operators' tool `endivectl`.

mod burn_summary;
mod call_explanation;
mod conflict_entry;
mod fleet_reader;
mod fleet_report;
mod fleet_snapshot;
mod known_versions;
mod manifest_check;
mod refusal_entry;
mod settings_check;
mod tool_exit;
mod tool_output;
mod version_wait;
mod wait_result;
mod wait_status;
mod wait_target;
mod zone_report;

pub use burn_summary::BurnSummary;
pub use call_explanation::explain;
pub use conflict_entry::ConflictEntry;
pub use fleet_reader::FleetReader;
pub use fleet_report::FleetReport;
pub use fleet_snapshot::FleetSnapshot;
pub use known_versions::KnownVersions;
pub use manifest_check::check_manifest;
pub use refusal_entry::RefusalEntry;
pub use settings_check::check_settings;
pub use tool_exit::ToolExit;
pub use tool_output::ToolOutput;
pub use version_wait::VersionWait;
pub use wait_result::WaitResult;
pub use wait_status::WaitStatus;
pub use wait_target::WaitTarget;
pub use zone_report::ZoneReport;

use std::fmt::Display;

use serde::Serializer;

/// Serializes a value with its `Display` text, for example a stamp as `number-digest`.
pub(crate) fn serialize_display<Value, Output>(
    value: &Value,
    output: Output,
) -> Result<Output::Ok, Output::Error>
where
    Value: Display,
    Output: Serializer,
{
    output.collect_str(value)
}
