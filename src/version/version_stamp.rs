use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};
use crate::version::ContentDigest;

/// Identifier of a configuration version, ordered by number, then by content digest.
///
/// The digest makes the order total: if two contents are published under one number, all nodes
/// converge to the same one. The default stamp precedes every published version.
///
/// ```
/// use endivelanding::version::VersionStamp;
///
/// let low: VersionStamp = "7-00000000000000000000000000000000".parse()?;
/// let high: VersionStamp = "7-00000000000000000000000000000001".parse()?;
/// assert!(low < high);
/// # Ok::<(), endivelanding::Error>(())
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VersionStamp {
    /// Version number assigned by the publisher.
    pub number: u64,
    /// Digest of the piece index, which is sorted by service.
    pub digest: ContentDigest,
}

impl fmt::Display for VersionStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.number, self.digest)
    }
}

impl FromStr for VersionStamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || {
            Error::new(
                ResultCode::PeerProtocol,
                format!("invalid version stamp `{text}`: expected `<number>-<digest>`"),
            )
        };
        let (number, digest) = text.split_once('-').ok_or_else(invalid)?;
        Ok(Self {
            number: number.parse().map_err(|_| invalid())?,
            digest: digest.parse()?,
        })
    }
}
