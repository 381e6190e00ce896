use std::collections::VecDeque;

use crate::clock::ClockTime;
use crate::sidecar::endpoint_connection::EndpointConnection;
use crate::sidecar::forward_message::ForwardRequestHeader;

/// Maximum idle time of a connection that carries a non-idempotent request. The endpoint may be
/// closing an older connection, which would leave it unknown whether the request ran.
const NON_IDEMPOTENT_IDLE_LIMIT: ClockTime = ClockTime(500);

/// Connection kept open for reuse.
struct IdleConnection {
    connection: EndpointConnection,
    since: ClockTime,
    limit: ClockTime,
}

/// Connections to the endpoint that are kept open for reuse.
#[derive(Default)]
pub(crate) struct IdleConnections {
    connections: VecDeque<IdleConnection>,
}

impl IdleConnections {
    /// Takes a connection on which the response to the request can be identified; closes the
    /// others that it finds.
    pub(crate) fn take(
        &mut self,
        now: ClockTime,
        header: &ForwardRequestHeader,
    ) -> Option<EndpointConnection> {
        // The response to a request without identifier has none either.
        if header.request_id.is_empty() {
            return None;
        }
        while let Some(idle) = self.connections.pop_back() {
            let mut connection = idle.connection;
            let limit = if header.idempotent {
                idle.limit
            } else {
                idle.limit.min(NON_IDEMPOTENT_IDLE_LIMIT)
            };
            if now - idle.since < limit
                && !connection.refused.contains(&header.request_id)
                && connection.stream.is_idle()
            {
                connection.is_reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for at most `limit`.
    pub(crate) fn put(&mut self, connection: EndpointConnection, now: ClockTime, limit: ClockTime) {
        self.connections
            .retain(|idle| now - idle.since < idle.limit);
        self.connections.push_back(IdleConnection {
            connection,
            since: now,
            limit,
        });
    }

    /// Closes all connections.
    pub(crate) fn clear(&mut self) {
        self.connections.clear();
    }
}
