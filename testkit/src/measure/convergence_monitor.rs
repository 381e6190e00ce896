use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::measure::SampleSet;
use crate::wire::BlockingClient;

/// Number of polling threads, among which the nodes are divided.
const THREAD_COUNT: usize = 4;
/// Pause of a thread between two polls of its nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Monitor that measures when each node serves a version, by polling its admin API.
#[derive(Debug)]
pub struct ConvergenceMonitor {
    admins: Vec<SocketAddr>,
    limit: Duration,
}

impl ConvergenceMonitor {
    /// Creates a monitor of the nodes with the given admin addresses and a time limit in ms.
    #[must_use]
    pub fn new(admins: Vec<SocketAddr>, limit_ms: u64) -> ConvergenceMonitor {
        let limit = Duration::from_millis(limit_ms);
        ConvergenceMonitor { admins, limit }
    }

    /// Polls until every node serves the version or the time limit has passed; returns the times
    /// since `start` in ms and the number of nodes that did not converge.
    #[must_use]
    pub fn run(&self, number: u64, start: Instant) -> (SampleSet, usize) {
        let share = self.admins.len().div_ceil(THREAD_COUNT).max(1);
        let samples: Vec<f64> = thread::scope(|scope| {
            let parts = self.admins.chunks(share);
            let threads: Vec<_> = parts
                .map(|part| scope.spawn(move || self.poll_nodes(part, number, start)))
                .collect();
            let joined = threads.into_iter().filter_map(|part| part.join().ok());
            joined.flatten().collect()
        });
        let missing = self.admins.len() - samples.len();
        (samples.into_iter().collect(), missing)
    }

    fn poll_nodes(&self, nodes: &[SocketAddr], number: u64, start: Instant) -> Vec<f64> {
        let mut pending: Vec<(SocketAddr, Option<BlockingClient>)> =
            nodes.iter().map(|admin| (*admin, None)).collect();
        let mut samples = Vec::new();
        while !pending.is_empty() && start.elapsed() < self.limit {
            pending.retain_mut(|(admin, client)| {
                let served = served_version(*admin, client);
                let is_pending = served.is_none_or(|served| served < number);
                if !is_pending {
                    samples.push(start.elapsed().as_secs_f64() * 1_000.0);
                }
                is_pending
            });
            thread::sleep(POLL_INTERVAL);
        }
        samples
    }
}

fn served_version(admin: SocketAddr, client: &mut Option<BlockingClient>) -> Option<u64> {
    if client.is_none() {
        *client = BlockingClient::connect(admin, Duration::from_millis(500)).ok();
    }
    match client.as_mut()?.call("GET", "/v1/status", &[], &[]) {
        Ok(response) => {
            let status = response.body_json();
            // A version that the node stores but does not serve yet does not count.
            let ready = status["ready"] == true;
            status["stamp"]["number"].as_u64().filter(|_| ready)
        }
        Err(_) => {
            *client = None;
            None
        }
    }
}
