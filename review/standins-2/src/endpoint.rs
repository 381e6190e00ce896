//! A stand-in of an application endpoint.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{self, Connection};
use crate::record::Record;

/// A request that an endpoint has begun to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
}

pub struct Endpoint {
    pub address: SocketAddr,
    pub capacity: u32,
    pub id: String,
    work_ms: u64,
    body_bytes: usize,
    working: AtomicU32,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Endpoint {
    pub fn start(
        address: SocketAddr,
        id: &str,
        capacity: u32,
        work_ms: u64,
        body_bytes: usize,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let endpoint = Arc::new(Self {
            address,
            capacity,
            id: id.to_owned(),
            work_ms,
            body_bytes,
            working: AtomicU32::new(0),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&endpoint);
        http::serve(address, move |mut connection| {
            let _ = served.serve(&mut connection);
        })?;
        Ok(endpoint)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read()? {
            let id = &self.id;
            if request.target() == "/healthz" {
                connection.write(&http::response(200, &[("Instance-Id", id.as_str())], b""))?;
                continue;
            }
            let request_id = request.header("request-id").unwrap_or_default().to_owned();
            let named = [
                ("Request-Id", request_id.as_str()),
                ("Instance-Id", id.as_str()),
            ];
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != id.as_str()) {
                self.record
                    .line(&format!("endpoint {id}: 421 to {request_id}"));
                connection.write(&http::response(421, &named, b""))?;
                continue;
            }
            let others = self.working.fetch_add(1, Ordering::SeqCst);
            if others >= self.capacity {
                self.working.fetch_sub(1, Ordering::SeqCst);
                self.record
                    .line(&format!("endpoint {id}: full, shed {request_id}"));
                let shed = [named[0], ("Not-Executed", "1")];
                connection.write(&http::response(503, &shed, b""))?;
                continue;
            }
            self.record.line(&format!(
                "endpoint {id}: runs {request_id} {} {} body={} deadline={}",
                request.method(),
                request.target(),
                request.body.len(),
                request.header("deadline-ms").unwrap_or("-"),
            ));
            let run = Run {
                id: request_id.clone(),
            };
            self.runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(run);
            thread::sleep(Duration::from_millis(self.work_ms));
            self.working.fetch_sub(1, Ordering::SeqCst);
            let stamped = [named[0], ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")];
            connection.write(&http::response(200, &stamped, &vec![b'x'; self.body_bytes]))?;
        }
        Ok(())
    }
}
