use uuid::Uuid;

use crate::clock::ClockTime;
use crate::id::RequestKey;
use crate::once::{KeyLimits, PlacedKey};

/// Allowed difference between wall clocks.
const MAX_CLOCK_SKEW: ClockTime = ClockTime(5_000);

/// Upper bound of the time since the first attempt with a key was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The caller declares this the first attempt.
    First,
    /// The first attempt was sent at most this long ago.
    AtMost(ClockTime),
    /// The lifetime of the key has passed or may have passed; the key is never run.
    Expired,
}

impl KeyAge {
    /// Determines the age of a key when its request arrives.
    ///
    /// `header` is the age stated by the caller; `wall_ms` is the time since the Unix epoch in ms.
    /// A placed key contains its time of issue, which also limits the age of a declared first
    /// attempt.
    #[must_use]
    pub fn resolve(
        key: &RequestKey,
        header: Option<ClockTime>,
        wall_ms: u64,
        limits: KeyLimits,
    ) -> Self {
        let age_since = |issued_ms| ClockTime(wall_ms) - ClockTime(issued_ms) + MAX_CLOCK_SKEW;
        if let Ok(placed) = key.as_str().parse::<PlacedKey>() {
            return match Self::from_age(age_since(placed.issued_ms()), limits) {
                Self::AtMost(_) if header == Some(ClockTime(0)) => Self::First,
                age => age,
            };
        }
        match header {
            Some(ClockTime(0)) => Self::First,
            Some(age) => Self::from_age(age, limits),
            None => match Uuid::parse_str(key.as_str()) {
                Ok(uuid) if uuid.get_version_num() == 7 => {
                    Self::from_age(age_since(uuid_timestamp_ms(uuid)), limits)
                }
                _ => Self::Expired,
            },
        }
    }

    fn from_age(age: ClockTime, limits: KeyLimits) -> Self {
        if age < limits.lifetime {
            Self::AtMost(age)
        } else {
            Self::Expired
        }
    }
}

/// Returns the timestamp of a version 7 UUID in ms since the Unix epoch.
pub(super) fn uuid_timestamp_ms(uuid: Uuid) -> u64 {
    (uuid.as_u128() >> 80) as u64
}
