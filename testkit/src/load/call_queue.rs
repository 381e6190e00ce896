use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};

use crate::load::ScheduledCall;
use crate::wire;

/// Queue that distributes calls to worker threads.
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
    /// Adds a call and returns whether more calls are queued than threads are waiting.
    pub fn push(&self, call: ScheduledCall) -> bool {
        let mut state = wire::lock(&self.state);
        state.calls.push_back(call);
        let needs_worker = state.calls.len() > state.waiting;
        drop(state);
        self.changed.notify_one();
        needs_worker
    }

    /// Waits for a call; returns `None` once the queue is closed and empty.
    pub fn pop(&self) -> Option<ScheduledCall> {
        let mut state = wire::lock(&self.state);
        state.waiting += 1;
        while state.calls.is_empty() && !state.closed {
            let result = self.changed.wait(state);
            state = result.unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        state.calls.pop_front()
    }

    /// Closes the queue; `pop` returns `None` once all queued calls have been taken.
    pub fn close(&self) {
        wire::lock(&self.state).closed = true;
        self.changed.notify_all();
    }
}
