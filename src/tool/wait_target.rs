use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

use crate::error::Result;
use crate::manifest::Manifest;
use crate::status::RefusedVersion;
use crate::tool::{FleetSnapshot, KnownVersions, WaitStatus, manifest_check};
use crate::version::{ContentDigest, VersionStamp};

/// Version that a [`VersionWait`](crate::tool::VersionWait) waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitTarget {
    number: u64,
    content: Option<TargetContent>,
}

/// Digests of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TargetContent {
    /// Digest that is part of the stamp.
    stamp_digest: ContentDigest,
    /// Digest of the file's bytes, by which nodes report the refusal of a published value.
    file_digest: ContentDigest,
}

impl WaitTarget {
    /// Creates a target that matches a version number with any content.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
        Self {
            number,
            content: None,
        }
    }

    /// Creates a target that matches exactly this manifest.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Manifest::decode`].
    pub fn from_manifest(bytes: &[u8]) -> Result<Self> {
        let stamp = Manifest::decode(bytes)?.stamp();
        Ok(Self {
            number: stamp.number,
            content: Some(TargetContent {
                stamp_digest: stamp.digest,
                file_digest: ContentDigest::of(bytes),
            }),
        })
    }

    /// Creates a target from a manifest file.
    ///
    /// # Errors
    ///
    /// Returns `SettingsUnreadable` if the file cannot be read, `ManifestTooLarge` if it exceeds
    /// the size limit, and the errors of [`Manifest::decode`], all with the file name in the
    /// message.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes = manifest_check::read_manifest(path)?;
        Self::from_manifest(&bytes).map_err(|error| manifest_check::prefix_file_name(path, &error))
    }

    /// Determines whether the version is in force at every live member.
    ///
    /// `known` contains the reports of this and earlier snapshots.
    #[must_use]
    pub fn evaluate(&self, snapshot: &FleetSnapshot, known: &KnownVersions) -> WaitStatus {
        if let Some(winner) = self.conflict_winner(snapshot) {
            return WaitStatus::Conflict(winner);
        }
        let live = snapshot.live().count();
        let stamps: Vec<_> = snapshot
            .live()
            .filter_map(|entry| known.stamp(entry))
            .filter(|stamp| self.is_satisfied_by(*stamp))
            .collect();
        let exact: BTreeSet<_> = stamps
            .iter()
            .filter(|stamp| stamp.number == self.number)
            .collect();
        let have = stamps.len();
        // During a conflict, nodes have two contents under the same number until the one with the
        // higher digest has reached all of them.
        if live > 0 && have == live && exact.len() <= 1 && snapshot.unlisted() == 0 {
            let newest = stamps.iter().max().copied();
            return WaitStatus::InForce {
                live,
                stamp: exact.first().map(|stamp| **stamp),
                superseded_by: newest.filter(|stamp| stamp.number > self.number),
            };
        }
        let refusals = snapshot.answers.iter().flat_map(|status| &status.refused);
        let matching = refusals.filter(|refused| self.matches_refusal(refused));
        // The refusing node reports a message; other nodes pass on only the code.
        match matching.max_by_key(|refused| refused.message.len()) {
            Some(refused) => WaitStatus::Refused(refused.clone()),
            None => WaitStatus::Pending {
                have,
                live: live + snapshot.unlisted(),
            },
        }
    }

    fn is_satisfied_by(&self, stamp: VersionStamp) -> bool {
        let same = |content: &TargetContent| content.stamp_digest == stamp.digest;
        stamp.number > self.number
            || stamp.number == self.number && self.content.as_ref().is_none_or(same)
    }

    fn matches_refusal(&self, refused: &RefusedVersion) -> bool {
        match &self.content {
            // The number is zero if the value could not be decoded, so only digests are compared.
            Some(content) => [content.stamp_digest, content.file_digest].contains(&refused.digest),
            None => refused.number == self.number,
        }
    }

    /// Returns the digest of the content that replaced the content of this target, if any.
    fn conflict_winner(&self, snapshot: &FleetSnapshot) -> Option<ContentDigest> {
        let own = self.content.as_ref()?.stamp_digest;
        let number = self.number;
        let reported = snapshot
            .answers
            .iter()
            .flat_map(|status| &status.conflicts)
            .filter(|conflict| conflict.number == number && conflict.loser == own)
            .map(|conflict| conflict.winner);
        let stamps = snapshot.answers.iter().map(|status| status.stamp);
        let in_force = stamps
            .filter(|stamp| stamp.number == number && stamp.digest > own)
            .map(|stamp| stamp.digest);
        reported.chain(in_force).max()
    }
}

impl fmt::Display for WaitTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.content {
            Some(content) => write!(formatter, "{}-{}", self.number, content.stamp_digest),
            None => write!(formatter, "{}", self.number),
        }
    }
}
