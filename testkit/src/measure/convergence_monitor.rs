use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::measure::SampleSet;
use crate::wire::BlockingClient;

/// Threads that ask; each asks its share of the nodes in turn.
const THREADS: usize = 4;
/// Time between two rounds of a thread.
const ROUND_TIME: Duration = Duration::from_millis(5);

/// Measures when each node has a version in force, from its admin page.
#[derive(Debug)]
pub struct ConvergenceMonitor {
    admins: Vec<SocketAddr>,
    limit: Duration,
}

impl ConvergenceMonitor {
    /// Creates a watch over the nodes with the given admin addresses, with a limit in ms.
    #[must_use]
    pub fn new(admins: Vec<SocketAddr>, limit_ms: u64) -> ConvergenceMonitor {
        let limit = Duration::from_millis(limit_ms);
        ConvergenceMonitor { admins, limit }
    }

    /// Asks until every node has the version or the limit has passed, and returns the times from
    /// `start` in ms, and how many nodes did not have it.
    #[must_use]
    pub fn run(&self, number: u64, start: Instant) -> (SampleSet, usize) {
        let share = self.admins.len().div_ceil(THREADS).max(1);
        let samples: Vec<f64> = thread::scope(|scope| {
            let parts = self.admins.chunks(share);
            let threads: Vec<_> = parts
                .map(|part| scope.spawn(move || self.watch(part, number, start)))
                .collect();
            let joined = threads.into_iter().filter_map(|part| part.join().ok());
            joined.flatten().collect()
        });
        let missing = self.admins.len() - samples.len();
        (samples.into_iter().collect(), missing)
    }

    fn watch(&self, part: &[SocketAddr], number: u64, start: Instant) -> Vec<f64> {
        let mut open: Vec<(SocketAddr, Option<BlockingClient>)> =
            part.iter().map(|admin| (*admin, None)).collect();
        let mut samples = Vec::new();
        while !open.is_empty() && start.elapsed() < self.limit {
            open.retain_mut(|(admin, client)| {
                let held = held_number(*admin, client);
                let waits = held.is_none_or(|held| held < number);
                if !waits {
                    samples.push(start.elapsed().as_secs_f64() * 1_000.0);
                }
                waits
            });
            thread::sleep(ROUND_TIME);
        }
        samples
    }
}

fn held_number(admin: SocketAddr, client: &mut Option<BlockingClient>) -> Option<u64> {
    if client.is_none() {
        *client = BlockingClient::connect(admin, Duration::from_millis(500)).ok();
    }
    match client.as_mut()?.call("GET", "/v1/status", &[], &[]) {
        Ok(response) => {
            let status = response.body_json();
            // A version that is held but not served is not in force.
            let ready = status["ready"] == true;
            status["stamp"]["number"].as_u64().filter(|_| ready)
        }
        Err(_) => {
            *client = None;
            None
        }
    }
}
