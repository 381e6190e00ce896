use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::id::{RegionName, ZoneName};
use crate::mesh::ServiceDirectory;

/// Number of children per node. With 8 children, five levels hold 5,500 nodes.
const FANOUT: usize = 8;

/// The distribution tree of a region, which limits the number of nodes that read the registry.
///
/// The nodes of a region form a tree in the order of the hashes of their addresses. The root reads
/// the registry; every other node requests the view of its parent. Nodes that see the same
/// endpoints compute the same tree without coordination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewTree {
    nodes: Vec<IpAddr>,
}

impl ViewTree {
    /// Builds the tree of a region from the endpoints in the directory.
    #[must_use]
    pub fn new<RegionOf>(
        directory: &ServiceDirectory,
        region_of: RegionOf,
        region: &RegionName,
    ) -> Self
    where
        RegionOf: Fn(&ZoneName) -> Option<RegionName>,
    {
        let nodes: BTreeMap<[u8; 32], IpAddr> = directory
            .records()
            .filter(|record| region_of(&record.zone).as_ref() == Some(region))
            .map(|record| record.address.ip())
            .map(|address| {
                let hash = blake3::hash(address.to_string().as_bytes());
                (*hash.as_bytes(), address)
            })
            .collect();
        Self {
            nodes: nodes.into_values().collect(),
        }
    }

    /// Returns the parent of a node, or `None` for the root and in an empty tree.
    ///
    /// A node that is not in the tree gets the last node as its parent.
    #[must_use]
    pub fn parent(&self, node: IpAddr) -> Option<IpAddr> {
        let place = self.nodes.iter().position(|other| *other == node);
        match place {
            Some(0) => None,
            Some(place) => self.nodes.get((place - 1) / FANOUT).copied(),
            // A node without a listed endpoint is in no other node's tree, so it has no children.
            None => self.nodes.last().copied(),
        }
    }

    /// Returns the nodes of the tree, starting with the root.
    #[must_use]
    pub fn nodes(&self) -> &[IpAddr] {
        &self.nodes
    }
}
