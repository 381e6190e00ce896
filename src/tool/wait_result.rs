use serde::Serialize;

use crate::error::{Error, ResultCode};
use crate::tool::{ToolOutput, WaitStatus, WaitTarget};

/// Result of a wait for a version.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitResult {
    /// Last status; `None` if no snapshot was completed.
    pub status: Option<WaitStatus>,
    /// Error that ended the wait; `None` if the version is in force.
    pub error: Option<Error>,
}

/// JSON form of a wait result.
#[derive(Debug, Serialize)]
struct WaitResultJson {
    target: String,
    in_force: bool,
    have: Option<usize>,
    live: Option<usize>,
    stamp: Option<String>,
    superseded_by: Option<String>,
    code: ResultCode,
    message: String,
}

impl WaitResult {
    /// Formats the result as text or as one line of JSON and adds the error.
    #[must_use]
    pub fn output(self, target: &WaitTarget, json: bool) -> ToolOutput {
        let (mut have, mut live, mut stamp, mut newest) = (None, None, None, None);
        match &self.status {
            Some(WaitStatus::InForce {
                live: members,
                stamp: exact,
                superseded_by,
            }) => {
                (have, live) = (Some(*members), Some(*members));
                stamp = exact.map(|exact| exact.to_string());
                newest = superseded_by.map(|newer| newer.to_string());
            }
            Some(WaitStatus::Pending {
                have: reached,
                live: members,
            }) => (have, live) = (Some(*reached), Some(*members)),
            _ => {}
        }
        let in_force = self.error.is_none();
        let message = self.error.as_ref().map_or_else(
            || {
                let version = stamp.clone().unwrap_or_else(|| target.to_string());
                let newer = newest
                    .as_ref()
                    .map_or_else(String::new, |newer| format!(", superseded by {newer}"));
                let live = live.unwrap_or(0);
                format!("version {version} is in force at {live} of {live} live nodes{newer}")
            },
            |error| error.message().to_owned(),
        );
        let mut output = if json {
            ToolOutput::json(&WaitResultJson {
                target: target.to_string(),
                in_force,
                have,
                live,
                stamp,
                superseded_by: newest,
                code: self.error.as_ref().map_or(ResultCode::Ok, Error::code),
                message,
            })
        } else if in_force {
            ToolOutput::success(message + "\n")
        } else {
            ToolOutput::default()
        };
        output.errors.extend(self.error);
        output
    }
}
