use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::once::{FENCE_TIMEOUT, KeyAge, KeyLimits};
use crate::peer::FenceReply;

/// States what follows from a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// All endpoints vouch that the key has not run; the call runs with the token of the round.
    Run,
    /// The key ran at this endpoint; a call there replays the answer.
    Replay(NodeAddress),
    /// The call is answered with this code and not run.
    Answer(ResultCode),
}

/// Collects the replies of all endpoints of a service to one fence.
#[derive(Debug)]
pub struct FenceRound {
    age: ClockTime,
    deadline: ClockTime,
    replies: SmallVec<[(NodeAddress, Option<FenceReply>); 8]>,
    settled: bool,
}

impl FenceRound {
    /// Creates a round for all endpoints known for the service; `gone` ones are tombstones.
    ///
    /// `oldest_uptime` is the uptime of the oldest live endpoint. If it was younger than the
    /// settle time at the first attempt, that attempt may have run at an endpoint which this node
    /// does not know, because young services accept first attempts at once; nobody can vouch then.
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
            KeyAge::Past => limits.lifetime,
        };
        // An address with a tombstone and a successor is asked; the successor is too young.
        let gone = gone.iter().filter(|address| !live.contains(address));
        let gone = gone.map(|address| (*address, Some(FenceReply::Undetermined)));
        Self {
            age,
            deadline: now + FENCE_TIMEOUT,
            replies: live
                .iter()
                .map(|address| (*address, None))
                .chain(gone)
                .collect(),
            settled: oldest_uptime >= age + limits.settle,
        }
    }

    /// Returns the age to write into the requests.
    ///
    /// It is the age at the end of the round: a request can be read late by as much, and the
    /// endpoint compares its uptime at that instant.
    #[must_use]
    pub fn request_age(&self) -> ClockTime {
        self.age + FENCE_TIMEOUT
    }

    /// Returns the instant after which replies no longer count.
    #[must_use]
    pub fn deadline(&self) -> ClockTime {
        self.deadline
    }

    /// Records a reply; the first of each endpoint counts, late ones do not.
    pub fn reply(&mut self, now: ClockTime, address: NodeAddress, reply: FenceReply) {
        if now >= self.deadline {
            return;
        }
        let mut replies = self.replies.iter_mut();
        if let Some((_, place)) = replies.find(|(name, place)| *name == address && place.is_none())
        {
            *place = Some(reply);
        }
    }

    /// Returns the decision, or `None` while replies are missing before the deadline.
    ///
    /// No decision says "not run" once another attempt may have run.
    #[must_use]
    pub fn decide(&self, now: ClockTime) -> Option<FenceDecision> {
        let find = |wanted| {
            let mut replies = self.replies.iter();
            replies.find(|(_, reply)| *reply == Some(wanted))
        };
        if let Some((address, _)) = find(FenceReply::Finished) {
            return Some(FenceDecision::Replay(*address));
        }
        let waits = self.replies.iter().any(|(_, reply)| reply.is_none());
        if waits && now < self.deadline {
            return None;
        }
        let code = if self.replies.is_empty() {
            ResultCode::KeyMemoryGone
        } else if find(FenceReply::Running).is_some() || find(FenceReply::Superseded).is_some() {
            ResultCode::KeyRunning
        } else if find(FenceReply::Unknown).is_some() {
            ResultCode::ConnectionLost
        } else if waits || !self.settled || find(FenceReply::Undetermined).is_some() {
            ResultCode::KeyMemoryGone
        } else {
            return Some(FenceDecision::Run);
        };
        Some(FenceDecision::Answer(code))
    }
}
