use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::proxy::Direction;
use crate::wire;

/// Bandwidth limit shared by several mappings, enforced separately for each direction.
#[derive(Debug)]
pub struct LinkGroup {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bits_per_second: Option<u64>,
    /// Times at which all bytes queued so far have been sent, by direction.
    next_free: [Instant; 2],
}

impl LinkGroup {
    /// Creates a group with the given rate in each direction, or without a limit.
    #[must_use]
    pub fn new(bits_per_second: Option<u64>) -> LinkGroup {
        let state = State {
            bits_per_second,
            next_free: [Instant::now(); 2],
        };
        LinkGroup {
            state: Mutex::new(state),
        }
    }

    /// Changes the rate for bytes that are queued from now on.
    pub fn set_rate(&self, bits_per_second: Option<u64>) {
        wire::lock(&self.state).bits_per_second = bits_per_second;
    }

    /// Queues bytes on the link and returns the time at which the last of them has been sent.
    #[must_use]
    pub fn queue_bytes(&self, bytes: usize, direction: Direction) -> Instant {
        let mut state = wire::lock(&self.state);
        let now = Instant::now();
        let Some(rate) = state.bits_per_second else {
            return now;
        };
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / rate.max(1) as f64);
        let next_free = &mut state.next_free[direction as usize];
        *next_free = now.max(*next_free) + time;
        *next_free
    }
}
