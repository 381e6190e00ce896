use crate::clock::ClockTime;

/// States where the key of an attempt comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOrigin {
    /// The entry node made the key for this call alone and nobody else knows it.
    Private,
    /// A placed key whose address and incarnation are those of this process.
    Placed,
    /// The caller made the key.
    Caller {
        /// Upper bound of the time since the entry node received the attempt.
        elapsed: ClockTime,
    },
}
