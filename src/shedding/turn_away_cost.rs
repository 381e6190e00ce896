use crate::clock::ClockTime;

/// Factor between the costs of two consecutive priorities.
const RANK_FACTOR: f64 = 0.5;
/// Share of its remaining time for which a refused client waits before it comes back.
const RETURN_SHARE: f64 = 1.0 / 3.0;
/// Shortest time after which a refused client finds room.
const MIN_RETURN_TIME: ClockTime = ClockTime(300);
/// Multiple of the expected work that has to remain for a client that comes back.
const RETURN_WORK_FACTOR: f64 = 1.5;
/// Factor for a request that may be sent again in time after a refusal.
const RETURN_FACTOR: f64 = 0.5;
/// Factor for a call of a request that already runs, whose work is lost with it.
const HELD_WORK_FACTOR: f64 = 2.0;

/// What is known of a request when it may be turned away.
#[derive(Debug, Clone, Copy)]
pub struct TurnAwayCost {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Time left until the deadline of the client.
    pub remaining: ClockTime,
    /// Expected time at the endpoint.
    pub work: ClockTime,
    /// Whether it is a call of a request that already runs.
    pub holds_work: bool,
}

impl TurnAwayCost {
    /// Returns what it costs callers to turn the request away now, relative to a request of the highest
    /// priority that cannot come back.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let rank = RANK_FACTOR.powi(i32::from(self.priority));
        let returning = if self.may_return() {
            RETURN_FACTOR
        } else {
            1.0
        };
        let held = if self.holds_work {
            HELD_WORK_FACTOR
        } else {
            1.0
        };
        rank * returning * held
    }

    /// Returns whether the client can come back and still be served in time.
    fn may_return(&self) -> bool {
        let remaining = self.remaining.as_f64();
        let pause = remaining * RETURN_SHARE;
        let needed = self.work.as_f64() * RETURN_WORK_FACTOR;
        pause >= MIN_RETURN_TIME.as_f64() && remaining - pause >= needed
    }
}
