use std::collections::{HashSet, VecDeque};

use crate::admission::{Admission, AdmissionPolicy, AdmissionRequest, CancelOutcome, RefusedCall};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::size::SlotCount;

/// Policy that admits calls in order of arrival; serves as a baseline for comparison.
#[derive(Debug)]
pub struct FifoQueue {
    slots: usize,
    limit: usize,
    running: HashSet<u64>,
    queue: VecDeque<AdmissionRequest>,
    draining: bool,
}

impl FifoQueue {
    /// Creates an empty queue for `slots` running and at most `limit` queued calls.
    #[must_use]
    pub fn new(slots: SlotCount, limit: usize) -> Self {
        Self {
            slots: slots.0.max(1) as usize,
            limit,
            running: HashSet::new(),
            queue: VecDeque::new(),
            draining: false,
        }
    }

    fn start_queued(&mut self, now: ClockTime) -> Vec<u64> {
        let mut ids = Vec::new();
        while self.running.len() < self.slots {
            let live = self.queue.iter().position(|request| now < request.deadline);
            let Some(request) = live.and_then(|index| self.queue.remove(index)) else {
                break;
            };
            self.running.insert(request.id);
            ids.push(request.id);
        }
        ids
    }
}

impl AdmissionPolicy for FifoQueue {
    fn offer(&mut self, now: ClockTime, request: AdmissionRequest) -> Admission {
        let refuse = |code| Admission::Refused {
            code,
            retry_after: ClockTime(100),
        };
        if self.draining {
            refuse(ResultCode::NodeLeaving)
        } else if now >= request.deadline {
            refuse(ResultCode::DeadlineTooShort)
        } else if self.running.len() < self.slots {
            self.running.insert(request.id);
            Admission::Run
        } else if self.queue.len() < self.limit {
            self.queue.push_back(request);
            Admission::Queued { dropped: None }
        } else {
            refuse(ResultCode::Overloaded)
        }
    }

    fn finish(&mut self, now: ClockTime, id: u64, _slot_ms: Option<f64>) -> Vec<u64> {
        self.running.remove(&id);
        self.start_queued(now)
    }

    fn expire(&mut self, now: ClockTime) -> Vec<RefusedCall> {
        let mut refused = Vec::new();
        self.queue.retain(|request| {
            let live = now < request.deadline;
            if !live {
                refused.push(RefusedCall {
                    id: request.id,
                    code: ResultCode::DeadlineTooShort,
                    retry_after: ClockTime(100),
                });
            }
            live
        });
        refused
    }

    fn cancel(&mut self, id: u64) -> CancelOutcome {
        if self.running.contains(&id) {
            return CancelOutcome::Running;
        }
        let length = self.queue.len();
        self.queue.retain(|request| request.id != id);
        if self.queue.len() < length {
            CancelOutcome::Dropped
        } else {
            CancelOutcome::NotFound
        }
    }

    fn next_expiry(&self, now: ClockTime) -> Option<ClockTime> {
        let deadlines = self.queue.iter().map(|request| request.deadline);
        deadlines
            .min()
            .map(|deadline| deadline.max(now + ClockTime(1)))
    }

    fn load(&self) -> u32 {
        ((self.running.len() + self.queue.len()) * 1_000 / self.slots) as u32
    }

    fn resize(&mut self, now: ClockTime, slots: SlotCount) -> Vec<u64> {
        self.slots = slots.0.max(1) as usize;
        self.start_queued(now)
    }

    fn drain(&mut self) {
        self.draining = true;
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }
}
