use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::once::{FENCE_TIMEOUT, KeyAge, KeyLimits};
use crate::peer::FenceResponse;

/// Outcome of a [`FenceRound`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// All endpoints confirmed that the key has not run; the call runs with the token of the round.
    Run,
    /// The key ran at this endpoint, which returns the recorded response when called.
    Replay(NodeAddress),
    /// The call is not run and ends with this code.
    Reject(ResultCode),
}

/// The replies of all endpoints of a service to one fence request.
#[derive(Debug)]
pub struct FenceRound {
    age: ClockTime,
    deadline: ClockTime,
    replies: SmallVec<[(NodeAddress, Option<FenceResponse>); 8]>,
    oldest_settled: bool,
}

impl FenceRound {
    /// Creates a round for all known endpoints of the service; `gone` holds the tombstones.
    ///
    /// `oldest_uptime` is the uptime of the oldest live endpoint. If that endpoint had not reached
    /// the settle time when the first attempt was sent, the attempt may have run at an endpoint
    /// unknown to this node, because a service without settled endpoints accepts first attempts
    /// immediately. The round then cannot end in [`FenceDecision::Run`].
    #[must_use]
    pub fn new(
        now: ClockTime,
        age: KeyAge,
        live: &[NodeAddress],
        gone: &[NodeAddress],
        oldest_uptime: ClockTime,
        limits: KeyLimits,
    ) -> Self {
        let age = match age {
            KeyAge::First => ClockTime(0),
            KeyAge::AtMost(age) => age,
            KeyAge::Expired => limits.lifetime,
        };
        // If a new process runs at the address of a tombstone, it receives the fence request. It
        // replies `Undetermined`, because it started after the first attempt.
        let gone = gone.iter().filter(|address| !live.contains(address));
        let gone = gone.map(|address| (*address, Some(FenceResponse::Undetermined)));
        Self {
            age,
            deadline: now + FENCE_TIMEOUT,
            replies: live
                .iter()
                .map(|address| (*address, None))
                .chain(gone)
                .collect(),
            oldest_settled: oldest_uptime >= age + limits.settle_time,
        }
    }

    /// Returns the key age to state in the fence requests.
    ///
    /// This is the age at the end of the round. An endpoint compares it with its uptime when it
    /// reads the request, which can be up to [`FENCE_TIMEOUT`] after the request was created.
    #[must_use]
    pub fn request_age(&self) -> ClockTime {
        self.age + FENCE_TIMEOUT
    }

    /// Returns the time from which replies are ignored.
    #[must_use]
    pub fn deadline(&self) -> ClockTime {
        self.deadline
    }

    /// Records a reply. Only the first reply of each endpoint counts; late replies are ignored.
    pub fn record_reply(&mut self, now: ClockTime, address: NodeAddress, reply: FenceResponse) {
        if now >= self.deadline {
            return;
        }
        let mut replies = self.replies.iter_mut();
        if let Some((_, recorded)) =
            replies.find(|(endpoint, recorded)| *endpoint == address && recorded.is_none())
        {
            *recorded = Some(reply);
        }
    }

    /// Returns the decision, or `None` while replies are outstanding before the deadline.
    ///
    /// None of the result codes means "not run", because another attempt may have run.
    #[must_use]
    pub fn decide(&self, now: ClockTime) -> Option<FenceDecision> {
        let find = |wanted| {
            let mut replies = self.replies.iter();
            replies.find(|(_, reply)| *reply == Some(wanted))
        };
        if let Some((address, _)) = find(FenceResponse::Finished) {
            return Some(FenceDecision::Replay(*address));
        }
        let pending = self.replies.iter().any(|(_, reply)| reply.is_none());
        if pending && now < self.deadline {
            return None;
        }
        let code = if self.replies.is_empty() {
            ResultCode::KeyMemoryGone
        } else if find(FenceResponse::Running).is_some()
            || find(FenceResponse::Superseded).is_some()
        {
            ResultCode::KeyRunning
        } else if find(FenceResponse::Unknown).is_some() {
            ResultCode::ConnectionLost
        } else if pending || !self.oldest_settled || find(FenceResponse::Undetermined).is_some() {
            ResultCode::KeyMemoryGone
        } else {
            return Some(FenceDecision::Run);
        };
        Some(FenceDecision::Reject(code))
    }
}
