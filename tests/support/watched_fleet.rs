use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use endivelanding::status::NodeStatus;
use endivelanding::version::VersionStamp;
use serde_json::Value;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, PeerLinkScope, RunningFleet};

/// Required maximum time from the publication of a version until it is in force on all nodes.
pub const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(7);

/// Timeout of waits for which the requirements state no maximum time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

const EXAMPLE_MANIFEST: &str = include_str!("../../examples/siam-markwell/manifest.json");

/// Running fleet whose node statuses are sampled to detect versions that go back.
pub struct WatchedFleet {
    pub fleet: RunningFleet,
    name: &'static str,
    start: Instant,
    directory: PathBuf,
    stopped: Arc<AtomicBool>,
    regressions: Arc<Mutex<Vec<String>>>,
    sampler: Option<JoinHandle<usize>>,
}

/// Returns the example manifest with the given number; the variant changes one deadline.
///
/// Manifests with the same number and different variants are conflicting contents.
pub fn manifest(number: u64, variant: u64) -> Value {
    let mut value: Value = serde_json::from_str(EXAMPLE_MANIFEST).unwrap();
    value["number"] = number.into();
    value["services"][0]["kinds"][0]["deadline_ms"] = (300 + variant).into();
    value
}

/// Returns the status of a node. The short timeout keeps paused nodes from delaying the samples.
fn read_status(admin: SocketAddr) -> Option<NodeStatus> {
    let response = HttpProbe::with_timeout(admin, 300).get("/v1/status").ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Repeats the check until it returns a value; panics after the timeout.
pub fn wait_for<Found, Check>(what: &str, timeout: Duration, mut check: Check) -> Found
where
    Check: FnMut() -> Option<Found>,
{
    let end = Instant::now() + timeout;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < end, "timed out after {timeout:?}: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

impl WatchedFleet {
    /// Starts four services in four zones of two regions and waits until version 1 is in force.
    ///
    /// Traffic between the regions, zones or nodes that `peer_links` selects goes through the fault
    /// proxy; `share_backend` puts one backend server behind all nodes.
    pub fn start(
        name: &'static str,
        endpoints: usize,
        peer_links: Option<PeerLinkScope>,
        share_backend: bool,
    ) -> Self {
        let mut deployment = DeploymentPlan::example("siam-markwell").unwrap();
        for service in &mut deployment.services {
            service.endpoints = endpoints;
        }
        let directory = std::env::temp_dir().join(format!("endive-{name}-{}", std::process::id()));
        let mut plan = FleetPlan::new(deployment, &directory).unwrap();
        if share_backend {
            plan.share_backend();
        }
        if let Some(scope) = peer_links {
            plan.apply_peer_links(scope).unwrap();
        }
        plan.common_settings.set_text("", "log_level", "off");
        let start = Instant::now();
        let first = manifest(1, 0).to_string();
        let fleet = RunningFleet::start(plan, first.as_bytes(), 40_000).unwrap();
        println!("{name}: ready after {:?}", start.elapsed());
        let stopped = Arc::new(AtomicBool::new(false));
        let regressions = Arc::new(Mutex::new(Vec::new()));
        let sampler = spawn_sampler(
            fleet.admin_addresses(),
            Arc::clone(&stopped),
            Arc::clone(&regressions),
        );
        let watched = Self {
            fleet,
            name,
            start,
            directory,
            stopped,
            regressions,
            sampler: Some(sampler),
        };
        watched.wait_in_force(&watched.running_nodes(), 1, WAIT_TIMEOUT);
        watched
    }

    /// Returns the indices of the running nodes.
    pub fn running_nodes(&self) -> Vec<usize> {
        let nodes = self.fleet.nodes.iter().enumerate();
        let running = nodes.filter(|(_, node)| node.is_some());
        running.map(|(index, _)| index).collect()
    }

    /// Returns the indices of the nodes whose zone or region has the given name.
    pub fn nodes_in(&self, location: &str) -> Vec<usize> {
        let endpoints = self.fleet.plan.endpoints.iter().enumerate();
        let placed =
            endpoints.filter(|(_, entry)| entry.zone == location || entry.region == location);
        placed.map(|(index, _)| index).collect()
    }

    pub fn publish(&self, number: u64, variant: u64) {
        let text = manifest(number, variant).to_string();
        self.fleet.publish(text.as_bytes()).unwrap();
    }

    pub fn status(&self, index: usize) -> Option<NodeStatus> {
        read_status(self.fleet.plan.endpoints[index].admin)
    }

    /// Waits until all nodes are ready with the same stamp of the given version; returns the stamp.
    pub fn wait_in_force(&self, nodes: &[usize], number: u64, timeout: Duration) -> VersionStamp {
        let start = Instant::now();
        let what = format!("{}: version {number} in force at {nodes:?}", self.name);
        let stamp = wait_for(&what, timeout, || {
            let statuses: Option<Vec<NodeStatus>> =
                nodes.iter().map(|index| self.status(*index)).collect();
            let statuses = statuses?;
            let stamp = statuses.first()?.stamp;
            let in_force = |entry: &NodeStatus| entry.ready && entry.stamp == stamp;
            (stamp.number == number && statuses.iter().all(in_force)).then_some(stamp)
        });
        println!(
            "{}: version {number} in force at {} nodes after {:?}",
            self.name,
            nodes.len(),
            start.elapsed()
        );
        stamp
    }

    /// Publishes a version and waits until it is in force on the nodes within the required time.
    pub fn publish_and_wait(&self, nodes: &[usize], number: u64) {
        self.publish(number, 0);
        self.wait_in_force(nodes, number, MAX_PROPAGATION_TIME);
    }

    pub fn kill(&mut self, nodes: &[usize]) {
        for index in nodes {
            if let Some(mut node) = self.fleet.nodes[*index].take() {
                node.kill().unwrap();
            }
        }
    }

    pub fn restart(&mut self, nodes: &[usize]) {
        for index in nodes {
            self.fleet.start_node(*index).unwrap();
        }
    }

    /// Stops the sampling and checks the invariants of every test: no node went back to an earlier
    /// version, all running nodes have the same stamp in force, and the number of platform calls is
    /// within the budget of the readers.
    pub fn check_and_stop(mut self, number: u64) {
        self.wait_in_force(&self.running_nodes(), number, WAIT_TIMEOUT);
        let counts = self
            .fleet
            .platform_control()
            .get("/counts")
            .unwrap()
            .body_json();
        let seconds = self.start.elapsed().as_secs_f64();
        self.stopped.store(true, Ordering::Relaxed);
        let samples = self.sampler.take().unwrap().join().unwrap();
        let calls = counts["calls_total"].as_f64().unwrap();
        let peak = counts["peak_calls_per_second"].as_f64().unwrap();
        println!(
            "{}: {calls} platform calls in {seconds:.1} s, peak {peak}/s, {samples} samples",
            self.name
        );
        let regressions = std::mem::take(&mut *self.regressions.lock().unwrap());
        assert!(
            regressions.is_empty(),
            "{}: versions went back: {regressions:?}",
            self.name
        );
        assert!(samples > 0, "{}: no status was sampled", self.name);
        // The bound is two readers in each of two zones at 2 calls per second, plus at most one
        // takeover per second by each node. The limit for the whole fleet is a fifth of 2,000 calls
        // per second.
        let nodes = self.fleet.nodes.len() as f64;
        assert!(
            calls <= (seconds + 4.0) * (8.0 + nodes),
            "{calls} platform calls in {seconds:.1} s"
        );
        assert!(peak <= 400.0, "{peak} platform calls in one second");
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Drop for WatchedFleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Starts a thread that samples all nodes and records each stamp lower than an earlier one.
///
/// A lower stamp counts in the same process, or after a restart once the node is ready. The thread
/// returns the number of samples.
fn spawn_sampler(
    admins: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
    regressions: Arc<Mutex<Vec<String>>>,
) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut samples = 0;
        let mut highest = BTreeMap::<SocketAddr, NodeStatus>::new();
        while !stopped.load(Ordering::Relaxed) {
            for admin in &admins {
                let Some(status) = read_status(*admin) else {
                    continue;
                };
                samples += 1;
                if let Some(highest_status) = highest.get(admin) {
                    let same_process = highest_status.member.address == status.member.address
                        && highest_status.uptime <= status.uptime;
                    if status.stamp < highest_status.stamp && (same_process || status.ready) {
                        let text =
                            format!("{admin}: {} after {}", status.stamp, highest_status.stamp);
                        regressions.lock().unwrap().push(text);
                    }
                    if status.stamp < highest_status.stamp {
                        continue;
                    }
                }
                highest.insert(*admin, status);
            }
            thread::sleep(Duration::from_millis(50));
        }
        samples
    })
}
