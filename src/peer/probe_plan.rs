use std::time::Duration;

/// States how often a connection is probed by PING frames.
#[derive(Debug, Clone, Copy)]
pub struct ProbePlan {
    /// Longest time from the start of a connection to the answer to its first PING.
    pub connect_timeout: Duration,
    /// Time between two looks at the state of the probe.
    pub tick: Duration,
    /// Ticks between two PINGs while streams are open.
    pub interval: u32,
    /// Ticks between two PINGs on an idle connection; without it, idle connections are not probed.
    pub idle_interval: Option<u32>,
    /// Ticks after which an unanswered PING means that the connection is silent.
    pub limit: u32,
}
