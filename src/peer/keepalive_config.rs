use std::time::Duration;

/// Intervals and timeouts at which a connection is probed with HTTP/2 PING frames.
#[derive(Debug, Clone, Copy)]
pub struct KeepaliveConfig {
    /// Time from the start of connecting to the acknowledgement of the first PING.
    pub connect_timeout: Duration,
    /// Unit in which the probe counts time.
    pub tick: Duration,
    /// Ticks between two PINGs while streams are open.
    pub active_interval_ticks: u32,
    /// Ticks between two PINGs on an idle connection; `None` leaves idle connections unprobed.
    pub idle_interval_ticks: Option<u32>,
    /// Ticks after which a connection with an unacknowledged PING counts as unresponsive.
    pub timeout_ticks: u32,
}
