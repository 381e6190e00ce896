use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// An idempotency key of 1 to 128 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(String);

impl RequestKey {
    /// Maximum length in characters.
    pub const MAX_LENGTH: usize = 128;

    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for RequestKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > Self::MAX_LENGTH || !visible {
            return Err(Error::new(
                ResultCode::MalformedRequest,
                format!(
                    "an idempotency key must be 1 to {} visible ASCII characters",
                    Self::MAX_LENGTH
                ),
            ));
        }
        Ok(Self(text.to_owned()))
    }
}
