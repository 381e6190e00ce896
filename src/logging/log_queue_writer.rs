use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Lines that wait for the reader of the log; further ones are dropped and counted.
const QUEUE_LINES: usize = 1_024;
/// Lines accepted in any second. A line takes about 20 microseconds, so they take less than a
/// hundredth of a core.
const LINES_PER_SECOND: u32 = 400;
/// Time that the end of a process leaves for lines that wait.
const FINISH_TIME: Duration = Duration::from_millis(200);
const FINISH_STEP: Duration = Duration::from_millis(10);

/// Hands log lines to a thread that writes them, and never blocks the caller.
#[derive(Debug)]
pub(super) struct LogQueueWriter {
    sender: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    line: Vec<u8>,
    second: Instant,
    lines: u32,
    dropped: u64,
}

/// Writes the lines that still wait when the process ends.
#[derive(Debug)]
pub struct LogThread {
    thread: JoinHandle<()>,
    waiting: Arc<AtomicUsize>,
}

impl LogQueueWriter {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Any error of starting a thread.
    pub(super) fn start<Target>(target: Target) -> io::Result<(Self, LogThread)>
    where
        Target: Write + Send + 'static,
    {
        let (sender, receiver) = mpsc::sync_channel(QUEUE_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&waiting);
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver, &counter, target))?;
        let output = Self {
            sender,
            waiting: Arc::clone(&waiting),
            line: Vec::new(),
            second: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Ok((output, LogThread { thread, waiting }))
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines = 0;
        }
        if self.lines >= LINES_PER_SECOND {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let note = format!("event=log_lines_dropped count={}\n", self.dropped);
            if self.queue(note.into_bytes()) {
                self.dropped = 0;
            }
        }
        self.lines += 1;
        if !self.queue(line) {
            self.dropped += 1;
        }
    }

    fn queue(&self, line: Vec<u8>) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let queued = self.sender.try_send(line).is_ok();
        if !queued {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        queued
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
    /// Waits a short time for the lines that still wait; a reader that does not read loses them.
    pub fn flush(&self) {
        let end = Instant::now() + FINISH_TIME;
        while self.waiting.load(Ordering::Relaxed) > 0
            && !self.thread.is_finished()
            && Instant::now() < end
        {
            thread::sleep(FINISH_STEP);
        }
    }
}

fn write_lines<Target>(receiver: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut target: Target)
where
    Target: Write,
{
    while let Ok(line) = receiver.recv() {
        // A log that cannot be written has nowhere else to go.
        if target.write_all(&line).is_err() {
            return;
        }
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
