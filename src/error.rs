//! Error type and numeric result codes.

mod call_outcome;
mod result_code;

use std::fmt;

pub use call_outcome::CallOutcome;
pub use result_code::ResultCode;

/// `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of this crate, consisting of a numeric code and a message with the details.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    code: ResultCode,
    message: String,
}

impl Error {
    /// Creates an error with the given code and message.
    pub fn new<Message>(code: ResultCode, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Returns the result code.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns the message without the code.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns whether the work of the failed call was executed, as far as known.
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        self.code.outcome()
    }

    /// Returns `true` if the error concerns a settings file.
    #[must_use]
    pub fn is_settings(&self) -> bool {
        self.code.number() / 100 == 1
    }

    /// Returns `true` if the error concerns a manifest.
    #[must_use]
    pub fn is_manifest(&self) -> bool {
        self.code.number() / 100 == 2
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} (code {})", self.message, self.code.number())
    }
}

impl std::error::Error for Error {}
