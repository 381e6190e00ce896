use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::quarantine::Fingerprint;

/// Time between the first and the last connection that end with one crash.
const LOSS_SPAN: ClockTime = ClockTime(100);
/// Maximum number of requests that are suspected of one crash.
const MAX_SUSPECT_COUNT: usize = 64;

/// Requests whose connections to the local endpoint were lost while it worked on them.
///
/// All requests at work at a crash lose their connections at the same moment.
#[derive(Debug, Default)]
pub struct CrashWatch {
    first_loss: ClockTime,
    lost: SmallVec<[Fingerprint; 8]>,
}

impl CrashWatch {
    /// Records that the connection of a request was lost. Returns true if this is the first loss of a
    /// possible crash, which is then to be confirmed.
    pub fn record_loss(&mut self, now: ClockTime, request: Fingerprint) -> bool {
        let is_first = self.lost.is_empty() || now - self.first_loss > LOSS_SPAN;
        if is_first {
            self.lost.clear();
            self.first_loss = now;
        }
        if self.lost.len() < MAX_SUSPECT_COUNT {
            self.lost.push(request);
        }
        is_first
    }

    /// Returns the requests that were lost together, once.
    pub fn take_suspects(&mut self) -> SmallVec<[Fingerprint; 8]> {
        std::mem::take(&mut self.lost)
    }
}
