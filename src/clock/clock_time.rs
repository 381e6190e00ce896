use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// Holds an instant or a span in milliseconds; instants count from the start of the process.
///
/// Arithmetic saturates, so that a late event never underflows.
///
/// ```
/// use endivelanding::clock::ClockTime;
///
/// let start = ClockTime(1_500);
/// assert_eq!(start + ClockTime(20), ClockTime(1_520));
/// assert_eq!(start - ClockTime(2_000), ClockTime(0));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Returns this span as a standard duration.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns this span in milliseconds as a floating-point number.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for ClockTime {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for ClockTime {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.0)
    }
}

impl FromStr for ClockTime {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("ms").unwrap_or(text);
        digits.parse().map(Self).map_err(|_| {
            Error::new(
                ResultCode::SettingsOutOfRange,
                format!("`{text}` is not a time in milliseconds"),
            )
        })
    }
}
