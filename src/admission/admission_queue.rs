use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::queued_call::QueuedCall;
use crate::admission::running_call::RunningCall;
use crate::admission::{
    Admission, AdmissionPolicy, AdmissionRequest, CancelEffect, RefusedCall, SlotEstimate,
};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::size::SlotCount;

/// Slots that long kinds never hold.
const RESERVED_SLOTS: u32 = 2;
/// Bounds of `retry_after` before jitter, in ms.
const RETRY_RANGE_MS: (f64, f64) = (10.0, 5_000.0);

/// Admits calls by weight per expected slot time among those that can meet their deadline.
///
/// Long kinds hold at most `max(1, slots - 2)` slots, whatever the demand. A work-conserving cap
/// would lend a reserved slot to long work while no short call arrives. It gains up to a third of
/// the slots for a service with long work only, but the first short call after such a lull waits
/// for the rest of a long job, because a running job is not cut; with demand that swings within
/// seconds this happens at each swing. The fixed cap is used because blocking of short work is
/// the costlier failure.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    limit: usize,
    running: HashMap<u64, RunningCall>,
    queue: Vec<QueuedCall>,
    estimate: SlotEstimate,
    rng: SmallRng,
    draining: bool,
}

impl AdmissionQueue {
    /// Creates an empty queue for `slots` running and about `limit` waiting calls.
    ///
    /// `seed` feeds the jitter of `retry_after`.
    #[must_use]
    pub fn new(slots: SlotCount, limit: usize, seed: u64) -> Self {
        Self {
            slots: slots.0.max(1),
            limit,
            running: HashMap::new(),
            queue: Vec::new(),
            estimate: SlotEstimate::default(),
            rng: SmallRng::seed_from_u64(seed),
            draining: false,
        }
    }

    /// Returns the learned slot times.
    #[must_use]
    pub fn estimate(&self) -> &SlotEstimate {
        &self.estimate
    }

    fn is_long(&self, ticket: &AdmissionRequest) -> bool {
        self.estimate.is_long(&ticket.kind, ticket.long)
    }

    fn expected(&self, ticket: &AdmissionRequest) -> f64 {
        self.estimate.expected(&ticket.kind, ticket.long)
    }

    fn long_cap(&self) -> u32 {
        self.slots.saturating_sub(RESERVED_SLOTS).max(1)
    }

    /// Returns whether a slot is free for a class.
    fn has_slot(&self, long: bool) -> bool {
        if self.running.len() >= self.slots as usize {
            return false;
        }
        let running = self.running.values();
        let held = running.filter(|call| self.is_long(&call.ticket)).count();
        !long || held < self.long_cap() as usize
    }

    /// Returns whether a ticket that starts now can finish before its deadline.
    fn is_feasible(&self, now: ClockTime, ticket: &AdmissionRequest) -> bool {
        let required = self.estimate.required(now, &ticket.kind, ticket.long);
        now < ticket.deadline && now + required <= ticket.deadline
    }

    fn rank(&self, now: ClockTime, call: &QueuedCall) -> f64 {
        call.rank(now, self.expected(&call.ticket))
    }

    /// Estimates the wait of a ticket in ms: rest of the running calls and queued calls of higher
    /// rank, shared by the slots that the ticket may use.
    ///
    /// Long and short calls wait for their own class only. Counting the rest of long jobs would
    /// refuse short calls that the reserved slots serve in time.
    fn wait_ms(&self, now: ClockTime, call: &QueuedCall) -> f64 {
        let rank = self.rank(now, call);
        let long = self.is_long(&call.ticket);
        let (same, other): (Vec<_>, Vec<_>) = self
            .running
            .values()
            .partition(|call| self.is_long(&call.ticket) == long);
        let rest = |call: &RunningCall| call.rest_ms(now, self.expected(&call.ticket));
        let slots = if long {
            self.long_cap()
        } else {
            self.slots.saturating_sub(other.len() as u32)
        };
        let mut work: f64 = same.into_iter().map(rest).sum();
        if slots == 0 {
            work += other.into_iter().map(rest).fold(f64::INFINITY, f64::min);
        }
        let ahead = self.queue.iter();
        let ahead = ahead.filter(|other| self.is_long(&other.ticket) == long);
        let ahead = ahead.filter(|other| self.rank(now, other) >= rank);
        work += ahead.map(|other| self.expected(&other.ticket)).sum::<f64>();
        work / f64::from(slots.max(1))
    }

    fn retry_after(&mut self, wait_ms: f64) -> ClockTime {
        let (least, most) = RETRY_RANGE_MS;
        let jitter = self.rng.random_range(0.5..1.5);
        ClockTime((wait_ms.clamp(least, most) * jitter) as u64)
    }

    fn refuse(&mut self, code: ResultCode, wait_ms: f64) -> Admission {
        Admission::Refused {
            code,
            retry_after: self.retry_after(wait_ms),
        }
    }

    /// Starts queued tickets while slots are free and returns their ids.
    fn fill(&mut self, now: ClockTime) -> Vec<u64> {
        let mut ids = Vec::new();
        loop {
            let (short_free, long_free) = (self.has_slot(false), self.has_slot(true));
            let calls = self.queue.iter().enumerate();
            let calls = calls
                .filter(|(_, call)| long_free || short_free && !self.is_long(&call.ticket))
                .filter(|(_, call)| self.is_feasible(now, &call.ticket));
            let best = calls.max_by(|(first, one), (second, two)| {
                let order = self.rank(now, one).total_cmp(&self.rank(now, two));
                order.then(second.cmp(first))
            });
            let Some((place, _)) = best else {
                return ids;
            };
            let call = self.queue.remove(place);
            ids.push(call.ticket.id);
            self.run(now, call.ticket);
        }
    }

    fn run(&mut self, now: ClockTime, ticket: AdmissionRequest) {
        let call = RunningCall::new(ticket, now);
        self.running.insert(call.ticket.id, call);
    }

    /// Returns whether the queue has no place for a class.
    ///
    /// Long kinds have a quarter of the places and short ones the rest. With common places a burst
    /// of short calls displaces long ones that have many seconds left and could run after it.
    fn is_full(&self, long: bool) -> bool {
        let quarter = self.limit / 4;
        let places = if long { quarter } else { self.limit - quarter };
        let calls = self.queue.iter();
        let calls = calls.filter(|call| self.is_long(&call.ticket) == long);
        calls.count() >= places.max(1)
    }

    /// Makes a place in the class of the newcomer; returns the dropped ticket, or `None` if the
    /// newcomer is the least valuable.
    fn displace(&mut self, now: ClockTime, newcomer: &QueuedCall) -> Option<RefusedCall> {
        // Work that can no longer finish has no value at all.
        let value = |call: &QueuedCall| {
            let feasible = self.is_feasible(now, &call.ticket);
            f64::from(u8::from(feasible)) * self.rank(now, call)
        };
        let long = self.is_long(&newcomer.ticket);
        let calls = self.queue.iter().enumerate();
        let (place, least) = calls
            .filter(|(_, call)| self.is_long(&call.ticket) == long)
            .map(|(place, call)| (place, value(call)))
            .min_by(|(first, one), (second, two)| one.total_cmp(two).then(second.cmp(first)))?;
        if least >= value(newcomer) {
            return None;
        }
        let call = self.queue.remove(place);
        let wait = self.wait_ms(now, &call);
        Some(RefusedCall {
            id: call.ticket.id,
            code: ResultCode::Overloaded,
            retry_after: self.retry_after(wait),
        })
    }
}

impl AdmissionPolicy for AdmissionQueue {
    fn offer(&mut self, now: ClockTime, ticket: AdmissionRequest) -> Admission {
        if self.draining {
            return self.refuse(ResultCode::NodeLeaving, 0.0);
        }
        if !self.is_feasible(now, &ticket) {
            return self.refuse(ResultCode::DeadlineTooShort, 0.0);
        }
        if self.has_slot(self.is_long(&ticket)) {
            self.run(now, ticket);
            return Admission::Run;
        }
        let call = QueuedCall::new(ticket, now);
        let wait = self.wait_ms(now, &call);
        let ticket = &call.ticket;
        let required = self.estimate.required(now, &ticket.kind, ticket.long);
        if now + ClockTime(wait as u64) + required > ticket.deadline {
            return self.refuse(ResultCode::Overloaded, wait);
        }
        let mut dropped = None;
        if self.is_full(self.is_long(&call.ticket)) {
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
            self.estimate.record(now, &call.ticket.kind, slot_ms);
        }
        self.fill(now)
    }

    fn expire(&mut self, now: ClockTime) -> Vec<RefusedCall> {
        let queue = std::mem::take(&mut self.queue);
        let (kept, expired): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|call| self.is_feasible(now, &call.ticket));
        self.queue = kept;
        let mut refused = Vec::new();
        for call in expired {
            let wait = self.wait_ms(now, &call);
            refused.push(RefusedCall {
                id: call.ticket.id,
                code: ResultCode::DeadlineTooShort,
                retry_after: self.retry_after(wait),
            });
        }
        refused
    }

    fn cancel(&mut self, id: u64) -> CancelEffect {
        if self.running.contains_key(&id) {
            return CancelEffect::Running;
        }
        let length = self.queue.len();
        self.queue.retain(|call| call.ticket.id != id);
        if self.queue.len() < length {
            CancelEffect::Dropped
        } else {
            CancelEffect::NotFound
        }
    }

    fn next_expiry(&self, now: ClockTime) -> Option<ClockTime> {
        let last = |call: &QueuedCall| {
            let ticket = &call.ticket;
            let required = self.estimate.required(now, &ticket.kind, ticket.long);
            (ticket.deadline - required.max(ClockTime(1))).max(now) + ClockTime(1)
        };
        self.queue.iter().map(last).min()
    }

    fn load(&self) -> u32 {
        let calls = (self.running.len() + self.queue.len()) as u64;
        (calls * 1_000 / u64::from(self.slots)) as u32
    }

    fn resize(&mut self, now: ClockTime, slots: SlotCount) -> Vec<u64> {
        self.slots = slots.0.max(1);
        self.fill(now)
    }

    fn drain(&mut self) {
        self.draining = true;
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }
}
