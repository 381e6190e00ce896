use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::id::{RegionName, ZoneName};
use crate::mesh::ServiceDirectory;

/// Nodes that ask one node for its view. At this number five levels serve 5,500 nodes.
const FANOUT: usize = 8;

/// Says from whom a node learns of changes, so that few nodes read the registry.
///
/// The nodes of a region form a tree in the order of a hash of their addresses. The first one
/// reads the registry; each other one asks the node above it. All nodes that see the same
/// endpoints find the same tree without any agreement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewTree {
    nodes: Vec<IpAddr>,
}

impl ViewTree {
    /// Arranges the nodes of a region.
    #[must_use]
    pub fn new<Regions>(directory: &ServiceDirectory, regions: Regions, region: &RegionName) -> Self
    where
        Regions: Fn(&ZoneName) -> Option<RegionName>,
    {
        let nodes: BTreeMap<[u8; 32], IpAddr> = directory
            .records()
            .filter(|record| regions(&record.zone).as_ref() == Some(region))
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

    /// Returns the node that another one asks; `None` for the one that reads the registry.
    #[must_use]
    pub fn parent(&self, node: IpAddr) -> Option<IpAddr> {
        let place = self.nodes.iter().position(|other| *other == node);
        match place {
            Some(0) => None,
            Some(place) => self.nodes.get((place - 1) / FANOUT).copied(),
            // A node without a live endpoint is nobody's parent.
            None => self.nodes.last().copied(),
        }
    }

    /// Returns the nodes of the region.
    #[must_use]
    pub fn nodes(&self) -> &[IpAddr] {
        &self.nodes
    }
}
