use std::fmt;
use std::net::IpAddr;

/// Source and form in which a configuration arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfigOrigin {
    /// In full, from the registry.
    Registry,
    /// In full, from another node.
    Snapshot(IpAddr),
    /// As the changes to the installed version, from another node.
    Delta {
        node: IpAddr,
        changed_count: usize,
        removed_count: usize,
    },
}

impl fmt::Display for ConfigOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Registry => formatter.write_str("source=registry form=full"),
            Self::Snapshot(node) => write!(formatter, "source={node} form=full"),
            Self::Delta {
                node,
                changed_count,
                removed_count,
            } => write!(
                formatter,
                "source={node} form=delta changed={changed_count} removed={removed_count}"
            ),
        }
    }
}
