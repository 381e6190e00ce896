use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

use crate::proxy::{Direction, ProxyMapping};
use crate::wire;

/// Bytes that are read and delayed together; at 30 Mbit/s a chunk takes 4.4 ms.
const CHUNK_SIZE: usize = 16 * 1024;

/// Chunks in flight in each direction of a connection; a full queue makes the sender wait.
const QUEUE_LENGTH: usize = 64;

/// Time after which a blocked write looks at whether the connection was cut.
const WRITE_STEP: Duration = Duration::from_millis(100);

/// Holds both ends of a connection through the proxy.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) source: Arc<TcpStream>,
    pub(super) target: Arc<TcpStream>,
    /// Whether all bytes of a direction are swallowed, for good.
    pub(super) silent: [AtomicBool; 2],
    pub(super) cut: AtomicBool,
    /// Bytes towards the source since the byte limit was set.
    pub(super) counted: AtomicU64,
}

impl Connection {
    /// Swallows all bytes from now on, also those in flight.
    pub(super) fn silence(&self) {
        self.silence_one_way(Direction::ToTarget);
        self.silence_one_way(Direction::ToSource);
    }

    /// Swallows all bytes of one direction from now on, also those in flight.
    pub(super) fn silence_one_way(&self, direction: Direction) {
        self.silent[direction as usize].store(true, Ordering::SeqCst);
    }

    /// Resets both ends.
    pub(super) fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        wire::reset(&self.source);
        wire::reset(&self.target);
    }

    /// Counts bytes towards the source from zero.
    pub(super) fn restart_count(&self) {
        self.counted.store(0, Ordering::SeqCst);
    }

    fn is_silent(&self, direction: Direction) -> bool {
        self.silent[direction as usize].load(Ordering::SeqCst)
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    fn ends(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToTarget => (&self.source, &self.target),
            Direction::ToSource => (&self.target, &self.source),
        }
    }
}

/// Forwards both directions until both have ended.
pub(super) fn forward(mapping: &ProxyMapping, connection: &Connection) {
    for stream in [&connection.source, &connection.target] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_STEP));
    }
    thread::scope(|scope| {
        for direction in [Direction::ToTarget, Direction::ToSource] {
            let (sender, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
            let started = thread::Builder::new().stack_size(64 * 1024);
            let reading = started.spawn_scoped(scope, move || {
                read_all(mapping, connection, direction, &sender);
            });
            let started = thread::Builder::new().stack_size(64 * 1024);
            let writing = started.spawn_scoped(scope, move || {
                write_all(mapping, connection, direction, &receiver);
            });
            if reading.is_err() || writing.is_err() {
                connection.cut();
            }
        }
    });
}

/// Reads chunks and states when each is due; one queue keeps their order.
fn read_all(
    mapping: &ProxyMapping,
    connection: &Connection,
    direction: Direction,
    sender: &SyncSender<(Instant, Vec<u8>)>,
) {
    let (mut from, _) = connection.ends(direction);
    let mut buffer = vec![0; CHUNK_SIZE];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => {
                // A reset on one side becomes a reset on the other.
                if !connection.is_silent(direction) {
                    connection.cut();
                }
                0
            }
        };
        if length > 0 && connection.is_silent(direction) {
            continue;
        }
        // An empty chunk carries the end of the stream, late like the bytes before it.
        let sent = match mapping.group() {
            Some(group) => group.send(length, direction),
            None => Instant::now(),
        };
        let chunk = buffer[..length].to_vec();
        if sender.send((sent + mapping.latency(), chunk)).is_err() || length == 0 {
            return;
        }
    }
}

fn write_all(
    mapping: &ProxyMapping,
    connection: &Connection,
    direction: Direction,
    receiver: &Receiver<(Instant, Vec<u8>)>,
) {
    let (_, to) = connection.ends(direction);
    while let Ok((due, mut chunk)) = receiver.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if connection.is_cut() {
            return;
        }
        if connection.is_silent(direction) {
            if chunk.is_empty() {
                // The end of one side stays hidden from the other until that side ends as well.
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
            let counted = connection.counted.load(Ordering::SeqCst);
            if let Some(limit) = mapping.byte_limit() {
                let rest = usize::try_from(limit.saturating_sub(counted)).unwrap_or(usize::MAX);
                last = chunk.len() >= rest;
                chunk.truncate(rest);
            }
            let sent = chunk.len() as u64;
            connection.counted.fetch_add(sent, Ordering::SeqCst);
        }
        mapping.count(direction, chunk.len());
        if write_chunk(connection, to, &chunk).is_err() || last {
            connection.cut();
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
                if connection.is_cut() {
                    return Err(error);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
