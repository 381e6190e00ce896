use std::fmt;

/// Reason why a node reads the registry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// The node has no view yet.
    Start,
    /// The node reads for its region.
    Reader,
    /// The node is the standby, and its view is late.
    Standby,
    /// No other node has refreshed the view in time.
    Fallback,
    /// The configuration lags behind the endpoints.
    Config,
}

impl ReadReason {
    /// Returns the label of the reason in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Reader => "reader",
            Self::Standby => "standby",
            Self::Fallback => "fallback",
            Self::Config => "config",
        }
    }
}

impl fmt::Display for ReadReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
