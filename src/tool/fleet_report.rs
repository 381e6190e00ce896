use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{NodeAddress, ZoneName};
use crate::membership::MemberEntry;
use crate::tool::zone_report::{MAX_LISTED, write_nodes};
use crate::tool::{ConflictEntry, FleetSnapshot, KnownVersions, RefusalEntry, ZoneReport};

/// Versions, refusals and conflicts in the fleet, as known to the queried nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Zones that have live nodes, sorted by name.
    pub zones: Vec<ZoneReport>,
    /// Refused versions, one entry per node and version.
    pub refused: Vec<RefusalEntry>,
    /// Contents discarded because another content has the same version number.
    pub conflicts: Vec<ConflictEntry>,
    /// Sum of the stale reads that the queried nodes have counted since they started.
    pub stale_reads: u64,
    /// Age of the most recent read of the configuration service; `None` if no queried node knows of
    /// one.
    pub read_age: Option<ClockTime>,
    /// Number of leaving members, which complete their running calls and accept no new ones.
    pub leaving: usize,
    /// Queried nodes that are not ready.
    pub not_ready: Vec<NodeAddress>,
    /// Queried nodes that gave no usable answer, at most 20.
    pub silent: Vec<NodeAddress>,
    /// Number of live nodes that a queried node knows but the member list does not contain.
    pub unlisted: usize,
}

impl FleetReport {
    /// Creates the report of a snapshot.
    #[must_use]
    pub fn new(snapshot: &FleetSnapshot) -> Self {
        let ages = snapshot.answers.iter().map(|status| status.read_age);
        let not_ready = snapshot.answers.iter().filter(|status| !status.ready);
        Self {
            zones: zone_reports(snapshot),
            refused: refusals(snapshot),
            conflicts: conflicts(snapshot),
            stale_reads: snapshot
                .answers
                .iter()
                .map(|status| status.stale_reads)
                .sum(),
            read_age: ages.min().filter(|age| *age != ClockTime(u64::MAX)),
            leaving: snapshot.members.len() - snapshot.live().count(),
            not_ready: not_ready.map(|status| status.member.address).collect(),
            silent: snapshot.silent.iter().copied().take(MAX_LISTED).collect(),
            unlisted: snapshot.unlisted(),
        }
    }
}

fn zone_reports(snapshot: &FleetSnapshot) -> Vec<ZoneReport> {
    let known = KnownVersions::from(snapshot);
    let mut nodes = BTreeMap::<&ZoneName, Vec<&MemberEntry>>::new();
    for entry in snapshot.live() {
        nodes.entry(&entry.zone).or_default().push(entry);
    }
    let zones = nodes.into_iter().map(|(zone, entries)| {
        let answers = snapshot.answers.iter();
        let asked = answers.filter(|status| status.member.zone == *zone).count();
        ZoneReport::new(zone.clone(), &entries, &known, asked)
    });
    zones.collect()
}

fn refusals(snapshot: &FleetSnapshot) -> Vec<RefusalEntry> {
    let mut entries = BTreeMap::new();
    for refused in snapshot.answers.iter().flat_map(|status| &status.refused) {
        let key = (refused.number, refused.digest, refused.node);
        let entry = entries.entry(key).or_insert_with(|| RefusalEntry {
            number: refused.number,
            digest: refused.digest,
            node: refused.node,
            code: refused.code,
            message: String::new(),
        });
        // Only the refusing node has the message; other nodes pass on the code alone.
        if !refused.message.is_empty() {
            entry.message.clone_from(&refused.message);
        }
    }
    entries.into_values().collect()
}

fn conflicts(snapshot: &FleetSnapshot) -> Vec<ConflictEntry> {
    let all = snapshot.answers.iter().flat_map(|status| &status.conflicts);
    let entries: BTreeMap<_, _> = all
        .map(|conflict| {
            let entry = ConflictEntry {
                number: conflict.number,
                winner: conflict.winner,
                loser: conflict.loser,
                code: ResultCode::ManifestConflict,
            };
            ((conflict.number, conflict.winner, conflict.loser), entry)
        })
        .collect();
    entries.into_values().collect()
}

impl fmt::Display for FleetReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for zone in &self.zones {
            writeln!(formatter, "{zone}")?;
        }
        match self.read_age {
            Some(age) => writeln!(
                formatter,
                "last read of the configuration service: {age} ago, stale reads: {}",
                self.stale_reads
            )?,
            None => writeln!(
                formatter,
                "last read of the configuration service: not known, stale reads: {}",
                self.stale_reads
            )?,
        }
        if self.leaving > 0 {
            writeln!(formatter, "leaving nodes: {}", self.leaving)?;
        }
        for entry in &self.refused {
            let reason = if entry.message.is_empty() {
                entry.code.meaning()
            } else {
                &entry.message
            };
            let (node, number, digest) = (entry.node, entry.number, entry.digest);
            let code = entry.code.number();
            writeln!(
                formatter,
                "refused: version {number} (digest {digest}) by {node}: {reason} (code {code})"
            )?;
        }
        for entry in &self.conflicts {
            let (number, winner, loser) = (entry.number, entry.winner, entry.loser);
            let code = entry.code.number();
            writeln!(
                formatter,
                "conflict: version {number}, content {winner} won over {loser} (code {code})"
            )?;
        }
        for (label, nodes) in [("not ready", &self.not_ready), ("no answer", &self.silent)] {
            if !nodes.is_empty() {
                write!(formatter, "{label}:")?;
                write_nodes(formatter, nodes)?;
                writeln!(formatter)?;
            }
        }
        if self.unlisted > 0 {
            writeln!(
                formatter,
                "an asked node knows {} live nodes more than the member list",
                self.unlisted
            )?;
        }
        Ok(())
    }
}
