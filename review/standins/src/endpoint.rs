//! Endpoints that serve requests and report to the store.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::{Entry, Store};

/// An endpoint with its heartbeats.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    entry: Mutex<Entry>,
    store: Store,
    record: Arc<Record>,
    work: Duration,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    /// Times at which the endpoint began to run requests, in ms of the record.
    run_times: Mutex<Vec<u64>>,
}

impl Endpoint {
    /// Starts an endpoint, which reports to the store at once and then at each heartbeat.
    pub fn start(
        entry: Entry,
        store: Store,
        record: Arc<Record>,
        heartbeat: Duration,
        work: Duration,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(entry.address)?;
        let endpoint = Arc::new(Self {
            id: entry.id.clone(),
            service: entry.service.clone(),
            entry: Mutex::new(entry),
            store,
            record,
            work,
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            run_times: Mutex::default(),
        });
        let server = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = Arc::clone(&server);
                thread::spawn(move || {
                    let _ = endpoint.serve(stream);
                });
            }
        });
        let beating = Arc::clone(&endpoint);
        thread::spawn(move || {
            while !beating.has_ended.load(Ordering::SeqCst) {
                beating.beat();
                thread::sleep(heartbeat);
            }
        });
        Ok(endpoint)
    }

    fn beat(&self) {
        // Holds the entry, so that no heartbeat follows the removal of the entry.
        let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        entry.sequence += 1;
        if !self.is_leaving.load(Ordering::SeqCst) {
            self.store.beat(&entry);
        }
    }

    /// Leaves without reporting that it drains: its entry is removed, and it serves on until
    /// [`Endpoint::end`].
    pub fn leave(&self) -> bool {
        let _entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_leaving.store(true, Ordering::SeqCst);
        self.store.remove(&self.id)
    }

    /// Ends the endpoint, which then closes its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    /// Returns the times at which the endpoint began to run requests, in ms of the record.
    pub fn run_times(&self) -> Vec<u64> {
        self.run_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut buffer)? {
            if self.has_ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.record
                    .line(&format!("endpoint {} rejects {id} status=421", self.id));
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Instance-Id", self.id.as_str()),
                    ("Not-Executed", "1"),
                ];
                http::write(
                    &mut stream,
                    "HTTP/1.1 421 Misdirected Request",
                    &headers,
                    b"",
                )?;
                continue;
            }
            let now = self.record.line(&format!("endpoint {} runs {id}", self.id));
            self.run_times
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(now);
            thread::sleep(self.work);
            let stamp = format!("{}.{id}", self.id);
            let headers = [
                ("Request-Id", id.as_str()),
                ("Server-Stamp", stamp.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            http::write(&mut stream, "HTTP/1.1 200 OK", &headers, b"done")?;
        }
        Ok(())
    }
}
