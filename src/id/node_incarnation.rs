use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// A number that distinguishes a restarted node from its predecessor. Its initial value is the
/// wall-clock start time in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeIncarnation(pub u64);

impl fmt::Display for NodeIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for NodeIncarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            Error::new(
                ResultCode::PeerProtocol,
                format!("`{text}` is not a node incarnation"),
            )
        })
    }
}
