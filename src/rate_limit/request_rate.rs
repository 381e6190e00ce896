use std::fmt;
use std::str::FromStr;

use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result, ResultCode};

/// A rate in requests per second.
///
/// ```
/// use endivelanding::rate_limit::RequestRate;
///
/// let rate: RequestRate = "8.8".parse()?;
/// assert_eq!(rate.per_second(), 8.8);
/// assert!("1e3".parse::<RequestRate>().is_err());
/// # Ok::<(), endivelanding::Error>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests per second, which is finite and not negative.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = Error;

    fn try_from(rate: f64) -> Result<Self> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(invalid(&rate.to_string()))
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    /// Parses decimal digits with an optional fraction.
    fn from_str(text: &str) -> Result<Self> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_number =
            |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
        if !is_number(whole) || !is_number(fraction) {
            return Err(invalid(text));
        }
        let rate: f64 = text.parse().map_err(|_| invalid(text))?;
        Self::try_from(rate)
    }
}

fn invalid(text: &str) -> Error {
    Error::new(
        ResultCode::PlatformInvalid,
        format!(
            "`{}` is not a rate of requests per second",
            text.escape_default()
        ),
    )
}

/// Returns the rate in a response header; `None` if the response has no such header.
///
/// # Errors
///
/// `PlatformInvalid` if the header is not a rate or occurs several times.
pub fn advertised_rate(headers: &HeaderMap, name: &HeaderName) -> Result<Option<RequestRate>> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => {
            let text = String::from_utf8_lossy(value.as_bytes());
            text.trim().parse().map(Some)
        }
        (Some(_), Some(_)) => Err(Error::new(
            ResultCode::PlatformInvalid,
            format!("several {name} headers"),
        )),
    }
}
