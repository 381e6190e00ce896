use std::time::Duration;

/// States how often a connection is probed by PING frames.
#[derive(Debug, Clone, Copy)]
pub struct KeepaliveConfig {
    /// Longest time from the start of a connection to the answer to its first PING.
    pub connect_timeout: Duration,
    /// Time between two looks at the state of the probe.
    pub tick: Duration,
    /// Ticks between two PINGs while streams are open.
    pub active_interval_ticks: u32,
    /// Ticks between two PINGs on an idle connection; without it, idle connections are not probed.
    pub idle_interval_ticks: Option<u32>,
    /// Ticks after which an unanswered PING means that the connection is silent.
    pub timeout_ticks: u32,
}
