use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// The number of times that the registry was restored from a copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HistoryEra(pub u64);

impl fmt::Display for HistoryEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for HistoryEra {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            Error::new(
                ResultCode::PlatformInvalid,
                format!("`{text}` is not an era of the registry"),
            )
        })
    }
}

/// A position in the history of the registry.
///
/// A restored registry has lost its latest revisions and assigns their numbers to other changes, so
/// revisions are comparable only within an era.
///
/// # Examples
///
/// ```
/// use endivelanding::mesh::{HistoryEra, HistoryPosition};
///
/// let lost = HistoryPosition { era: HistoryEra(1), revision: 900 };
/// let restored = HistoryPosition { era: HistoryEra(2), revision: 850 };
/// assert!(lost < restored);
/// assert_eq!(restored.to_string(), "2:850");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HistoryPosition {
    /// Era of the registry.
    pub era: HistoryEra,
    /// Revision within the era.
    pub revision: u64,
}

impl fmt::Display for HistoryPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}
