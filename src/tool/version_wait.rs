use monoio::time;
use rand::Rng;

use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, ResultCode};
use crate::tool::{FleetReader, KnownVersions, WaitResult, WaitStatus, WaitTarget};

/// Initial interval between two snapshots.
const INITIAL_POLL_INTERVAL: ClockTime = ClockTime(200);
/// Upper bound of the growing interval, which limits the load of a long wait on the nodes.
const MAX_POLL_INTERVAL: ClockTime = ClockTime(1_000);

/// Wait that polls the fleet until a version is in force.
#[derive(Debug, Clone)]
pub struct VersionWait {
    /// Version to wait for.
    pub target: WaitTarget,
    /// Maximum duration of the wait.
    pub timeout: ClockTime,
}

impl VersionWait {
    /// Waits until the version is in force, is refused or loses a conflict, or until the timeout.
    ///
    /// If no node answers the first snapshot, the wait fails immediately. Later snapshots may fail,
    /// since nodes restart. `progress` is called with the number of nodes that have the version and
    /// the number of live nodes.
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
        let mut interval = INITIAL_POLL_INTERVAL;
        let mut known = KnownVersions::default();
        let mut status = None;
        let mut failure = None;
        loop {
            let remaining = (end - clock.now()).to_duration();
            match time::timeout(remaining, reader.read_snapshot(rng)).await {
                Err(_) => break,
                Ok(Err(error)) if status.is_none() => return failed_result(None, error),
                Ok(Err(error)) => failure = Some(error),
                Ok(Ok(snapshot)) => {
                    failure = None;
                    known.merge(&snapshot);
                    let found = self.target.evaluate(&snapshot, &known);
                    if let WaitStatus::Pending { have, live } = found {
                        progress(have, live);
                        status = Some(found);
                    } else {
                        return self.final_result(found);
                    }
                }
            }
            if clock.now() + interval >= end {
                time::sleep((end - clock.now()).to_duration()).await;
                break;
            }
            time::sleep(interval.to_duration()).await;
            interval = ClockTime(interval.0 * 3 / 2).min(MAX_POLL_INTERVAL);
        }
        let error = failure.unwrap_or_else(|| self.timeout_error(status.as_ref()));
        failed_result(status, error)
    }

    fn final_result(&self, status: WaitStatus) -> WaitResult {
        let target = &self.target;
        let error = match &status {
            WaitStatus::Conflict(winner) => Some(Error::new(
                ResultCode::ManifestConflict,
                format!("version {target} lost to the content {winner} under the same number"),
            )),
            WaitStatus::Refused(refused) => Some(Error::new(
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
            WaitStatus::InForce { .. } | WaitStatus::Pending { .. } => None,
        };
        WaitResult {
            status: Some(status),
            error,
        }
    }

    fn timeout_error(&self, status: Option<&WaitStatus>) -> Error {
        let (target, timeout) = (&self.target, self.timeout);
        let Some(WaitStatus::Pending { have, live }) = status else {
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

fn failed_result(status: Option<WaitStatus>, error: Error) -> WaitResult {
    WaitResult {
        status,
        error: Some(error),
    }
}
