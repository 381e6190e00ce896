use std::collections::BTreeMap;

use crate::id::{NodeAddress, RegionName, ZoneName};
use crate::membership::{MemberEntry, MemberTable};

/// The member table arranged by zone and region relative to one node.
///
/// Recomputed when the table changes.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Other nodes of the zone in ring order of their hashes, starting after the node itself.
    pub ring: Vec<NodeAddress>,
    /// Every other zone, by name.
    pub zones: BTreeMap<ZoneName, ZoneView>,
    /// Rank of the node within its zone, ordered by the blake3 hash of address and zone.
    pub zone_rank: usize,
    /// Rank of the node within its region, ordered by the blake3 hash of address and region.
    pub region_rank: usize,
    /// Number of nodes that are not gone, including this one.
    pub node_count: usize,
}

/// A zone other than the one of the node itself.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// Region of the zone.
    pub region: RegionName,
    /// Nodes of the zone, sorted by address.
    pub nodes: Vec<NodeAddress>,
}

impl FleetView {
    /// Creates the view of `table` for the node with the member entry `own`.
    #[must_use]
    pub fn new(table: &MemberTable, own: &MemberEntry) -> Self {
        let mut view = Self::default();
        let own_zone = hash(&own.address, own.zone.as_str());
        let own_region = hash(&own.address, own.region.as_str());
        let mut ring = Vec::new();
        for member in table.present() {
            view.node_count += 1;
            let address = member.address;
            if address == own.address {
                continue;
            }
            if member.region == own.region && hash(&address, own.region.as_str()) < own_region {
                view.region_rank += 1;
            }
            if member.zone == own.zone {
                ring.push((hash(&address, own.zone.as_str()), address));
            } else {
                let zone = view.zones.entry(member.zone.clone());
                let zone = zone.or_insert_with(|| ZoneView {
                    region: member.region.clone(),
                    nodes: Vec::new(),
                });
                zone.nodes.push(address);
            }
        }
        ring.sort();
        view.zone_rank = ring.partition_point(|(hash, _)| *hash < own_zone);
        ring.rotate_left(view.zone_rank);
        view.ring = ring.into_iter().map(|(_, address)| address).collect();
        view
    }

    /// Returns the number of zones, including the zone of the node itself.
    #[must_use]
    pub fn zone_count(&self) -> usize {
        self.zones.len() + 1
    }
}

fn hash(address: &NodeAddress, scope: &str) -> [u8; 32] {
    *blake3::hash(format!("{address} {scope}").as_bytes()).as_bytes()
}
