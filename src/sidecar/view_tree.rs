use std::collections::BTreeMap;
use std::net::IpAddr;

use smallvec::SmallVec;

use crate::id::{RegionName, ZoneName};
use crate::mesh::ServiceDirectory;

/// Number of children per node. With 8 children, five levels hold 5,500 nodes.
const CHILD_COUNT: usize = 8;

/// The two distribution trees of a region, which limit the number of nodes that read the registry.
///
/// The nodes of a region are ordered by the hashes of their addresses. They fill one tree from the
/// first node on and another one from the last node on. The first root reads the registry; every
/// other node requests the view of a parent, and that of its parent in the other tree if the first
/// one is late. The second root then reads the registry. A node with children in one tree has none in
/// the other, so no node depends on a single other one. Nodes that see the same endpoints compute the
/// same trees without coordination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewTree {
    nodes: Vec<IpAddr>,
}

impl ViewTree {
    /// Builds the trees of a region from the endpoints in the directory.
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

    /// Returns the roots of the trees: the node that reads the registry and its standby.
    #[must_use]
    pub fn readers(&self) -> SmallVec<[IpAddr; 2]> {
        let mut readers: SmallVec<[IpAddr; 2]> = SmallVec::new();
        readers.extend(self.nodes.first().copied());
        readers.extend(self.nodes.last().copied().filter(|_| self.nodes.len() > 1));
        readers
    }

    /// Returns the parents of a node, without duplicates.
    ///
    /// A root has one parent, in the other tree. A node that is not in the trees has no children,
    /// so it may request the views of the roots.
    #[must_use]
    pub fn parents(&self, node: IpAddr) -> SmallVec<[IpAddr; 2]> {
        let Some(place) = self.nodes.iter().position(|other| *other == node) else {
            return self.readers();
        };
        let last = self.nodes.len() - 1;
        let forward = parent_place(place);
        let backward = parent_place(last - place).map(|parent| last - parent);
        let mut parents: SmallVec<[IpAddr; 2]> = SmallVec::new();
        for place in [forward, backward].into_iter().flatten() {
            let parent = self.nodes[place];
            if parent != node && !parents.contains(&parent) {
                parents.push(parent);
            }
        }
        parents
    }

    /// Returns the nodes that have a node as a parent.
    #[must_use]
    pub fn children(&self, node: IpAddr) -> Vec<IpAddr> {
        let Some(place) = self.nodes.iter().position(|other| *other == node) else {
            return Vec::new();
        };
        let last = self.nodes.len() - 1;
        let forward = child_places(place).take_while(|child| *child <= last);
        let backward = child_places(last - place)
            .take_while(|child| *child <= last)
            .map(|child| last - child);
        let mut children = Vec::new();
        for place in forward.chain(backward) {
            let child = self.nodes[place];
            if child != node && !children.contains(&child) {
                children.push(child);
            }
        }
        children
    }

    /// Returns the nodes in the order of the first tree, starting with its root.
    #[must_use]
    pub fn nodes(&self) -> &[IpAddr] {
        &self.nodes
    }
}

/// Returns the places of the children in the order of a tree.
fn child_places(place: usize) -> impl Iterator<Item = usize> {
    let first = place * CHILD_COUNT + 1;
    first..first + CHILD_COUNT
}

/// Returns the place of the parent in the order of a tree, or `None` for the root.
fn parent_place(place: usize) -> Option<usize> {
    place.checked_sub(1).map(|place| place / CHILD_COUNT)
}
