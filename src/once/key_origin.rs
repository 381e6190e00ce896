use crate::clock::ClockTime;

/// Origin of the idempotency key of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOrigin {
    /// The entry node generated the key for this call only and does not disclose it.
    Generated,
    /// The key is a placed key with the address and incarnation of this process.
    Placed,
    /// The caller generated the key.
    Caller {
        /// Upper bound of the time since the entry node received the attempt.
        elapsed: ClockTime,
    },
}
