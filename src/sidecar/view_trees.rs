use std::collections::HashMap;
use std::net::IpAddr;

use smallvec::SmallVec;

use crate::id::{RegionName, ZoneName};
use crate::mesh::ServiceDirectory;
use crate::sidecar::ViewTree;

/// Nodes that a node may ask for a fresher view, from the trees of all regions.
#[derive(Debug, Clone, Default)]
pub(crate) struct ViewNeighbors {
    /// Whether the node reads the registry.
    pub(crate) is_reader: bool,
    /// Whether the node reads the registry if its parent's view is late.
    pub(crate) is_standby: bool,
    pub(crate) parents: SmallVec<[IpAddr; 2]>,
    /// The other roots, in all regions.
    pub(crate) readers: SmallVec<[IpAddr; 4]>,
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
    let mut names: Vec<&RegionName> = regions.values().collect();
    names.sort();
    names.dedup();
    let own_region = regions.get(zone);
    let mut neighbors = ViewNeighbors::default();
    for name in names {
        let tree = ViewTree::new(directory, |zone| regions.get(zone).cloned(), name);
        let readers = tree.readers();
        if Some(name) == own_region {
            neighbors.is_reader = readers.first() == Some(&node);
            neighbors.is_standby = readers.get(1) == Some(&node);
            neighbors.parents = tree.parents(node);
            neighbors.region_size = tree.nodes().len();
        }
        let others = readers.into_iter().filter(|reader| *reader != node);
        neighbors.readers.extend(others);
    }
    neighbors
}
