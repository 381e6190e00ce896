use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::backend::client_connection::ClientConnection;

/// Bounds the connections in use and keeps idle ones for reuse.
pub(crate) struct ConnectionPool {
    state: Rc<RefCell<PoolState>>,
}

struct PoolState {
    free: usize,
    idle: Vec<ClientConnection>,
    waiting: VecDeque<oneshot::Sender<PoolPermit>>,
}

/// Allows the use of one connection until it is dropped.
pub(crate) struct PoolPermit {
    state: Option<Rc<RefCell<PoolState>>>,
}

impl ConnectionPool {
    pub(crate) fn new(limit: usize) -> Self {
        let state = PoolState {
            free: limit,
            idle: Vec::new(),
            waiting: VecDeque::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Waits, in order of arrival, until one more connection may be used.
    pub(crate) async fn acquire(&self) -> PoolPermit {
        loop {
            let receiver = {
                let mut state = self.state.borrow_mut();
                if state.free > 0 {
                    state.free -= 1;
                    return PoolPermit::new(&self.state);
                }
                let (sender, receiver) = oneshot::channel();
                state.waiting.push_back(sender);
                receiver
            };
            if let Ok(permit) = receiver.await {
                return permit;
            }
        }
    }

    /// Takes the idle connection that was used last.
    pub(crate) fn take_idle(&self) -> Option<ClientConnection> {
        self.state.borrow_mut().idle.pop()
    }

    /// Keeps a connection whose last answer was complete.
    pub(crate) fn put_idle(&self, connection: ClientConnection) {
        self.state.borrow_mut().idle.push(connection);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle);
        drop(idle);
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        let Some(state) = self.state.take() else {
            return;
        };
        loop {
            let Some(sender) = state.borrow_mut().waiting.pop_front() else {
                state.borrow_mut().free += 1;
                return;
            };
            match sender.send(PoolPermit::new(&state)) {
                Ok(()) => return,
                // The waiting call is gone. Emptying the returned permit keeps this loop from
                // becoming a recursion as deep as the number of calls that gave up.
                Err(mut permit) => permit.state = None,
            }
        }
    }
}

impl PoolPermit {
    fn new(state: &Rc<RefCell<PoolState>>) -> Self {
        Self {
            state: Some(Rc::clone(state)),
        }
    }
}
