use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::shedding::{self, QueuedWork, StarvationGuard, TurnAwayCost};

/// Weight of the newest sample in the moving average of the hold time.
const HOLD_WEIGHT: f64 = 0.1;
/// Share of its expected wait after which a request that waits already surely has not started. It is
/// turned away only if it is too late even then, since the times that slots are held differ widely.
const SURE_RATIO: f64 = 0.5;
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
    /// Expected time at the endpoint; 0 if it is not known.
    pub work: ClockTime,
    /// Time left until the deadline of the client.
    pub remaining: ClockTime,
    /// Whether the request is a call of one that already runs.
    pub holds_work: bool,
}

/// A queued request.
#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    deadline: ClockTime,
    urgency: SlotUrgency,
    cost: f64,
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
    waiting: BTreeMap<SlotTicket, QueueEntry>,
    /// Requests that were turned away for others, with their expected wait.
    displaced: Vec<(SlotTicket, ClockTime)>,
    guard: StarvationGuard,
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

/// What limits the rate at which requests are served.
#[derive(Debug, Clone, Copy)]
enum ServiceTimes {
    /// One request starts in each interval, given in ms.
    Paced(f64),
    /// So many requests run at the same time.
    Slots(usize),
}

impl ServiceTimes {
    fn slots(self) -> usize {
        match self {
            Self::Paced(_) => 1,
            Self::Slots(count) => count,
        }
    }
}

impl SlotQueue {
    /// Creates a queue in front of `capacity` slots.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: 0,
            waiting: BTreeMap::new(),
            displaced: Vec::new(),
            guard: StarvationGuard::new(),
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
        let ahead = self.waiting.iter();
        let ahead = ahead.take_while(|(ticket, _)| ticket.due <= due);
        let (ahead, ahead_ms) = ahead.fold((0, 0.0), |(count, sum), (_, entry)| {
            (count + 1, sum + self.hold_ms(entry.urgency))
        });
        let free = self.capacity().saturating_sub(self.running) as f64;
        let hold_ms = self.mean_hold_ms();
        let busy_ms = (ahead_ms + hold_ms - free * hold_ms).max(0.0);
        let slot_wait = busy_ms / self.capacity() as f64;
        let pace_wait = self.pace.rate.map_or(0.0, |rate| {
            opens_in.as_f64() + f64::from(ahead) * 1_000.0 / rate
        });
        ClockTime(slot_wait.max(pace_wait) as u64)
    }

    /// Returns the time in ms until the rate lets a further request start behind all that wait; 0 if the rate
    /// is not limited.
    #[must_use]
    pub fn pace_wait_ms(&self, now: ClockTime) -> f64 {
        let opens_in = (self.pace.opens_at - now).as_f64();
        self.pace.rate.map_or(0.0, |rate| {
            opens_in + self.waiting.len() as f64 * 1_000.0 / rate
        })
    }

    /// Returns whether the slots or the rate allow less.
    fn service_times(&self) -> ServiceTimes {
        let capacity = self.capacity();
        let interval_ms = self.pace.rate.map_or(0.0, |rate| 1_000.0 / rate);
        if interval_ms * capacity as f64 > self.mean_hold_ms() {
            ServiceTimes::Paced(interval_ms)
        } else {
            ServiceTimes::Slots(capacity)
        }
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
        self.guard.record_asked(now, urgency.priority);
        if self.running < self.capacity() && self.waiting.is_empty() && is_open {
            self.running += 1;
            self.guard.record_served(now, urgency.priority);
            return SlotDecision::Run;
        }
        let due = urgency.due(now);
        let wait = self.expected_wait(now, due);
        let ticket = SlotTicket {
            due,
            number: self.next_number,
        };
        self.next_number += 1;
        let entry = QueueEntry {
            deadline,
            urgency,
            cost: self.cost(urgency),
        };
        self.waiting.insert(ticket, entry);
        let is_late = wait > max_wait || now + wait >= deadline;
        let latest_start = deadline.min(now + max_wait);
        if self.shed(now, ticket, latest_start, is_late) {
            return SlotDecision::Refuse(wait);
        }
        SlotDecision::Wait(ticket)
    }

    /// Turns away queued requests that cannot start in time, or cheaper ones in their place. Returns true if
    /// the new request, which has to start by `latest_start`, is among them.
    fn shed(
        &mut self,
        now: ClockTime,
        new: SlotTicket,
        latest_start: ClockTime,
        is_late: bool,
    ) -> bool {
        let times = self.service_times();
        let tickets: Vec<SlotTicket> = self.waiting.keys().copied().collect();
        let queued: Vec<QueuedWork> = self
            .waiting
            .iter()
            .map(|(ticket, entry)| QueuedWork {
                latest_start: match *ticket == new {
                    true => latest_start,
                    false => now + ClockTime(((entry.deadline - now).as_f64() / SURE_RATIO) as u64),
                },
                hold_ms: match times {
                    ServiceTimes::Paced(interval_ms) => interval_ms,
                    ServiceTimes::Slots(_) => self.hold_ms(entry.urgency),
                },
                cost: entry.cost,
            })
            .collect();
        let free = self.capacity().saturating_sub(self.running) as f64;
        let hold_ms = self.mean_hold_ms();
        let opens_in = (self.pace.opens_at - now).as_f64();
        let first_wait_ms = (hold_ms * (1.0 - free) / self.capacity() as f64).max(opens_in);
        let shed = shedding::plan_shedding(now, first_wait_ms, times.slots(), &queued);
        let is_refused = shed.iter().any(|index| tickets[*index] == new);
        // If it makes room for itself, the others make way; otherwise only those that are late anyway.
        if is_late && (is_refused || shed.is_empty()) {
            self.waiting.remove(&new);
            return true;
        }
        for index in shed {
            let ticket = tickets[index];
            self.waiting.remove(&ticket);
            if ticket != new {
                let wait = self.expected_wait(now, ticket.due);
                self.displaced.push((ticket, wait));
            }
        }
        is_refused
    }

    /// Returns the requests that were turned away for others since the last call, with the wait that each
    /// would have had.
    pub fn take_displaced(&mut self) -> Vec<(SlotTicket, ClockTime)> {
        std::mem::take(&mut self.displaced)
    }

    /// Returns the expected time in ms for which a request holds a slot.
    fn hold_ms(&self, urgency: SlotUrgency) -> f64 {
        match urgency.work {
            ClockTime(0) => self.mean_hold_ms(),
            work => work.as_f64(),
        }
    }

    /// Returns what it costs callers to turn a request away. A priority that is hardly served counts as the
    /// highest.
    fn cost(&self, urgency: SlotUrgency) -> f64 {
        let is_starved = self.guard.is_starved(urgency.priority);
        let cost = TurnAwayCost {
            priority: if is_starved { 0 } else { urgency.priority },
            remaining: urgency.remaining,
            work: urgency.work,
            holds_work: urgency.holds_work,
        };
        cost.cost()
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
            let (ticket, entry) = self.waiting.pop_first()?;
            if entry.deadline > now {
                self.running += 1;
                self.guard.record_served(now, entry.urgency.priority);
                return Some(ticket);
            }
        }
        None
    }
}
