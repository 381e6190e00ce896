use serde::Serialize;

use crate::error::Error;
use crate::tool::ToolExit;

/// Holds what a command prints: a text on standard output and a line on standard error for each
/// error.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ToolOutput {
    /// Text for standard output, with its last line end.
    pub text: String,
    /// Errors for standard error; the first one gives the exit code.
    pub errors: Vec<Error>,
}

impl ToolOutput {
    /// Creates the output of a command that succeeded.
    #[must_use]
    pub fn success(text: String) -> Self {
        Self {
            text,
            errors: Vec::new(),
        }
    }

    /// Creates an output of JSON on one line.
    #[must_use]
    pub fn json<Page>(page: &Page) -> Self
    where
        Page: Serialize,
    {
        match serde_json::to_string(page) {
            Ok(text) => Self::success(text + "\n"),
            Err(error) => Self::from(Error::new(
                crate::error::ResultCode::PeerProtocol,
                format!("the answer cannot be written as JSON: {error}"),
            )),
        }
    }

    /// Returns how the command ended.
    #[must_use]
    pub fn exit(&self) -> ToolExit {
        self.errors
            .first()
            .map_or(ToolExit::Success, ToolExit::from)
    }
}

impl From<Error> for ToolOutput {
    fn from(error: Error) -> Self {
        Self {
            text: String::new(),
            errors: vec![error],
        }
    }
}
