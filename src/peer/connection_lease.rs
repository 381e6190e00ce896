use std::rc::Rc;

use crate::clock::SystemClock;
use crate::peer::peer_connection::PeerConnection;

/// Lease that marks a connection as in use by a call until the lease is dropped.
pub(crate) struct ConnectionLease {
    connection: Rc<PeerConnection>,
    clock: SystemClock,
}

impl ConnectionLease {
    pub(crate) fn new(connection: Rc<PeerConnection>, clock: SystemClock) -> Self {
        connection.outstanding.set(connection.outstanding.get() + 1);
        Self { connection, clock }
    }

    pub(crate) fn connection(&self) -> &Rc<PeerConnection> {
        &self.connection
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.outstanding.set(connection.outstanding.get() - 1);
        connection.last_used.set(self.clock.now());
        if connection.is_retired() {
            connection.retire();
        }
    }
}
