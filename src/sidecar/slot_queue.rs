use std::collections::BTreeMap;

use crate::clock::ClockTime;

/// Weight of the newest hold time in the running mean.
const HOLD_WEIGHT: f64 = 0.1;
/// Hold time assumed before any request has finished, in ms.
const INITIAL_HOLD_MS: f64 = 100.0;

/// Identifies a request in the queue; the order is that of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotTicket {
    due: ClockTime,
    number: u64,
}

/// States how urgent a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUrgency {
    /// Rank of the route; 0 goes first.
    pub priority: u8,
    /// Time within which an answer is on time.
    pub objective: ClockTime,
}

impl SlotUrgency {
    /// Returns the time at which a request that arrives now is due: its objective, stretched by
    /// its rank.
    ///
    /// Short requests thus pass long ones of the same rank, and none waits for ever.
    fn due(self, now: ClockTime) -> ClockTime {
        now + ClockTime(self.objective.0 * (u64::from(self.priority) + 1))
    }
}

/// States what happens to a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request has a slot.
    Run,
    /// The request waits.
    Wait(SlotTicket),
    /// The request is refused; a slot is expected after this time.
    Refuse(ClockTime),
}

/// Shares the slots of one endpoint in the order in which requests are due.
///
/// A request whose expected wait exceeds its patience is refused on arrival, because a refusal
/// costs nothing while the sender can still try elsewhere.
#[derive(Debug)]
pub struct SlotQueue {
    capacity: usize,
    running: usize,
    waiting: BTreeMap<SlotTicket, ClockTime>,
    next_number: u64,
    mean_hold_ms: f64,
    mean_running_age_ms: f64,
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
        }
    }

    /// Changes the number of slots; returns whether it was another one.
    pub fn set_capacity(&mut self, capacity: usize) -> bool {
        std::mem::replace(&mut self.capacity, capacity) != capacity
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity.max(1)
    }

    /// Returns the number of requests that run or wait.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Returns the mean time in ms for which a request holds a slot.
    ///
    /// An endpoint that hangs finishes nothing, so the age of what runs counts as well.
    #[must_use]
    pub fn mean_hold_ms(&self) -> f64 {
        self.mean_hold_ms.max(self.mean_running_age_ms)
    }

    /// Records the mean age in ms of the requests that run.
    pub fn record_running_age(&mut self, age: f64) {
        self.mean_running_age_ms = age;
    }

    /// Returns the expected wait of a request that is due at a time.
    #[must_use]
    pub fn expected_wait(&self, due: ClockTime) -> ClockTime {
        if self.running < self.capacity() && self.waiting.is_empty() {
            return ClockTime(0);
        }
        let ahead = self
            .waiting
            .keys()
            .take_while(|ticket| ticket.due <= due)
            .count();
        let free = self.capacity().saturating_sub(self.running);
        let turns = (ahead + 1).saturating_sub(free) as f64;
        ClockTime((turns * self.mean_hold_ms() / self.capacity() as f64) as u64)
    }

    /// Asks for a slot until `deadline`, accepting an expected wait of `patience`.
    pub fn request(
        &mut self,
        now: ClockTime,
        urgency: SlotUrgency,
        max_wait: ClockTime,
        deadline: ClockTime,
    ) -> SlotDecision {
        if self.running < self.capacity() && self.waiting.is_empty() {
            self.running += 1;
            return SlotDecision::Run;
        }
        let due = urgency.due(now);
        let wait = self.expected_wait(due);
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

    /// Frees a slot that was held for some time.
    pub fn finish(&mut self, held: ClockTime) {
        self.mean_hold_ms += HOLD_WEIGHT * (held.as_f64() - self.mean_hold_ms);
        self.release();
    }

    /// Frees a slot whose request did not run.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request; returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: SlotTicket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Gives a free slot to the next waiting request that still has time.
    pub fn admit_next(&mut self, now: ClockTime) -> Option<SlotTicket> {
        while self.running < self.capacity() {
            let (ticket, deadline) = self.waiting.pop_first()?;
            if deadline > now {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }
}
