use monoio::time;
use rand::Rng;

use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, ResultCode};
use crate::tool::{FleetReader, HeldVersions, WaitResult, WaitTarget, WaitVerdict};

/// Pause after the first survey.
const FIRST_PAUSE: ClockTime = ClockTime(200);
/// Longest pause between two surveys, so that a long wait costs the nodes little.
const LONGEST_PAUSE: ClockTime = ClockTime(1_000);

/// Polls the fleet until a version is in force.
#[derive(Debug, Clone)]
pub struct VersionWait {
    /// Version to wait for.
    pub target: WaitTarget,
    /// Longest time of the wait.
    pub timeout: ClockTime,
}

impl VersionWait {
    /// Waits until the version is in force, refused or lost a conflict, or until the time is up.
    ///
    /// The wait ends at once if no node answers in the first survey; later ones may fail, because
    /// nodes restart. `progress` gets the number of nodes that have the version and of live nodes.
    pub async fn run<Random, Progress>(
        &self,
        reader: &mut FleetReader,
        rng: &mut Random,
        mut progress: Progress,
    ) -> WaitResult
    where
        Random: Rng + ?Sized,
        Progress: FnMut(usize, usize),
    {
        let clock = SystemClock::new();
        let end = clock.now() + self.timeout;
        let mut pause = FIRST_PAUSE;
        let mut held = HeldVersions::default();
        let mut verdict = None;
        let mut failure = None;
        loop {
            let left = (end - clock.now()).to_duration();
            match time::timeout(left, reader.survey(rng)).await {
                Err(_) => break,
                Ok(Err(error)) if verdict.is_none() => return ended(None, error),
                Ok(Err(error)) => failure = Some(error),
                Ok(Ok(survey)) => {
                    failure = None;
                    held.add(&survey);
                    let found = self.target.judge(&survey, &held);
                    if let WaitVerdict::Pending { have, live } = found {
                        progress(have, live);
                        verdict = Some(found);
                    } else {
                        return self.decided(found);
                    }
                }
            }
            if clock.now() + pause >= end {
                time::sleep((end - clock.now()).to_duration()).await;
                break;
            }
            time::sleep(pause.to_duration()).await;
            pause = ClockTime(pause.0 * 3 / 2).min(LONGEST_PAUSE);
        }
        let error = failure.unwrap_or_else(|| self.timed_out(verdict.as_ref()));
        ended(verdict, error)
    }

    fn decided(&self, verdict: WaitVerdict) -> WaitResult {
        let target = &self.target;
        let error = match &verdict {
            WaitVerdict::Conflict(winner) => Some(Error::new(
                ResultCode::ManifestConflict,
                format!("version {target} lost to the content {winner} under the same number"),
            )),
            WaitVerdict::Refused(refused) => Some(Error::new(
                ResultCode::VersionRefused,
                format!(
                    "node {} refused version {target} with code {}: {}",
                    refused.node,
                    refused.code.number(),
                    if refused.message.is_empty() {
                        refused.code.meaning()
                    } else {
                        &refused.message
                    }
                ),
            )),
            WaitVerdict::InForce { .. } | WaitVerdict::Pending { .. } => None,
        };
        WaitResult {
            verdict: Some(verdict),
            error,
        }
    }

    fn timed_out(&self, verdict: Option<&WaitVerdict>) -> Error {
        let (target, timeout) = (&self.target, self.timeout);
        let Some(WaitVerdict::Pending { have, live }) = verdict else {
            let message = format!("no node answered within {timeout}");
            return Error::new(ResultCode::PeerUnreachable, message);
        };
        if *live == 0 {
            let message = format!("no member is live after {timeout}, all are leaving");
            return Error::new(ResultCode::WaitTimeout, message);
        }
        Error::new(
            ResultCode::WaitTimeout,
            format!("version {target} is known at {have} of {live} live nodes after {timeout}"),
        )
    }
}

fn ended(verdict: Option<WaitVerdict>, error: Error) -> WaitResult {
    WaitResult {
        verdict,
        error: Some(error),
    }
}
