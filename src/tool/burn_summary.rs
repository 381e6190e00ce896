use std::fmt;

use rand::Rng;
use serde::Serialize;

use crate::burn::BurnReport;
use crate::error::{Error, Result, ResultCode};
use crate::membership::MemberState;
use crate::tool::FleetReader;

/// Maximum number of concurrent reads when all live nodes are queried.
const MAX_CONCURRENT_READS: usize = 64;

/// Sum of the burn reports of several nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BurnSummary {
    /// Number of nodes whose reports the sum includes.
    pub nodes: usize,
    /// Number of live members.
    pub live: usize,
    /// Number of queried nodes that returned no report.
    pub silent: usize,
    /// Sum of the reports.
    pub report: BurnReport,
}

impl BurnSummary {
    /// Reads the reports of up to three nodes per zone, or of every live node if `all` is set.
    ///
    /// # Errors
    ///
    /// Returns `PeerUnreachable` if no node answers.
    pub async fn read<Random>(reader: &mut FleetReader, all: bool, rng: &mut Random) -> Result<Self>
    where
        Random: Rng + ?Sized,
    {
        let members = reader.members().await?;
        let live: Vec<_> = members
            .iter()
            .filter(|entry| entry.state == MemberState::Live)
            .collect();
        let mut summary = Self {
            live: live.len(),
            ..Self::default()
        };
        let mut pages = Vec::new();
        if all {
            for group in live.chunks(MAX_CONCURRENT_READS) {
                let reads =
                    reader.read_pages::<BurnReport>(group.to_vec(), "/v1/burn", group.len());
                let (group_pages, silent) = reads.await;
                pages.extend(group_pages);
                summary.silent += silent.len();
            }
        } else {
            let silent;
            (pages, silent) = reader
                .read_zone_pages::<BurnReport, _>(&members, "/v1/burn", rng)
                .await;
            summary.silent = silent.len();
        }
        summary.nodes = pages.len();
        for (_, page) in &pages {
            summary.report.merge(page);
        }
        if summary.nodes == 0 {
            return Err(Error::new(
                ResultCode::PeerUnreachable,
                format!("none of {} live nodes gave a burn report", summary.live),
            ));
        }
        Ok(summary)
    }
}

impl fmt::Display for BurnSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sum of {} of {} live nodes",
            self.nodes, self.live
        )?;
        if self.silent > 0 {
            write!(formatter, ", {} gave no report", self.silent)?;
        }
        writeln!(formatter)?;
        write!(formatter, "{}", self.report)
    }
}
