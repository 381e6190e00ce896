use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use crate::wire;

/// Stack size of a connection thread, in bytes; an emulator may run several hundred of them.
const STACK_SIZE: usize = 256 * 1024;

/// Handler of one connection, called on a thread of its own.
pub type StreamHandler = dyn Fn(&Arc<TcpStream>) + Send + Sync;

/// Listener that can be opened and closed; while closed, it refuses new connections.
///
/// Closing resets the existing connections.
#[derive(Debug, Clone)]
pub struct SwitchableListener {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    handler: Box<StreamHandler>,
    state: Mutex<ListenState>,
    changed: Condvar,
    accepted: AtomicU64,
    connections_peak: AtomicU64,
}

struct ListenState {
    /// Whether connections are to be accepted.
    open: bool,
    /// Whether the listening socket is bound.
    bound: bool,
    streams: HashMap<u64, Weak<TcpStream>>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Shared")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl SwitchableListener {
    /// Binds the address and accepts connections for the lifetime of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        handler: Box<StreamHandler>,
    ) -> io::Result<SwitchableListener> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            handler,
            state: Mutex::new(ListenState {
                open: true,
                bound: true,
                streams: HashMap::new(),
            }),
            changed: Condvar::new(),
            accepted: AtomicU64::new(0),
            connections_peak: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new().spawn(move || accept_connections(&accepting, listener))?;
        Ok(SwitchableListener { shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the total number of accepted connections.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of concurrent connections so far.
    #[must_use]
    pub fn connections_peak(&self) -> u64 {
        self.shared.connections_peak.load(Ordering::Relaxed)
    }

    /// Opens or closes the listener and returns once the change has taken effect.
    pub fn set_open(&self, open: bool) {
        let mut state = wire::lock(&self.shared.state);
        if state.open == open {
            return;
        }
        state.open = open;
        if !open {
            for stream in state.streams.values().filter_map(Weak::upgrade) {
                reset(&stream);
            }
        }
        drop(state);
        self.shared.changed.notify_all();
        if !open {
            // The accepting thread is blocked in `accept` and notices the change only when a
            // connection arrives.
            let _ = TcpStream::connect_timeout(&self.shared.address, Duration::from_millis(200));
        }
        let state = wire::lock(&self.shared.state);
        let is_pending = |state: &mut ListenState| state.open == open && state.bound != open;
        let result = self.shared.changed.wait_while(state, is_pending);
        drop(result.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Configures a stream to send a reset when closed and ends reads that are blocked on it.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

fn accept_connections(shared: &Arc<Shared>, first: TcpListener) {
    let mut listener = first;
    loop {
        let accepted = listener.accept();
        let mut state = wire::lock(&shared.state);
        if !state.open {
            drop(accepted);
            drop(listener);
            state.bound = false;
            shared.changed.notify_all();
            let result = shared.changed.wait_while(state, |state| !state.open);
            drop(result.unwrap_or_else(PoisonError::into_inner));
            listener = rebind(shared.address);
            wire::lock(&shared.state).bound = true;
            shared.changed.notify_all();
            continue;
        }
        let Ok((stream, _)) = accepted else {
            drop(state);
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let stream = Arc::new(stream);
        let number = shared.accepted.fetch_add(1, Ordering::Relaxed);
        state.streams.insert(number, Arc::downgrade(&stream));
        let open = state.streams.len() as u64;
        drop(state);
        shared.connections_peak.fetch_max(open, Ordering::Relaxed);
        let serving = Arc::clone(shared);
        let builder = thread::Builder::new().stack_size(STACK_SIZE);
        let _ = builder.spawn(move || {
            (serving.handler)(&stream);
            drop(stream);
            wire::lock(&serving.state).streams.remove(&number);
        });
    }
}

fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(5));
    }
}
