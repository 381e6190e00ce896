use crate::id::EndpointId;

/// A change to the directory entry of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// The endpoint accepts new requests.
    Ready(EndpointId),
    /// The endpoint accepts no new requests.
    Draining(EndpointId),
    /// The endpoint has become cold.
    Cold(EndpointId),
    /// The entry is missing after a registry outage; the endpoint may register again.
    Missing(EndpointId),
    /// The endpoint was removed.
    Gone(EndpointId),
}

impl DirectoryEvent {
    /// Returns the endpoint that the event concerns.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointId {
        match self {
            Self::Ready(id)
            | Self::Draining(id)
            | Self::Cold(id)
            | Self::Missing(id)
            | Self::Gone(id) => id,
        }
    }

    /// Returns the name of the event for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Ready(_) => "ready",
            Self::Draining(_) => "draining",
            Self::Cold(_) => "cold",
            Self::Missing(_) => "missing",
            Self::Gone(_) => "gone",
        }
    }
}
