use crate::clock::ClockTime;

/// Largest error of a time in whole milliseconds.
const ROUNDING_ERROR: ClockTime = ClockTime(1);

/// Returns a time, on the clock of the requesting node, up to which a received view certainly
/// matched the registry.
///
/// The request was sent at `sent_at`; the other node replied `held` after it had received the
/// request, when its view had the given `age`. The estimate is early by the time that the request
/// took to arrive and never late. Nodes that request each other's views in a circle would otherwise
/// regard the same old view as fresher with each step.
///
/// # Examples
///
/// ```
/// use endivelanding::clock::ClockTime;
/// use endivelanding::sidecar::earliest_read_time;
///
/// let read_at = earliest_read_time(ClockTime(5_000), ClockTime(300), ClockTime(200));
/// assert_eq!(read_at, ClockTime(5_099));
/// ```
#[must_use]
pub fn earliest_read_time(sent_at: ClockTime, held: ClockTime, age: ClockTime) -> ClockTime {
    sent_at + held - age - ROUNDING_ERROR
}

/// Returns a time up to which the response to a watch of the registry certainly matched it.
///
/// The watch was sent at `sent_at` with the given `wait`, and the response was received at
/// `received_at`. A registry without changes responds when the wait is over. One with changes
/// responds at once, and the response may have been on its way ever since the watch was sent.
///
/// # Examples
///
/// ```
/// use endivelanding::clock::ClockTime;
/// use endivelanding::sidecar::watched_read_time;
///
/// let [sent_at, wait, received_at] = [ClockTime(5_000), ClockTime(200), ClockTime(5_900)];
/// assert_eq!(watched_read_time(sent_at, wait, received_at, true), sent_at);
/// assert_eq!(watched_read_time(sent_at, wait, received_at, false), ClockTime(5_199));
/// ```
#[must_use]
pub fn watched_read_time(
    sent_at: ClockTime,
    wait: ClockTime,
    received_at: ClockTime,
    is_changed: bool,
) -> ClockTime {
    let wait_end = sent_at + wait;
    if is_changed || received_at < wait_end {
        return sent_at;
    }
    wait_end - ROUNDING_ERROR
}
