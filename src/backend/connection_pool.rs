use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::backend::client_connection::ClientConnection;

/// Pool that limits the connections in use and keeps idle connections for reuse.
pub(crate) struct ConnectionPool {
    state: Rc<RefCell<PoolState>>,
}

struct PoolState {
    available: usize,
    idle: Vec<ClientConnection>,
    waiters: VecDeque<oneshot::Sender<PoolPermit>>,
}

/// Permit to use one connection; returned to the pool when it is dropped.
pub(crate) struct PoolPermit {
    state: Option<Rc<RefCell<PoolState>>>,
}

impl ConnectionPool {
    pub(crate) fn new(limit: usize) -> Self {
        let state = PoolState {
            available: limit,
            idle: Vec::new(),
            waiters: VecDeque::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Waits, in order of arrival, for a permit to use a connection.
    pub(crate) async fn acquire(&self) -> PoolPermit {
        loop {
            let receiver = {
                let mut state = self.state.borrow_mut();
                if state.available > 0 {
                    state.available -= 1;
                    return PoolPermit::new(&self.state);
                }
                let (sender, receiver) = oneshot::channel();
                state.waiters.push_back(sender);
                receiver
            };
            if let Ok(permit) = receiver.await {
                return permit;
            }
        }
    }

    /// Takes the most recently used idle connection.
    pub(crate) fn take_idle(&self) -> Option<ClientConnection> {
        self.state.borrow_mut().idle.pop()
    }

    /// Puts a connection back into the pool after a complete response.
    pub(crate) fn put_idle(&self, connection: ClientConnection) {
        self.state.borrow_mut().idle.push(connection);
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
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
            let Some(sender) = state.borrow_mut().waiters.pop_front() else {
                state.borrow_mut().available += 1;
                return;
            };
            match sender.send(PoolPermit::new(&state)) {
                Ok(()) => return,
                // The waiting call was dropped. Clearing the returned permit prevents its own drop
                // from recursing to a depth equal to the number of dropped calls.
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
