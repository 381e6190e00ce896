use std::fmt;

use serde::Serialize;

use crate::id::{NodeAddress, ZoneName};
use crate::membership::MemberEntry;
use crate::tool::{self, KnownVersions};
use crate::version::VersionStamp;

/// Maximum number of nodes listed by address.
pub(crate) const MAX_LISTED: usize = 20;

/// Newest version in force in a zone and the number of its nodes that have it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Newest version known to be in force at a node of the zone.
    #[serde(serialize_with = "tool::serialize_display")]
    pub stamp: VersionStamp,
    /// Number of live nodes known to have this version in force.
    pub have: usize,
    /// Number of live nodes.
    pub live: usize,
    /// Number of queried nodes that answered.
    pub asked: usize,
    /// Live nodes not known to have this version, at most 20.
    pub unknown: Vec<NodeAddress>,
    /// Number of such nodes that are omitted from `unknown`.
    pub unknown_more: usize,
}

impl ZoneReport {
    /// Creates the report of a zone from its live nodes and the known versions.
    pub(crate) fn new(
        zone: ZoneName,
        nodes: &[&MemberEntry],
        known: &KnownVersions,
        asked: usize,
    ) -> Self {
        let stamp_of = |entry: &MemberEntry| known.stamp(entry);
        let stamps = nodes.iter().filter_map(|entry| stamp_of(entry));
        let stamp = stamps.max().unwrap_or_default();
        let is_unknown = |entry: &MemberEntry| stamp_of(entry) != Some(stamp);
        let unknown: Vec<_> = nodes
            .iter()
            .filter(|entry| is_unknown(entry))
            .map(|entry| entry.address)
            .collect();
        Self {
            zone,
            stamp,
            have: nodes.len() - unknown.len(),
            live: nodes.len(),
            asked,
            unknown_more: unknown.len().saturating_sub(MAX_LISTED),
            unknown: unknown.into_iter().take(MAX_LISTED).collect(),
        }
    }
}

impl fmt::Display for ZoneReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "zone {}: version {} at {} of {} live nodes, {} asked",
            self.zone, self.stamp, self.have, self.live, self.asked
        )?;
        if !self.unknown.is_empty() {
            write!(formatter, "\n  not known to have it:")?;
            write_nodes(formatter, &self.unknown)?;
            if self.unknown_more > 0 {
                write!(formatter, " and {} more", self.unknown_more)?;
            }
        }
        Ok(())
    }
}

/// Writes each node address, preceded by a space.
pub(crate) fn write_nodes(
    formatter: &mut fmt::Formatter<'_>,
    nodes: &[NodeAddress],
) -> fmt::Result {
    nodes
        .iter()
        .try_for_each(|node| write!(formatter, " {node}"))
}
