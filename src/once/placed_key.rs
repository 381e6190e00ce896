use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use uuid::{Builder, Uuid};

use crate::error::{Error, Result, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation, RequestKey};
use crate::once::{KeyAge, key_age};

const PREFIX: &str = "placed.";

/// Idempotency key that names the only process at which it may run.
///
/// The text form is `placed.{address}.{incarnation}.{random}`. The random part is a version 7 UUID
/// whose timestamp limits the age of the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedKey {
    address: NodeAddress,
    incarnation: NodeIncarnation,
    random: Uuid,
}

impl PlacedKey {
    /// Issues a key for an endpoint; `wall_ms` is the time since the Unix epoch in ms.
    pub fn issue(
        address: NodeAddress,
        incarnation: NodeIncarnation,
        wall_ms: u64,
        rng: &mut dyn RngCore,
    ) -> Self {
        let mut bytes = [0; 10];
        rng.fill_bytes(&mut bytes);
        let random = Builder::from_unix_timestamp_millis(wall_ms, &bytes).into_uuid();
        Self {
            address,
            incarnation,
            random,
        }
    }

    /// Returns the peer address of the node that serves the endpoint.
    #[must_use]
    pub fn address(&self) -> NodeAddress {
        self.address
    }

    /// Returns the incarnation of that node; an endpoint refuses keys of other incarnations.
    #[must_use]
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// Returns the time of issue in ms since the Unix epoch.
    #[must_use]
    pub fn issued_ms(&self) -> u64 {
        key_age::uuid_timestamp_ms(self.random)
    }

    /// Returns the result code for a call whose process is gone.
    ///
    /// Only a declared first attempt is known not to have run.
    #[must_use]
    pub fn code_when_gone(age: KeyAge) -> ResultCode {
        if age == KeyAge::First {
            ResultCode::KeyOwnerGone
        } else {
            ResultCode::KeyMemoryGone
        }
    }

    /// Returns the key as callers send it.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` if the text exceeds the maximum length of a key. This does not occur with
    /// numeric addresses.
    pub fn to_key(&self) -> Result<RequestKey> {
        self.to_string().parse()
    }
}

impl fmt::Display for PlacedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let random = self.random.simple();
        write!(
            formatter,
            "{PREFIX}{}.{}.{random}",
            self.address, self.incarnation
        )
    }
}

impl FromStr for PlacedKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        // The address itself contains dots, so the text is split from the end.
        let parts = text.strip_prefix(PREFIX).and_then(|rest| {
            let (rest, random) = rest.rsplit_once('.')?;
            let (address, incarnation) = rest.rsplit_once('.')?;
            let random = Uuid::try_parse(random).ok()?;
            Some(Self {
                address: address.parse().ok()?,
                incarnation: incarnation.parse().ok()?,
                random: (random.get_version_num() == 7).then_some(random)?,
            })
        });
        parts.ok_or_else(|| {
            Error::new(
                ResultCode::MalformedRequest,
                format!("`{text}` is not a placed key"),
            )
        })
    }
}
