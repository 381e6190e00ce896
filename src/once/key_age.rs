use uuid::Uuid;

use crate::clock::ClockTime;
use crate::id::RequestKey;
use crate::once::{KeyLimits, PlacedKey};

/// Allowance for the difference of wall clocks.
const SKEW_ALLOWANCE: ClockTime = ClockTime(5_000);

/// States how long ago the first attempt with a key can have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The caller declares this to be the first attempt.
    First,
    /// The first attempt is at most this old.
    AtMost(ClockTime),
    /// The key is past its lifetime, or may be; it is never run.
    Expired,
}

impl KeyAge {
    /// Finds the age of a key when its request arrives.
    ///
    /// `header` is the age that the caller states; `wall_ms` is the time since the Unix epoch. A
    /// placed key carries its time of issue, which also bounds a declared first attempt.
    #[must_use]
    pub fn resolve(
        key: &RequestKey,
        header: Option<ClockTime>,
        wall_ms: u64,
        limits: KeyLimits,
    ) -> Self {
        let stamped = |stamp| ClockTime(wall_ms) - ClockTime(stamp) + SKEW_ALLOWANCE;
        if let Ok(placed) = key.as_str().parse::<PlacedKey>() {
            return match Self::of(stamped(placed.issued_ms()), limits) {
                Self::AtMost(_) if header == Some(ClockTime(0)) => Self::First,
                age => age,
            };
        }
        match header {
            Some(ClockTime(0)) => Self::First,
            Some(age) => Self::of(age, limits),
            None => match Uuid::parse_str(key.as_str()) {
                Ok(uuid) if uuid.get_version_num() == 7 => {
                    Self::of(stamped(stamp_of(uuid)), limits)
                }
                _ => Self::Expired,
            },
        }
    }

    fn of(age: ClockTime, limits: KeyLimits) -> Self {
        if age < limits.lifetime {
            Self::AtMost(age)
        } else {
            Self::Expired
        }
    }
}

/// Returns the timestamp of a UUIDv7 in ms since the Unix epoch.
pub(super) fn stamp_of(uuid: Uuid) -> u64 {
    (uuid.as_u128() >> 80) as u64
}
