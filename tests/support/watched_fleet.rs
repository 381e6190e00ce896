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

/// Stated target: a version is in force everywhere within 7 s.
pub const FORCE_TARGET: Duration = Duration::from_secs(7);

/// Limit of waits that are no stated target.
pub const WAIT: Duration = Duration::from_secs(40);

const EXAMPLE: &str = include_str!("../../examples/siam-markwell/manifest.json");

/// Runs a fleet and samples the status of every node until it is finished.
pub struct WatchedFleet {
    pub fleet: RunningFleet,
    name: &'static str,
    start: Instant,
    folder: PathBuf,
    stopped: Arc<AtomicBool>,
    faults: Arc<Mutex<Vec<String>>>,
    sampler: Option<JoinHandle<usize>>,
}

/// Returns the example manifest with a number; the variant changes a deadline.
pub fn manifest(number: u64, variant: u64) -> Value {
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    value["number"] = number.into();
    value["services"][0]["kinds"][0]["deadline_ms"] = (300 + variant).into();
    value
}

/// Returns the status of a node; a paused one does not answer and must not hold up the samples.
fn read_status(admin: SocketAddr) -> Option<NodeStatus> {
    let answer = HttpProbe::with_timeout(admin, 300).get("/v1/status").ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Repeats the check until it gives a value.
pub fn wait_for<Found, Check>(what: &str, limit: Duration, mut check: Check) -> Found
where
    Check: FnMut() -> Option<Found>,
{
    let end = Instant::now() + limit;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

impl WatchedFleet {
    /// Starts four services in four zones of two regions; version 1 is in force at the end.
    pub fn start(
        name: &'static str,
        endpoints: usize,
        scope: Option<PeerLinkScope>,
        shared: bool,
    ) -> Self {
        let mut deployment = DeploymentPlan::example("siam-markwell").unwrap();
        for service in &mut deployment.services {
            service.endpoints = endpoints;
        }
        let folder = std::env::temp_dir().join(format!("endive-{name}-{}", std::process::id()));
        let mut plan = FleetPlan::new(deployment, &folder).unwrap();
        if shared {
            plan.share_backend();
        }
        if let Some(scope) = scope {
            plan.apply_peer_links(scope).unwrap();
        }
        plan.common_settings.set_text("", "log_level", "off");
        let start = Instant::now();
        let first = manifest(1, 0).to_string();
        let fleet = RunningFleet::start(plan, first.as_bytes(), 40_000).unwrap();
        println!("{name}: ready after {:?}", start.elapsed());
        let stopped = Arc::new(AtomicBool::new(false));
        let faults = Arc::new(Mutex::new(Vec::new()));
        let sampler = sample(
            fleet.admin_addresses(),
            Arc::clone(&stopped),
            Arc::clone(&faults),
        );
        let watched = Self {
            fleet,
            name,
            start,
            folder,
            stopped,
            faults,
            sampler: Some(sampler),
        };
        watched.wait_stamp(&watched.running(), 1, WAIT);
        watched
    }

    /// Returns the indices of the running nodes.
    pub fn running(&self) -> Vec<usize> {
        let nodes = self.fleet.nodes.iter().enumerate();
        let running = nodes.filter(|(_, node)| node.is_some());
        running.map(|(index, _)| index).collect()
    }

    /// Returns the indices of the nodes whose zone or region has the given name.
    pub fn placed(&self, place: &str) -> Vec<usize> {
        let endpoints = self.fleet.plan.endpoints.iter().enumerate();
        let placed = endpoints.filter(|(_, entry)| entry.zone == place || entry.region == place);
        placed.map(|(index, _)| index).collect()
    }

    pub fn publish(&self, number: u64, variant: u64) {
        let text = manifest(number, variant).to_string();
        self.fleet.publish(text.as_bytes()).unwrap();
    }

    pub fn status(&self, index: usize) -> Option<NodeStatus> {
        read_status(self.fleet.plan.endpoints[index].admin)
    }

    /// Waits until the nodes are ready on one stamp with the number.
    pub fn wait_stamp(&self, nodes: &[usize], number: u64, limit: Duration) -> VersionStamp {
        let start = Instant::now();
        let what = format!("{}: version {number} in force at {nodes:?}", self.name);
        let stamp = wait_for(&what, limit, || {
            let held: Option<Vec<NodeStatus>> =
                nodes.iter().map(|index| self.status(*index)).collect();
            let held = held?;
            let stamp = held.first()?.stamp;
            let same = |entry: &NodeStatus| entry.ready && entry.stamp == stamp;
            (stamp.number == number && held.iter().all(same)).then_some(stamp)
        });
        println!(
            "{}: version {number} in force at {} nodes after {:?}",
            self.name,
            nodes.len(),
            start.elapsed()
        );
        stamp
    }

    /// Publishes a version and waits until the nodes have it in force within the stated 7 s.
    pub fn change(&self, nodes: &[usize], number: u64) {
        self.publish(number, 0);
        self.wait_stamp(nodes, number, FORCE_TARGET);
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

    /// Checks what holds in every test: no version went back, all nodes end on one stamp, and the
    /// calls of the configuration service stay in the budget of its readers.
    pub fn finish(mut self, number: u64) {
        self.wait_stamp(&self.running(), number, WAIT);
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
            "{}: {calls} calls in {seconds:.1} s, at most {peak} in one second, {samples} samples",
            self.name
        );
        let faults = std::mem::take(&mut *self.faults.lock().unwrap());
        assert!(faults.is_empty(), "{}: {faults:?}", self.name);
        assert!(samples > 0, "{}: nothing sampled", self.name);
        // Two readers in each of two zones at 2 calls a second, and one takeover a second by each
        // node at most; a fifth of 2,000 calls a second is the limit for the whole fleet.
        let nodes = self.fleet.nodes.len() as f64;
        assert!(calls <= (seconds + 4.0) * (8.0 + nodes), "{calls} calls");
        assert!(peak <= 400.0, "{peak} calls in one second");
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for WatchedFleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Looks for a stamp that went back: in one process, or in service after a restart.
fn sample(
    admins: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
    faults: Arc<Mutex<Vec<String>>>,
) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut samples = 0;
        let mut highest = BTreeMap::<SocketAddr, NodeStatus>::new();
        while !stopped.load(Ordering::Relaxed) {
            for admin in &admins {
                let Some(seen) = read_status(*admin) else {
                    continue;
                };
                samples += 1;
                if let Some(held) = highest.get(admin) {
                    let same =
                        held.member.address == seen.member.address && held.uptime <= seen.uptime;
                    if seen.stamp < held.stamp && (same || seen.ready) {
                        let text = format!("{admin}: {} after {}", seen.stamp, held.stamp);
                        faults.lock().unwrap().push(text);
                    }
                    if seen.stamp < held.stamp {
                        continue;
                    }
                }
                highest.insert(*admin, seen);
            }
            thread::sleep(Duration::from_millis(50));
        }
        samples
    })
}
