use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// A content digest: the first 16 bytes of a blake3 hash.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ContentDigest(pub [u8; 16]);

impl ContentDigest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
        Self(digest)
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for ContentDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || {
            Error::new(
                ResultCode::PeerProtocol,
                format!("invalid digest `{text}`: expected 32 hexadecimal digits"),
            )
        };
        if text.len() != 32 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut digest = [0; 16];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(Self(digest))
    }
}
