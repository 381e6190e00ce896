use std::collections::BTreeMap;

use crate::clock::ClockTime;

/// Weight of the newest sample in the moving average of the hold time.
const HOLD_WEIGHT: f64 = 0.1;
/// Hold time assumed before any request has completed, in ms.
const INITIAL_HOLD_MS: f64 = 100.0;

/// Identifier of a queued request. Tickets sort in the order in which requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotTicket {
    due: ClockTime,
    number: u64,
}

/// Urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUrgency {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Response time objective of the route.
    pub objective: ClockTime,
}

impl SlotUrgency {
    /// Returns the due time of a request that arrives now: its objective multiplied by its priority
    /// plus one.
    ///
    /// Short requests overtake long ones of the same priority, and no request starves.
    fn due(self, now: ClockTime) -> ClockTime {
        now + ClockTime(self.objective.0 * (u64::from(self.priority) + 1))
    }
}

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot.
    Run,
    /// The request is queued.
    Wait(SlotTicket),
    /// The request is refused. Holds the expected wait for a slot.
    Refuse(ClockTime),
}

/// Admission queue in front of the slots of one endpoint, ordered by earliest due time.
///
/// A request whose expected wait exceeds its limit is refused on arrival: an immediate refusal is
/// cheap, and the sender can still try another endpoint.
#[derive(Debug)]
pub struct SlotQueue {
    capacity: usize,
    running: usize,
    waiting: BTreeMap<SlotTicket, ClockTime>,
    next_number: u64,
    mean_hold_ms: f64,
    mean_running_age_ms: f64,
    pace: SlotPace,
}

/// A limit on the rate at which requests start, besides the number of slots.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlotPace {
    /// Requests per second that may start; `None` if their rate is not limited.
    pub rate: Option<f64>,
    /// Earliest time at which the next request may start.
    pub opens_at: ClockTime,
}

impl SlotQueue {
    /// Creates a queue in front of `capacity` slots.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: 0,
            waiting: BTreeMap::new(),
            next_number: 0,
            mean_hold_ms: INITIAL_HOLD_MS,
            mean_running_age_ms: 0.0,
            pace: SlotPace::default(),
        }
    }

    /// Sets the number of slots; returns whether it changed.
    pub fn set_capacity(&mut self, capacity: usize) -> bool {
        std::mem::replace(&mut self.capacity, capacity) != capacity
    }

    /// Returns the number of slots, which is at least one.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity.max(1)
    }

    /// Sets the limit on the rate at which requests start.
    pub fn set_pace(&mut self, pace: SlotPace) {
        self.pace = pace;
    }

    /// Returns the number of requests that the endpoint can run at the same time: its slots, or fewer if
    /// the rate at which requests start is limited.
    #[must_use]
    pub fn sustained_capacity(&self) -> usize {
        let Some(rate) = self.pace.rate else {
            return self.capacity();
        };
        let sustained = (rate * self.mean_hold_ms / 1_000.0).ceil() as usize;
        sustained.clamp(1, self.capacity())
    }

    /// Returns true if requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Returns the mean time in ms for which a request holds a slot.
    ///
    /// The mean age of the running requests is a lower bound, because an endpoint that hangs
    /// completes no requests.
    #[must_use]
    pub fn mean_hold_ms(&self) -> f64 {
        self.mean_hold_ms.max(self.mean_running_age_ms)
    }

    /// Records the mean age of the running requests in ms.
    pub fn record_running_age(&mut self, age: f64) {
        self.mean_running_age_ms = age;
    }

    /// Returns the expected wait of a request with the given due time.
    #[must_use]
    pub fn expected_wait(&self, now: ClockTime, due: ClockTime) -> ClockTime {
        let opens_in = self.pace.opens_at - now;
        if self.running < self.capacity() && self.waiting.is_empty() {
            return opens_in;
        }
        let ahead = self
            .waiting
            .keys()
            .take_while(|ticket| ticket.due <= due)
            .count();
        let free = self.capacity().saturating_sub(self.running);
        let turns = (ahead + 1).saturating_sub(free) as f64;
        let slot_wait = turns * self.mean_hold_ms() / self.capacity() as f64;
        let pace_wait = self.pace.rate.map_or(0.0, |rate| {
            opens_in.as_f64() + ahead as f64 * 1_000.0 / rate
        });
        ClockTime(slot_wait.max(pace_wait) as u64)
    }

    /// Requests a slot, accepting an expected wait of up to `max_wait` before `deadline`.
    pub fn request(
        &mut self,
        now: ClockTime,
        urgency: SlotUrgency,
        max_wait: ClockTime,
        deadline: ClockTime,
    ) -> SlotDecision {
        let is_open = self.pace.opens_at <= now;
        if self.running < self.capacity() && self.waiting.is_empty() && is_open {
            self.running += 1;
            return SlotDecision::Run;
        }
        let due = urgency.due(now);
        let wait = self.expected_wait(now, due);
        if wait > max_wait || now + wait >= deadline {
            return SlotDecision::Refuse(wait);
        }
        let ticket = SlotTicket {
            due,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket, deadline);
        SlotDecision::Wait(ticket)
    }

    /// Frees a slot and records how long it was held.
    pub fn finish(&mut self, held: ClockTime) {
        self.mean_hold_ms += HOLD_WEIGHT * (held.as_f64() - self.mean_hold_ms);
        self.release();
    }

    /// Frees a slot whose request did not run, without recording a hold time.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a queued request; returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: SlotTicket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Admits the next queued request whose deadline has not passed, if a slot is free.
    pub fn admit_next(&mut self, now: ClockTime) -> Option<SlotTicket> {
        while self.running < self.capacity() && self.pace.opens_at <= now {
            let (ticket, deadline) = self.waiting.pop_first()?;
            if deadline > now {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }
}
