use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::id::NodeAddress;
use crate::peer::peer_connection::PeerConnection;

/// Holds the call connections of a pool by peer.
pub(crate) struct ConnectionTable {
    connections: RefCell<HashMap<NodeAddress, Rc<PeerConnection>>>,
    limit: usize,
}

impl ConnectionTable {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            connections: RefCell::default(),
            limit,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(crate) fn get(&self, to: NodeAddress) -> Option<Rc<PeerConnection>> {
        self.connections.borrow().get(&to).cloned()
    }

    pub(crate) fn insert(&self, to: NodeAddress, connection: Rc<PeerConnection>) {
        self.connections.borrow_mut().insert(to, connection);
    }

    /// Closes the longest idle connection if the table is full; returns false if all are in use.
    pub(crate) fn make_room(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < self.limit {
            return true;
        }
        let idle = connections
            .iter()
            .filter(|(_, connection)| connection.outstanding.get() == 0)
            .min_by_key(|(_, connection)| connection.last_used.get())
            .map(|(address, _)| *address);
        let closed = idle.and_then(|address| connections.remove(&address));
        closed.inspect(|connection| connection.close()).is_some()
    }

    /// Removes a connection unless another one has replaced it.
    pub(crate) fn forget(&self, to: NodeAddress, connection: &Rc<PeerConnection>) {
        let mut connections = self.connections.borrow_mut();
        let held = connections.get(&to);
        if held.is_some_and(|held| Rc::ptr_eq(held, connection)) {
            connections.remove(&to);
        }
    }

    /// Removes and closes every connection.
    pub(crate) fn close(&self) {
        for (_, connection) in self.connections.borrow_mut().drain() {
            connection.close();
        }
    }
}
