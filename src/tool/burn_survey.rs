use std::fmt;

use rand::Rng;
use serde::Serialize;

use crate::burn::BurnReport;
use crate::error::{Error, Result, ResultCode};
use crate::membership::MemberState;
use crate::tool::FleetReader;

/// Nodes that are asked at once when the report covers all.
const ASKED_AT_ONCE: usize = 64;

/// Sums the burn reports of some nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BurnSurvey {
    /// Nodes that the sum covers.
    pub nodes: usize,
    /// Live members.
    pub live: usize,
    /// Nodes that were asked and gave no report.
    pub silent: usize,
    /// Sum of the reports.
    pub report: BurnReport,
}

impl BurnSurvey {
    /// Reads the reports of up to three nodes of each zone, or of all live nodes.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if no node answers.
    pub async fn read<Random>(reader: &mut FleetReader, all: bool, rng: &mut Random) -> Result<Self>
    where
        Random: Rng + ?Sized,
    {
        let members = reader.members().await?;
        let live: Vec<_> = members
            .iter()
            .filter(|entry| entry.state == MemberState::Live)
            .collect();
        let mut survey = Self {
            live: live.len(),
            ..Self::default()
        };
        let mut pages = Vec::new();
        if all {
            for group in live.chunks(ASKED_AT_ONCE) {
                let asked = reader.ask::<BurnReport>(group.to_vec(), "/v1/burn", group.len());
                let (group_pages, silent) = asked.await;
                pages.extend(group_pages);
                survey.silent += silent.len();
            }
        } else {
            let silent;
            (pages, silent) = reader
                .ask_zones::<BurnReport, _>(&members, "/v1/burn", rng)
                .await;
            survey.silent = silent.len();
        }
        survey.nodes = pages.len();
        for (_, page) in &pages {
            survey.report.merge(page);
        }
        if survey.nodes == 0 {
            return Err(Error::new(
                ResultCode::PeerUnreachable,
                format!("none of {} live nodes gave a burn report", survey.live),
            ));
        }
        Ok(survey)
    }
}

impl fmt::Display for BurnSurvey {
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
