use crate::id::NodeAddress;

/// Endpoint to which the first attempt with an idempotency key is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyOwner {
    /// Peer address of the node that serves the endpoint.
    pub address: NodeAddress,
    /// Whether the endpoint is suspected to have failed.
    pub suspected: bool,
}
