use serde::Serialize;

use crate::error::Error;
use crate::tool::ToolExit;

/// Output of an `endivectl` command: text for standard output and one line on standard error per
/// error.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ToolOutput {
    /// Text for standard output, including the final newline.
    pub text: String,
    /// Errors for standard error; the first one determines the exit code.
    pub errors: Vec<Error>,
}

impl ToolOutput {
    /// Creates the output of a successful command.
    #[must_use]
    pub fn success(text: String) -> Self {
        Self {
            text,
            errors: Vec::new(),
        }
    }

    /// Creates an output that consists of one line of JSON.
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

    /// Returns the exit status of the command.
    #[must_use]
    pub fn exit_status(&self) -> ToolExit {
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
