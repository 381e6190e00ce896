use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use crate::wire::{WireReply, WireRequest};

/// Stack of a connection thread, in bytes; a stand-in may hold several hundred of them.
const STACK_SIZE: usize = 256 * 1024;

/// Answers the requests of a `WireServer`.
pub trait WireHandler: Send + Sync {
    /// Decides about one request; may block.
    fn handle(&self, request: &WireRequest) -> WireReply;

    /// Counts bytes sent.
    fn sent(&self, _bytes: usize) {}
}

/// Accepts connections and serves each on its own thread, for the life of the process.
#[derive(Debug, Clone)]
pub struct WireServer {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    handler: Arc<dyn WireHandler>,
    gate: Mutex<Gate>,
    changed: Condvar,
    next: AtomicU64,
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

impl WireServer {
    /// Binds the address and starts to accept.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, handler: Arc<dyn WireHandler>) -> io::Result<WireServer> {
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
            next: AtomicU64::new(0),
            peak: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new().spawn(move || accept_all(&accepting, listener))?;
        Ok(WireServer { shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the largest number of connections that were open at the same time.
    #[must_use]
    pub fn connections_peak(&self) -> u64 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Opens or closes the server: a closed one resets its connections and refuses new ones.
    ///
    /// Returns once the change is in force.
    pub fn set_open(&self, open: bool) {
        let mut gate = lock(&self.shared.gate);
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
        let gate = lock(&self.shared.gate);
        let pending = |gate: &mut Gate| gate.open == open && gate.bound != open;
        let waited = self.shared.changed.wait_while(gate, pending);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Makes the close of a stream send a reset, and ends a read that blocks on it.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept_all(shared: &Arc<Shared>, first: TcpListener) {
    let mut listener = first;
    loop {
        let accepted = listener.accept();
        let mut gate = lock(&shared.gate);
        if !gate.open {
            drop(accepted);
            drop(listener);
            gate.bound = false;
            shared.changed.notify_all();
            let waited = shared.changed.wait_while(gate, |gate| !gate.open);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            listener = rebind(shared.address);
            lock(&shared.gate).bound = true;
            shared.changed.notify_all();
            continue;
        }
        drop(gate);
        let Ok((stream, _)) = accepted else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let serving = Arc::clone(shared);
        let builder = thread::Builder::new().stack_size(STACK_SIZE);
        let _ = builder.spawn(move || serve(&serving, stream));
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

fn serve(shared: &Shared, stream: TcpStream) {
    let stream = Arc::new(stream);
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    let mut gate = lock(&shared.gate);
    gate.streams.insert(number, Arc::downgrade(&stream));
    let open = gate.streams.len() as u64;
    drop(gate);
    shared.peak.fetch_max(open, Ordering::Relaxed);
    // A connection that ends with an error needs no report: the caller sees it.
    let _ = serve_stream(shared, &stream);
    lock(&shared.gate).streams.remove(&number);
}

fn serve_stream(shared: &Shared, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = WireRequest::read(&mut reader)? {
        let (bytes, last) = match shared.handler.handle(&request) {
            WireReply::Answer(answer) => (answer.encode(), false),
            WireReply::Cut(answer, length) => {
                let mut bytes = answer.encode();
                let kept = bytes.len() - answer.body.len() + length.min(answer.body.len());
                bytes.truncate(kept);
                (bytes, true)
            }
            WireReply::Silent => {
                let mut rest = [0; 4096];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
            WireReply::Reset => {
                reset(stream);
                return Ok(());
            }
        };
        writer.write_all(&bytes)?;
        shared.handler.sent(bytes.len());
        if last {
            return Ok(());
        }
    }
    Ok(())
}
