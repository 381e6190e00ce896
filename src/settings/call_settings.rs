use crate::clock::ClockTime;
use crate::error::Result;
use crate::settings::SettingTable;
use crate::size::ByteSize;

/// Holds limits on calls.
#[derive(Debug, Clone)]
pub struct CallSettings {
    /// Largest request head.
    pub head_limit: ByteSize,
    /// Largest request or answer body.
    pub body_limit: ByteSize,
    /// Time to receive a request head.
    pub head_timeout: ClockTime,
    /// Time to receive a request body.
    pub body_timeout: ClockTime,
    /// Largest call depth.
    pub depth_limit: u8,
    /// Calls that may wait for a slot at the endpoint.
    pub queue_limit: usize,
    /// Time that a leaving node waits for the calls it holds.
    pub drain_timeout: ClockTime,
    /// Lifetime of an idempotency key.
    pub key_lifetime: ClockTime,
    /// Time after its start from which an endpoint accepts keys made by callers.
    pub key_settle: ClockTime,
    /// Whether the plain policy is used: round robin, first in first out, no hedging.
    pub plain_policy: bool,
}

impl CallSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            head_limit: ByteSize(table.integer_or("head_limit", 16_384, 1_024..=65_536)?),
            body_limit: ByteSize(table.integer_or("body_limit", 1 << 20, 1_024..=1 << 24)?),
            head_timeout: table.time_or("head_timeout_ms", 2_000, 100..=60_000)?,
            body_timeout: table.time_or("body_timeout_ms", 10_000, 100..=600_000)?,
            depth_limit: table.integer_or("depth_limit", 8, 1..=64)? as u8,
            queue_limit: table.integer_or("queue_limit", 64, 1..=10_000)? as usize,
            drain_timeout: table.time_or("drain_timeout_ms", 30_000, 100..=600_000)?,
            key_lifetime: table.time_or("key_lifetime_ms", 600_000, 1_000..=3_600_000)?,
            key_settle: table.time_or("key_settle_ms", 30_000, 0..=600_000)?,
            plain_policy: table.boolean_or("plain_policy", false)?,
        };
        table.finish()?;
        Ok(settings)
    }
}
