use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::queued_call::QueuedCall;
use crate::admission::running_call::RunningCall;
use crate::admission::{
    Admission, AdmissionPolicy, AdmissionRequest, CancelOutcome, RefusedCall, SlotTimeEstimate,
};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::size::SlotCount;

/// Number of slots that are never given to long kinds.
const RESERVED_SLOTS: u32 = 2;
/// Minimum and maximum of `retry_after` before jitter.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (10.0, 5_000.0);

/// Policy that admits the calls that can meet their deadline, in order of weight per expected slot
/// time.
///
/// Long kinds hold at most `max(1, slots - 2)` slots regardless of demand. A work-conserving limit
/// would lend the reserved slots to long calls while no short calls arrive. A service with long
/// calls only would gain up to a third of its slots. However, running calls are not interrupted, so
/// the next short call would wait until a long one ends, and with demand that changes within
/// seconds this would happen at each change. The limit is fixed because blocking short calls is the
/// costlier failure.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    limit: usize,
    running: HashMap<u64, RunningCall>,
    queue: Vec<QueuedCall>,
    estimate: SlotTimeEstimate,
    rng: SmallRng,
    draining: bool,
}

impl AdmissionQueue {
    /// Creates an empty queue for `slots` running and approximately `limit` queued calls.
    ///
    /// `seed` initializes the random jitter of `retry_after`.
    #[must_use]
    pub fn new(slots: SlotCount, limit: usize, seed: u64) -> Self {
        Self {
            slots: slots.0.max(1),
            limit,
            running: HashMap::new(),
            queue: Vec::new(),
            estimate: SlotTimeEstimate::default(),
            rng: SmallRng::seed_from_u64(seed),
            draining: false,
        }
    }

    /// Returns the slot time estimates.
    #[must_use]
    pub fn estimate(&self) -> &SlotTimeEstimate {
        &self.estimate
    }

    fn is_long(&self, request: &AdmissionRequest) -> bool {
        self.estimate.is_long(&request.kind, request.long)
    }

    fn expected(&self, request: &AdmissionRequest) -> f64 {
        self.estimate.expected(&request.kind, request.long)
    }

    fn max_long(&self) -> u32 {
        self.slots.saturating_sub(RESERVED_SLOTS).max(1)
    }

    /// Returns whether a slot is free for a long or a short call.
    fn has_slot(&self, long: bool) -> bool {
        if self.running.len() >= self.slots as usize {
            return false;
        }
        let running = self.running.values();
        let held = running.filter(|call| self.is_long(&call.request)).count();
        !long || held < self.max_long() as usize
    }

    /// Returns whether a call that starts now can finish before its deadline.
    fn is_feasible(&self, now: ClockTime, request: &AdmissionRequest) -> bool {
        let required = self.estimate.required(now, &request.kind, request.long);
        now < request.deadline && now + required <= request.deadline
    }

    fn rank(&self, now: ClockTime, call: &QueuedCall) -> f64 {
        call.rank(now, self.expected(&call.request))
    }

    /// Estimates the queueing time of a call in ms: the remaining time of running calls plus the
    /// expected time of queued calls of at least equal rank, divided by the number of usable slots.
    ///
    /// Only calls of the same class, long or short, are counted. If the remaining time of long
    /// calls were included, short calls that the reserved slots can run in time would be refused.
    fn wait_ms(&self, now: ClockTime, call: &QueuedCall) -> f64 {
        let rank = self.rank(now, call);
        let long = self.is_long(&call.request);
        let (same, other): (Vec<_>, Vec<_>) = self
            .running
            .values()
            .partition(|call| self.is_long(&call.request) == long);
        let remaining = |call: &RunningCall| call.remaining_ms(now, self.expected(&call.request));
        let slots = if long {
            self.max_long()
        } else {
            self.slots.saturating_sub(other.len() as u32)
        };
        let mut work: f64 = same.into_iter().map(remaining).sum();
        if slots == 0 {
            work += other
                .into_iter()
                .map(remaining)
                .fold(f64::INFINITY, f64::min);
        }
        let ahead = self.queue.iter();
        let ahead = ahead.filter(|other| self.is_long(&other.request) == long);
        let ahead = ahead.filter(|other| self.rank(now, other) >= rank);
        work += ahead
            .map(|other| self.expected(&other.request))
            .sum::<f64>();
        work / f64::from(slots.max(1))
    }

    fn retry_after(&mut self, wait_ms: f64) -> ClockTime {
        let (least, most) = RETRY_AFTER_RANGE_MS;
        let jitter = self.rng.random_range(0.5..1.5);
        ClockTime((wait_ms.clamp(least, most) * jitter) as u64)
    }

    fn refuse(&mut self, code: ResultCode, wait_ms: f64) -> Admission {
        Admission::Refused {
            code,
            retry_after: self.retry_after(wait_ms),
        }
    }

    /// Starts queued calls while slots are free and returns their ids.
    fn start_queued(&mut self, now: ClockTime) -> Vec<u64> {
        let mut ids = Vec::new();
        loop {
            let (short_free, long_free) = (self.has_slot(false), self.has_slot(true));
            let calls = self.queue.iter().enumerate();
            let calls = calls
                .filter(|(_, call)| long_free || short_free && !self.is_long(&call.request))
                .filter(|(_, call)| self.is_feasible(now, &call.request));
            let best = calls.max_by(|(first, one), (second, two)| {
                let order = self.rank(now, one).total_cmp(&self.rank(now, two));
                order.then(second.cmp(first))
            });
            let Some((index, _)) = best else {
                return ids;
            };
            let call = self.queue.remove(index);
            ids.push(call.request.id);
            self.run(now, call.request);
        }
    }

    fn run(&mut self, now: ClockTime, request: AdmissionRequest) {
        let call = RunningCall::new(request, now);
        self.running.insert(call.request.id, call);
    }

    /// Returns whether the queue is full for long or for short calls.
    ///
    /// A quarter of the capacity is for long kinds and the rest for short ones. With shared
    /// capacity, a burst of short calls would displace long ones with a distant deadline that could
    /// run after the burst.
    fn is_full(&self, long: bool) -> bool {
        let quarter = self.limit / 4;
        let capacity = if long { quarter } else { self.limit - quarter };
        let calls = self.queue.iter();
        let calls = calls.filter(|call| self.is_long(&call.request) == long);
        calls.count() >= capacity.max(1)
    }

    /// Drops the queued call of the lowest value in the class of the new call.
    ///
    /// Returns `None` and drops nothing if no queued call has a lower value than the new call.
    fn displace(&mut self, now: ClockTime, new_call: &QueuedCall) -> Option<RefusedCall> {
        // A call that can no longer finish before its deadline has no value.
        let value = |call: &QueuedCall| {
            let feasible = self.is_feasible(now, &call.request);
            f64::from(u8::from(feasible)) * self.rank(now, call)
        };
        let long = self.is_long(&new_call.request);
        let calls = self.queue.iter().enumerate();
        let (index, least) = calls
            .filter(|(_, call)| self.is_long(&call.request) == long)
            .map(|(index, call)| (index, value(call)))
            .min_by(|(first, one), (second, two)| one.total_cmp(two).then(second.cmp(first)))?;
        if least >= value(new_call) {
            return None;
        }
        let call = self.queue.remove(index);
        let wait = self.wait_ms(now, &call);
        Some(RefusedCall {
            id: call.request.id,
            code: ResultCode::Overloaded,
            retry_after: self.retry_after(wait),
        })
    }
}

impl AdmissionPolicy for AdmissionQueue {
    fn offer(&mut self, now: ClockTime, request: AdmissionRequest) -> Admission {
        if self.draining {
            return self.refuse(ResultCode::NodeLeaving, 0.0);
        }
        if !self.is_feasible(now, &request) {
            return self.refuse(ResultCode::DeadlineTooShort, 0.0);
        }
        if self.has_slot(self.is_long(&request)) {
            self.run(now, request);
            return Admission::Run;
        }
        let call = QueuedCall::new(request, now);
        let wait = self.wait_ms(now, &call);
        let request = &call.request;
        let required = self.estimate.required(now, &request.kind, request.long);
        if now + ClockTime(wait as u64) + required > request.deadline {
            return self.refuse(ResultCode::Overloaded, wait);
        }
        let mut dropped = None;
        if self.is_full(self.is_long(&call.request)) {
            dropped = self.displace(now, &call);
            if dropped.is_none() {
                return self.refuse(ResultCode::Overloaded, wait);
            }
        }
        self.queue.push(call);
        Admission::Queued { dropped }
    }

    fn finish(&mut self, now: ClockTime, id: u64, slot_ms: Option<f64>) -> Vec<u64> {
        if let Some(call) = self.running.remove(&id)
            && let Some(slot_ms) = slot_ms
        {
            self.estimate.record(now, &call.request.kind, slot_ms);
        }
        self.start_queued(now)
    }

    fn expire(&mut self, now: ClockTime) -> Vec<RefusedCall> {
        let queue = std::mem::take(&mut self.queue);
        let (kept, expired): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|call| self.is_feasible(now, &call.request));
        self.queue = kept;
        let mut refused = Vec::new();
        for call in expired {
            let wait = self.wait_ms(now, &call);
            refused.push(RefusedCall {
                id: call.request.id,
                code: ResultCode::DeadlineTooShort,
                retry_after: self.retry_after(wait),
            });
        }
        refused
    }

    fn cancel(&mut self, id: u64) -> CancelOutcome {
        if self.running.contains_key(&id) {
            return CancelOutcome::Running;
        }
        let length = self.queue.len();
        self.queue.retain(|call| call.request.id != id);
        if self.queue.len() < length {
            CancelOutcome::Dropped
        } else {
            CancelOutcome::NotFound
        }
    }

    fn next_expiry(&self, now: ClockTime) -> Option<ClockTime> {
        let last = |call: &QueuedCall| {
            let request = &call.request;
            let required = self.estimate.required(now, &request.kind, request.long);
            (request.deadline - required.max(ClockTime(1))).max(now) + ClockTime(1)
        };
        self.queue.iter().map(last).min()
    }

    fn load(&self) -> u32 {
        let calls = (self.running.len() + self.queue.len()) as u64;
        (calls * 1_000 / u64::from(self.slots)) as u32
    }

    fn resize(&mut self, now: ClockTime, slots: SlotCount) -> Vec<u64> {
        self.slots = slots.0.max(1);
        self.start_queued(now)
    }

    fn drain(&mut self) {
        self.draining = true;
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }
}
