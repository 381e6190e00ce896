use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Capacity of the queue; lines that exceed it are dropped and counted.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of lines per second. A line takes about 20 microseconds, so logging uses less
/// than 1% of a core.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Time limit for writing the queued lines at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Non-blocking writer that queues log lines for a [`LogThread`].
#[derive(Debug)]
pub(super) struct LogQueueWriter {
    sender: SyncSender<Vec<u8>>,
    queued_lines: Arc<AtomicUsize>,
    line: Vec<u8>,
    window_start: Instant,
    lines_in_window: u32,
    dropped: u64,
}

/// Handle of the thread that writes queued log lines.
#[derive(Debug)]
pub struct LogThread {
    thread: JoinHandle<()>,
    queued_lines: Arc<AtomicUsize>,
}

impl LogQueueWriter {
    /// Starts a thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(super) fn start<Target>(target: Target) -> io::Result<(Self, LogThread)>
    where
        Target: Write + Send + 'static,
    {
        let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
        let queued_lines = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&queued_lines);
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver, &counter, target))?;
        let writer = Self {
            sender,
            queued_lines: Arc::clone(&queued_lines),
            line: Vec::new(),
            window_start: Instant::now(),
            lines_in_window: 0,
            dropped: 0,
        };
        Ok((
            writer,
            LogThread {
                thread,
                queued_lines,
            },
        ))
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        if self.lines_in_window >= MAX_LINES_PER_SECOND {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let note = format!("event=log_lines_dropped count={}\n", self.dropped);
            if self.enqueue(note.into_bytes()) {
                self.dropped = 0;
            }
        }
        self.lines_in_window += 1;
        if !self.enqueue(line) {
            self.dropped += 1;
        }
    }

    fn enqueue(&self, line: Vec<u8>) -> bool {
        self.queued_lines.fetch_add(1, Ordering::Relaxed);
        let is_queued = self.sender.try_send(line).is_ok();
        if !is_queued {
            self.queued_lines.fetch_sub(1, Ordering::Relaxed);
        }
        is_queued
    }
}

impl Write for LogQueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.send(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogThread {
    /// Waits until the queued lines are written or a short time limit expires.
    ///
    /// Lines are lost if the reader of the log does not consume them in time.
    pub fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.queued_lines.load(Ordering::Relaxed) > 0
            && !self.thread.is_finished()
            && Instant::now() < end
        {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

fn write_lines<Target>(receiver: &Receiver<Vec<u8>>, queued_lines: &AtomicUsize, mut target: Target)
where
    Target: Write,
{
    while let Ok(line) = receiver.recv() {
        // A failed write cannot be reported, since the log itself is the output.
        if target.write_all(&line).is_err() {
            return;
        }
        queued_lines.fetch_sub(1, Ordering::Relaxed);
    }
}
