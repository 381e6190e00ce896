use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::id::NodeAddress;
use crate::peer::peer_connection::PeerConnection;

/// Call connections of a pool, keyed by peer.
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

    /// Closes the least recently used idle connection if the table is full.
    ///
    /// Returns false if the table is full and every connection is in use.
    pub(crate) fn evict_if_full(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < self.limit {
            return true;
        }
        let idle = connections
            .iter()
            .filter(|(_, connection)| connection.outstanding.get() == 0)
            .min_by_key(|(_, connection)| connection.last_used.get())
            .map(|(address, _)| *address);
        let evicted = idle.and_then(|address| connections.remove(&address));
        evicted.inspect(|connection| connection.close()).is_some()
    }

    /// Removes a connection unless the table holds another one for the peer.
    pub(crate) fn remove(&self, to: NodeAddress, connection: &Rc<PeerConnection>) {
        let mut connections = self.connections.borrow_mut();
        let current = connections.get(&to);
        if current.is_some_and(|current| Rc::ptr_eq(current, connection)) {
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
