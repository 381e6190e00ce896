use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use crate::wire;

/// Stack of a connection thread, in bytes; a stand-in may hold several hundred of them.
const STACK_SIZE: usize = 256 * 1024;

/// Serves one connection on its own thread.
pub type StreamHandler = dyn Fn(&Arc<TcpStream>) + Send + Sync;

/// Accepts connections while it is open; closed, it resets them and refuses new ones.
#[derive(Debug, Clone)]
pub struct SwitchableListener {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    handler: Box<StreamHandler>,
    gate: Mutex<Gate>,
    changed: Condvar,
    accepted: AtomicU64,
    peak: AtomicU64,
}

struct Gate {
    /// Whether connections should be accepted.
    open: bool,
    /// Whether the address is bound.
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
    /// Binds the address and starts to accept, for the life of the process.
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
            gate: Mutex::new(Gate {
                open: true,
                bound: true,
                streams: HashMap::new(),
            }),
            changed: Condvar::new(),
            accepted: AtomicU64::new(0),
            peak: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new().spawn(move || accept_all(&accepting, listener))?;
        Ok(SwitchableListener { shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns the largest number of connections that were open at the same time.
    #[must_use]
    pub fn peak(&self) -> u64 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Opens or closes the listener, and returns once the change is in force.
    pub fn set_open(&self, open: bool) {
        let mut gate = wire::lock(&self.shared.gate);
        if gate.open == open {
            return;
        }
        gate.open = open;
        if !open {
            for stream in gate.streams.values().filter_map(Weak::upgrade) {
                reset(&stream);
            }
        }
        drop(gate);
        self.shared.changed.notify_all();
        if !open {
            // The accepting thread blocks in accept and sees the change only after a connection.
            let _ = TcpStream::connect_timeout(&self.shared.address, Duration::from_millis(200));
        }
        let gate = wire::lock(&self.shared.gate);
        let pending = |gate: &mut Gate| gate.open == open && gate.bound != open;
        let waited = self.shared.changed.wait_while(gate, pending);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Creates the close of a stream send a reset, and ends a read that blocks on it.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

fn accept_all(shared: &Arc<Shared>, first: TcpListener) {
    let mut listener = first;
    loop {
        let accepted = listener.accept();
        let mut gate = wire::lock(&shared.gate);
        if !gate.open {
            drop(accepted);
            drop(listener);
            gate.bound = false;
            shared.changed.notify_all();
            let waited = shared.changed.wait_while(gate, |gate| !gate.open);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            listener = rebind(shared.address);
            wire::lock(&shared.gate).bound = true;
            shared.changed.notify_all();
            continue;
        }
        let Ok((stream, _)) = accepted else {
            drop(gate);
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let stream = Arc::new(stream);
        let number = shared.accepted.fetch_add(1, Ordering::Relaxed);
        gate.streams.insert(number, Arc::downgrade(&stream));
        let open = gate.streams.len() as u64;
        drop(gate);
        shared.peak.fetch_max(open, Ordering::Relaxed);
        let serving = Arc::clone(shared);
        let builder = thread::Builder::new().stack_size(STACK_SIZE);
        let _ = builder.spawn(move || {
            (serving.handler)(&stream);
            drop(stream);
            wire::lock(&serving.gate).streams.remove(&number);
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
