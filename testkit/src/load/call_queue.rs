use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};

use crate::load::ScheduledCall;
use crate::wire;

/// Hands calls to waiting threads.
#[derive(Debug, Default)]
pub struct CallQueue {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    calls: VecDeque<ScheduledCall>,
    waiting: usize,
    closed: bool,
}

impl CallQueue {
    /// Adds a call; returns whether more calls than waiting threads are queued.
    pub fn push(&self, call: ScheduledCall) -> bool {
        let mut state = wire::lock(&self.state);
        state.calls.push_back(call);
        let short = state.calls.len() > state.waiting;
        drop(state);
        self.changed.notify_one();
        short
    }

    /// Waits for a call; returns `None` once the queue is closed and empty.
    pub fn pop(&self) -> Option<ScheduledCall> {
        let mut state = wire::lock(&self.state);
        state.waiting += 1;
        while state.calls.is_empty() && !state.closed {
            let woken = self.changed.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        state.calls.pop_front()
    }

    /// Ends every thread that finds no further call.
    pub fn close(&self) {
        wire::lock(&self.state).closed = true;
        self.changed.notify_all();
    }
}
