use std::fmt;
use std::net::IpAddr;

/// Source that last refreshed the view of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ViewOrigin {
    /// The registry, read by this node.
    Registry,
    /// Another node.
    Node(IpAddr),
}

impl fmt::Display for ViewOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Registry => formatter.write_str("registry"),
            Self::Node(address) => address.fmt(formatter),
        }
    }
}
