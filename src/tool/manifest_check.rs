use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::error::{Error, Result, ResultCode};
use crate::manifest::{MAX_MANIFEST_BYTES, Manifest};
use crate::tool::ToolOutput;
use crate::version::VersionStamp;

/// JSON form of the result of a manifest check.
#[derive(Debug, Serialize)]
struct CheckResult {
    valid: bool,
    stamp: Option<String>,
    code: ResultCode,
    message: String,
}

/// Validates a manifest file with the same code as the nodes and reports its stamp.
#[must_use]
pub fn check_manifest(path: &Path, json: bool) -> ToolOutput {
    let checked = read_manifest(path).and_then(|bytes| {
        let manifest = Manifest::decode(&bytes).map_err(|error| prefix_file_name(path, &error))?;
        Ok(manifest.stamp())
    });
    let mut output = match &checked {
        _ if json => ToolOutput::json(&json_result(&checked)),
        Ok(stamp) => ToolOutput::success(format!("{}: valid, version {stamp}\n", path.display())),
        Err(_) => ToolOutput::default(),
    };
    output.errors.extend(checked.err());
    output
}

/// Reads a manifest file.
///
/// # Errors
///
/// Returns `SettingsUnreadable` if the file cannot be read and `ManifestTooLarge` if it exceeds the
/// size limit of manifests.
pub(crate) fn read_manifest(path: &Path) -> Result<Vec<u8>> {
    let unreadable = |error: std::io::Error| {
        Error::new(
            ResultCode::SettingsUnreadable,
            format!("{}: cannot be read: {error}", path.display()),
        )
    };
    let size = fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_MANIFEST_BYTES as u64 {
        return Err(Error::new(
            ResultCode::ManifestTooLarge,
            format!(
                "{}: has {size} bytes, allowed are {MAX_MANIFEST_BYTES}",
                path.display()
            ),
        ));
    }
    fs::read(path).map_err(unreadable)
}

/// Prepends the file name to the message of an error.
pub(crate) fn prefix_file_name(path: &Path, error: &Error) -> Error {
    Error::new(
        error.code(),
        format!("{}: {}", path.display(), error.message()),
    )
}

fn json_result(checked: &Result<VersionStamp>) -> CheckResult {
    let error = checked.as_ref().err();
    CheckResult {
        valid: error.is_none(),
        stamp: checked.as_ref().ok().map(ToString::to_string),
        code: error.map_or(ResultCode::Ok, Error::code),
        message: error.map_or_else(String::new, |error| error.message().to_owned()),
    }
}
