use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// An instant or a duration in milliseconds. Instants count from the creation of the clock.
///
/// Arithmetic saturates, so that subtracting a later instant gives zero instead of underflowing.
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
    /// Converts this duration to a [`Duration`].
    #[must_use]
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the milliseconds as a floating-point number.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for ClockTime {
    type Output = Self;

    fn add(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub for ClockTime {
    type Output = Self;

    fn sub(self, duration: Self) -> Self {
        Self(self.0.saturating_sub(duration.0))
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
