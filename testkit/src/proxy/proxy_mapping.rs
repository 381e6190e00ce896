use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use serde_json::{Value, json};

use crate::proxy::proxy_stream::{self, Connection};
use crate::proxy::{LinkGroup, MappingEntry, ProxyFault, ProxyFaultMode};
use crate::wire::{self, SwitchableListener};

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Mapping from a listen address to a target address, shared by the threads of its connections.
#[derive(Debug)]
pub struct ProxyMapping {
    target: SocketAddr,
    group: Option<Arc<LinkGroup>>,
    state: Mutex<State>,
    bytes: [AtomicU64; 2],
    open_connections: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    mode: ProxyFaultMode,
    after_bytes: u64,
    connections: Vec<Weak<Connection>>,
}

impl ProxyMapping {
    /// Creates a mapping and starts listening.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        entry: &MappingEntry,
        group: Option<Arc<LinkGroup>>,
    ) -> std::io::Result<(Arc<ProxyMapping>, SwitchableListener)> {
        let mapping = Arc::new(ProxyMapping {
            target: entry.target,
            group,
            state: Mutex::default(),
            bytes: [AtomicU64::new(0), AtomicU64::new(0)],
            open_connections: AtomicU64::new(0),
        });
        mapping.set_latency(entry.latency_ms);
        let serving = Arc::clone(&mapping);
        let serve = move |stream: &Arc<TcpStream>| serving.serve(stream);
        let listener = SwitchableListener::start(entry.listen, Box::new(serve))?;
        Ok((mapping, listener))
    }

    /// Sets the one-way latency in ms of bytes that arrive from now on.
    pub fn set_latency(&self, latency_ms: f64) {
        let seconds = latency_ms.clamp(0.0, 60_000.0) / 1_000.0;
        wire::lock(&self.state).latency = Duration::from_secs_f64(seconds);
    }

    /// Applies a fault to existing connections and to those accepted from now on.
    ///
    /// Refusing new connections is left to the listener.
    pub fn set_fault(&self, fault: &ProxyFault) {
        let mut state = wire::lock(&self.state);
        state.mode = fault.mode;
        state.after_bytes = fault.after_bytes;
        for connection in state.connections.iter().filter_map(Weak::upgrade) {
            match fault.mode {
                ProxyFaultMode::Silent | ProxyFaultMode::SilentOpen => connection.discard_all(),
                ProxyFaultMode::SilentReplies => {
                    connection.discard_direction(super::Direction::ToSource);
                }
                ProxyFaultMode::Cut => connection.reset(),
                ProxyFaultMode::Truncate => connection.reset_byte_count(),
                ProxyFaultMode::None => {}
            }
        }
    }

    /// Returns the byte counts of both directions and the connection counts as JSON.
    #[must_use]
    pub fn report(&self, accepted: u64) -> Value {
        let [to_target, to_source] = &self.bytes;
        json!({
            "to_target": to_target.load(Ordering::Relaxed),
            "to_source": to_source.load(Ordering::Relaxed),
            "connections": self.open_connections.load(Ordering::Relaxed),
            "accepted": accepted,
        })
    }

    pub(super) fn latency(&self) -> Duration {
        wire::lock(&self.state).latency
    }

    /// Returns the number of bytes towards the source after which a connection is reset.
    pub(super) fn byte_limit(&self) -> Option<u64> {
        let state = wire::lock(&self.state);
        (state.mode == ProxyFaultMode::Truncate).then_some(state.after_bytes)
    }

    pub(super) fn group(&self) -> Option<&LinkGroup> {
        self.group.as_deref()
    }

    pub(super) fn count_bytes(&self, direction: super::Direction, bytes: usize) {
        self.bytes[direction as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn serve(&self, source: &Arc<TcpStream>) {
        let Ok(target) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            wire::reset(source);
            return;
        };
        let connection = Arc::new(Connection {
            source: Arc::clone(source),
            target: Arc::new(target),
            discarding: [AtomicBool::new(false), AtomicBool::new(false)],
            was_reset: AtomicBool::new(false),
            bytes_to_source: AtomicU64::new(0),
        });
        let mut state = wire::lock(&self.state);
        match state.mode {
            ProxyFaultMode::Silent => connection.discard_all(),
            ProxyFaultMode::SilentReplies => {
                connection.discard_direction(super::Direction::ToSource);
            }
            ProxyFaultMode::Cut => connection.reset(),
            _ => {}
        }
        state.connections.retain(|entry| entry.strong_count() > 0);
        state.connections.push(Arc::downgrade(&connection));
        drop(state);
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        proxy_stream::forward(self, &connection);
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
