//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// A record file whose lines begin with the time in ms since its creation.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        let start = Instant::now();
        Ok(Self { start, file })
    }

    /// Returns the time in ms since the creation of the record.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{now} {text}");
        now
    }

    /// Writes a line that is also shown on standard output.
    pub fn note(&self, text: &str) {
        let now = self.line(text);
        self.flush();
        println!("{now} {text}");
    }

    pub fn flush(&self) {
        let _ = self
            .file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush();
    }
}
