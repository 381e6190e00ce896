use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{NodeAddress, ZoneName};
use crate::membership::MemberEntry;
use crate::tool::zone_report::{MAX_NAMED, write_nodes};
use crate::tool::{ConflictEntry, FleetSnapshot, KnownVersions, RefusalEntry, ZoneReport};

/// Reports versions and faults as the asked nodes know them.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Zones with live nodes, by name.
    pub zones: Vec<ZoneReport>,
    /// Refused versions.
    pub refused: Vec<RefusalEntry>,
    /// Contents that lost under their number.
    pub conflicts: Vec<ConflictEntry>,
    /// Stale reads counted by the asked nodes since their start.
    pub stale_reads: u64,
    /// Age of the freshest read of the configuration service; absent if no asked node knows one.
    pub read_age: Option<ClockTime>,
    /// Members that finish what they hold and take no new work.
    pub leaving: usize,
    /// Asked nodes that are not ready.
    pub not_ready: Vec<NodeAddress>,
    /// Asked nodes that gave no usable answer, at most 20.
    pub silent: Vec<NodeAddress>,
    /// Live nodes that an asked node knows of beyond the member list.
    pub unlisted: usize,
}

impl FleetReport {
    /// Makes the report of a snapshot.
    #[must_use]
    pub fn new(snapshot: &FleetSnapshot) -> Self {
        let ages = snapshot.answers.iter().map(|status| status.read_age);
        let not_ready = snapshot.answers.iter().filter(|status| !status.ready);
        Self {
            zones: zones(snapshot),
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
            silent: snapshot.silent.iter().copied().take(MAX_NAMED).collect(),
            unlisted: snapshot.unlisted(),
        }
    }
}

fn zones(snapshot: &FleetSnapshot) -> Vec<ZoneReport> {
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
    let mut lines = BTreeMap::new();
    for refused in snapshot.answers.iter().flat_map(|status| &status.refused) {
        let key = (refused.number, refused.digest, refused.node);
        let line = lines.entry(key).or_insert_with(|| RefusalEntry {
            number: refused.number,
            digest: refused.digest,
            node: refused.node,
            code: refused.code,
            message: String::new(),
        });
        // Only the node that refused knows the reason in words.
        if !refused.message.is_empty() {
            line.message.clone_from(&refused.message);
        }
    }
    lines.into_values().collect()
}

fn conflicts(snapshot: &FleetSnapshot) -> Vec<ConflictEntry> {
    let all = snapshot.answers.iter().flat_map(|status| &status.conflicts);
    let lines: BTreeMap<_, _> = all
        .map(|conflict| {
            let line = ConflictEntry {
                number: conflict.number,
                winner: conflict.winner,
                loser: conflict.loser,
                code: ResultCode::ManifestConflict,
            };
            ((conflict.number, conflict.winner, conflict.loser), line)
        })
        .collect();
    lines.into_values().collect()
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
        for line in &self.refused {
            let reason = if line.message.is_empty() {
                line.code.meaning()
            } else {
                &line.message
            };
            let (node, number, digest) = (line.node, line.number, line.digest);
            let code = line.code.number();
            writeln!(
                formatter,
                "refused: version {number} (digest {digest}) by {node}: {reason} (code {code})"
            )?;
        }
        for line in &self.conflicts {
            let (number, winner, loser) = (line.number, line.winner, line.loser);
            let code = line.code.number();
            writeln!(
                formatter,
                "conflict: version {number}, content {winner} won over {loser} (code {code})"
            )?;
        }
        for (what, nodes) in [("not ready", &self.not_ready), ("no answer", &self.silent)] {
            if !nodes.is_empty() {
                write!(formatter, "{what}:")?;
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
