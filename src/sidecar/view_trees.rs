use std::collections::HashMap;
use std::net::IpAddr;

use smallvec::SmallVec;

use crate::id::{RegionName, ZoneName};
use crate::mesh::ServiceDirectory;
use crate::sidecar::ViewTree;

/// The place of a node in the trees of its region.
#[derive(Debug, Clone, Default)]
pub(crate) struct ViewNeighbors {
    /// Whether the node reads the registry.
    pub(crate) is_reader: bool,
    /// Whether the node reads the registry if its parent's view is late.
    pub(crate) is_standby: bool,
    pub(crate) parents: SmallVec<[IpAddr; 2]>,
    /// Nodes that may request this node's view.
    pub(crate) children: Vec<IpAddr>,
    /// Number of nodes in the region.
    pub(crate) region_size: usize,
}

/// The neighbors of a node, computed again only after the directory has changed.
#[derive(Debug, Default)]
pub(crate) struct ViewTrees {
    generation: Option<u64>,
    neighbors: ViewNeighbors,
}

impl ViewTrees {
    /// Returns the neighbors of a node.
    pub(crate) fn neighbors(
        &mut self,
        directory: &ServiceDirectory,
        regions: &HashMap<ZoneName, RegionName>,
        zone: &ZoneName,
        node: IpAddr,
    ) -> &ViewNeighbors {
        let generation = Some(directory.generation());
        if self.generation != generation {
            self.generation = generation;
            self.neighbors = compute(directory, regions, zone, node);
        }
        &self.neighbors
    }
}

fn compute(
    directory: &ServiceDirectory,
    regions: &HashMap<ZoneName, RegionName>,
    zone: &ZoneName,
    node: IpAddr,
) -> ViewNeighbors {
    let mut neighbors = ViewNeighbors::default();
    let Some(region) = regions.get(zone) else {
        return neighbors;
    };
    let tree = ViewTree::new(directory, |zone| regions.get(zone).cloned(), region);
    let readers = tree.readers();
    neighbors.is_reader = readers.first() == Some(&node);
    neighbors.is_standby = readers.get(1) == Some(&node);
    neighbors.parents = tree.parents(node);
    neighbors.children = tree.children(node);
    neighbors.region_size = tree.nodes().len();
    neighbors
}
