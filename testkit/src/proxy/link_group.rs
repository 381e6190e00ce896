use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::proxy::Direction;
use crate::wire;

/// Shares bandwidth between mappings, separately for each direction.
#[derive(Debug)]
pub struct LinkGroup {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bits_per_second: Option<u64>,
    /// Times at which the link has sent all that was given to it, by direction.
    free: [Instant; 2],
}

impl LinkGroup {
    /// Makes a link with the given rate each way, or an unlimited one.
    #[must_use]
    pub fn new(bits_per_second: Option<u64>) -> LinkGroup {
        let state = State {
            bits_per_second,
            free: [Instant::now(); 2],
        };
        LinkGroup {
            state: Mutex::new(state),
        }
    }

    /// Changes the rate for bytes that are sent from now on.
    pub fn set_rate(&self, bits_per_second: Option<u64>) {
        wire::lock(&self.state).bits_per_second = bits_per_second;
    }

    /// Gives bytes to the link and returns when the last of them has been sent.
    #[must_use]
    pub fn send(&self, bytes: usize, direction: Direction) -> Instant {
        let mut state = wire::lock(&self.state);
        let now = Instant::now();
        let Some(rate) = state.bits_per_second else {
            return now;
        };
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / rate.max(1) as f64);
        let free = &mut state.free[direction as usize];
        *free = now.max(*free) + time;
        *free
    }
}
