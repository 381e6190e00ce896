use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

use crate::proxy::{Direction, ProxyMapping};
use crate::wire;

/// Maximum number of bytes that are read and delayed together; sending a chunk at 30 Mbit/s takes
/// 4.4 ms.
const CHUNK_SIZE: usize = 16 * 1024;

/// Capacity in chunks of the queue for each direction of a connection; a full queue blocks the
/// reading thread.
const QUEUE_CAPACITY: usize = 64;

/// Interval at which a blocked write checks whether the connection was reset.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Both ends of a connection through the proxy.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) source: Arc<TcpStream>,
    pub(super) target: Arc<TcpStream>,
    /// Whether all further bytes are discarded, by direction; never cleared.
    pub(super) discarding: [AtomicBool; 2],
    pub(super) was_reset: AtomicBool,
    /// Number of bytes sent to the source since the byte limit was set.
    pub(super) bytes_to_source: AtomicU64,
}

impl Connection {
    /// Discards all bytes from now on, including those in flight.
    pub(super) fn discard_all(&self) {
        self.discard_direction(Direction::ToTarget);
        self.discard_direction(Direction::ToSource);
    }

    /// Discards all bytes of one direction from now on, including those in flight.
    pub(super) fn discard_direction(&self, direction: Direction) {
        self.discarding[direction as usize].store(true, Ordering::SeqCst);
    }

    /// Resets both ends.
    pub(super) fn reset(&self) {
        self.was_reset.store(true, Ordering::SeqCst);
        wire::reset(&self.source);
        wire::reset(&self.target);
    }

    /// Sets the number of bytes sent to the source to zero.
    pub(super) fn reset_byte_count(&self) {
        self.bytes_to_source.store(0, Ordering::SeqCst);
    }

    fn is_discarding(&self, direction: Direction) -> bool {
        self.discarding[direction as usize].load(Ordering::SeqCst)
    }

    fn is_reset(&self) -> bool {
        self.was_reset.load(Ordering::SeqCst)
    }

    fn source_and_sink(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToTarget => (&self.source, &self.target),
            Direction::ToSource => (&self.target, &self.source),
        }
    }
}

/// Forwards bytes in both directions until both streams have ended.
pub(super) fn forward(mapping: &ProxyMapping, connection: &Connection) {
    for stream in [&connection.source, &connection.target] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_POLL_INTERVAL));
    }
    thread::scope(|scope| {
        for direction in [Direction::ToTarget, Direction::ToSource] {
            let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
            let started = thread::Builder::new().stack_size(64 * 1024);
            let reading = started.spawn_scoped(scope, move || {
                read_chunks(mapping, connection, direction, &sender);
            });
            let started = thread::Builder::new().stack_size(64 * 1024);
            let writing = started.spawn_scoped(scope, move || {
                write_chunks(mapping, connection, direction, &receiver);
            });
            if reading.is_err() || writing.is_err() {
                connection.reset();
            }
        }
    });
}

/// Reads chunks and queues each with the time at which it is due; the single queue preserves their
/// order.
fn read_chunks(
    mapping: &ProxyMapping,
    connection: &Connection,
    direction: Direction,
    sender: &SyncSender<(Instant, Vec<u8>)>,
) {
    let (mut from, _) = connection.source_and_sink(direction);
    let mut buffer = vec![0; CHUNK_SIZE];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => {
                // A reset of one side is propagated to the other.
                if !connection.is_discarding(direction) {
                    connection.reset();
                }
                0
            }
        };
        if length > 0 && connection.is_discarding(direction) {
            continue;
        }
        // An empty chunk marks the end of the stream, delayed like the preceding bytes.
        let sent = match mapping.group() {
            Some(group) => group.queue_bytes(length, direction),
            None => Instant::now(),
        };
        let chunk = buffer[..length].to_vec();
        if sender.send((sent + mapping.latency(), chunk)).is_err() || length == 0 {
            return;
        }
        // Like a small window, this shares the link among its connections.
        thread::sleep(sent.saturating_duration_since(Instant::now()));
    }
}

fn write_chunks(
    mapping: &ProxyMapping,
    connection: &Connection,
    direction: Direction,
    receiver: &Receiver<(Instant, Vec<u8>)>,
) {
    let (_, to) = connection.source_and_sink(direction);
    while let Ok((due, mut chunk)) = receiver.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if connection.is_reset() {
            return;
        }
        if connection.is_discarding(direction) {
            if chunk.is_empty() {
                // The end of a discarding direction is not forwarded; the other side keeps its
                // connection until it ends the stream itself.
                return;
            }
            continue;
        }
        if chunk.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        let mut last = false;
        if direction == Direction::ToSource {
            let already_sent = connection.bytes_to_source.load(Ordering::SeqCst);
            if let Some(limit) = mapping.byte_limit() {
                let rest =
                    usize::try_from(limit.saturating_sub(already_sent)).unwrap_or(usize::MAX);
                last = chunk.len() >= rest;
                chunk.truncate(rest);
            }
            let sent = chunk.len() as u64;
            connection.bytes_to_source.fetch_add(sent, Ordering::SeqCst);
        }
        mapping.count_bytes(direction, chunk.len());
        if write_chunk(connection, to, &chunk).is_err() || last {
            connection.reset();
            return;
        }
    }
}

fn write_chunk(connection: &Connection, mut to: &TcpStream, chunk: &[u8]) -> io::Result<()> {
    let mut rest = chunk;
    while !rest.is_empty() {
        match to.write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => rest = &rest[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if connection.is_reset() {
                    return Err(error);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
