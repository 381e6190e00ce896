use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::fleet::RunningFleet;
use crate::measure::{ConvergenceMonitor, FleetFault, FleetUsage, ManifestGenerator, SampleSet};

/// Time limit for the convergence of one version, in ms.
const CONVERGENCE_LIMIT_MS: u64 = 60_000;
/// Duration of a fault of the platform or the link.
const FAULT_DURATION: Duration = Duration::from_secs(5);
/// Duration for which nodes are paused; a node stops serving after a pause of more than 2 s.
const PAUSE_DURATION: Duration = Duration::from_secs(4);

/// Benchmark of a running fleet.
#[derive(Debug)]
pub struct FleetBenchmark {
    /// Measured fleet.
    pub fleet: RunningFleet,
    /// Generator of the published manifests.
    pub manifests: ManifestGenerator,
    rng: StdRng,
}

impl FleetBenchmark {
    /// Creates a benchmark; the seed determines the random intervals between changes.
    #[must_use]
    pub fn new(fleet: RunningFleet, manifests: ManifestGenerator, seed: u64) -> FleetBenchmark {
        let rng = StdRng::seed_from_u64(seed);
        FleetBenchmark {
            fleet,
            manifests,
            rng,
        }
    }

    /// Measures the resource usage of the fleet for the given duration without changes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not respond.
    pub fn idle(&self, time: Duration) -> io::Result<Value> {
        let before = FleetUsage::take(&self.fleet)?;
        thread::sleep(time);
        Ok(FleetUsage::take(&self.fleet)?.report(&before))
    }

    /// Publishes versions at random intervals of 0.5 to 1.5 s and measures their convergence and
    /// the resource usage of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not respond.
    pub fn changes(&mut self, count: usize) -> io::Result<Value> {
        let before = FleetUsage::take(&self.fleet)?;
        let mut samples = SampleSet::default();
        let mut missing = 0;
        let monitor = ConvergenceMonitor::new(self.running_admin_addresses(), CONVERGENCE_LIMIT_MS);
        for _ in 0..count {
            thread::sleep(Duration::from_millis(self.rng.random_range(500..1_500)));
            let start = self.publish()?;
            let (times, late) = monitor.run(self.manifests.number(), start);
            missing += late;
            samples.extend(&times);
        }
        // Nodes update their byte counters once per second.
        thread::sleep(Duration::from_millis(1_500));
        let after = FleetUsage::take(&self.fleet)?;
        Ok(json!({
            "changes": count,
            "convergence_ms": samples.report(),
            "missing": missing,
            "usage": after.report(&before),
        }))
    }

    /// Publishes a version under a fault and measures its convergence at the running nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not respond or start.
    pub fn fault(&mut self, fault: FleetFault) -> io::Result<Value> {
        let half: Vec<usize> = (0..self.fleet.nodes.len()).step_by(2).collect();
        let first = self.fleet.plan.endpoints[0].zone.clone();
        let endpoints = self.fleet.plan.endpoints.iter().enumerate();
        let zone = endpoints.filter(|(_, entry)| entry.zone == first);
        let zone: Vec<usize> = zone.map(|(index, _)| index).collect();
        let link = |mode: &str| json!({ "mode": mode, "groups": ["link"] });
        let mut start;
        match fault {
            FleetFault::HalfRestarted => {
                self.kill(&half)?;
                start = self.publish()?;
                self.restart(&half)?;
            }
            FleetFault::ZoneLost => {
                self.kill(&zone)?;
                start = self.publish()?;
            }
            FleetFault::RegionsCut => {
                self.fleet.set_proxy_fault(&link("cut"))?;
                self.publish()?;
                thread::sleep(FAULT_DURATION);
                self.fleet.set_proxy_fault(&link("none"))?;
                start = Instant::now();
            }
            FleetFault::LinkSilent => {
                self.fleet.set_proxy_fault(&link("silent_open"))?;
                start = self.publish()?;
            }
            FleetFault::PlatformDown | FleetFault::PlatformSilent => {
                let down = fault == FleetFault::PlatformDown;
                let mode = if down { "down" } else { "silent" };
                self.fleet.set_platform_fault(&json!({ "mode": mode }))?;
                self.publish()?;
                thread::sleep(FAULT_DURATION);
                self.fleet.set_platform_fault(&json!({ "mode": "none" }))?;
                start = Instant::now();
            }
            FleetFault::HalfPaused => {
                for index in &half {
                    if let Some(node) = &mut self.fleet.nodes[*index] {
                        node.pause()?;
                    }
                }
                self.publish()?;
                thread::sleep(PAUSE_DURATION);
                start = Instant::now();
                for index in &half {
                    if let Some(node) = &mut self.fleet.nodes[*index] {
                        node.resume()?;
                    }
                }
            }
        }
        let monitor = ConvergenceMonitor::new(self.running_admin_addresses(), CONVERGENCE_LIMIT_MS);
        let (times, missing) = monitor.run(self.manifests.number(), start);
        if fault == FleetFault::ZoneLost {
            self.restart(&zone)?;
        }
        start = Instant::now();
        self.fleet.wait_ready(CONVERGENCE_LIMIT_MS)?;
        Ok(json!({
            "fault": fault.name(),
            "convergence_ms": times.report(),
            "missing": missing,
            "all_ready_after_ms": start.elapsed().as_millis() as u64,
        }))
    }

    fn publish(&mut self) -> io::Result<Instant> {
        let text = self.manifests.next_manifest();
        let start = Instant::now();
        self.fleet.publish(text.as_bytes())?;
        Ok(start)
    }

    fn running_admin_addresses(&self) -> Vec<SocketAddr> {
        let endpoints = self.fleet.plan.endpoints.iter().zip(&self.fleet.nodes);
        let running = endpoints.filter(|(_, node)| node.is_some());
        running.map(|(endpoint, _)| endpoint.admin).collect()
    }

    fn kill(&mut self, nodes: &[usize]) -> io::Result<()> {
        for index in nodes {
            if let Some(mut node) = self.fleet.nodes[*index].take() {
                node.kill()?;
            }
        }
        Ok(())
    }

    fn restart(&mut self, nodes: &[usize]) -> io::Result<()> {
        for index in nodes {
            self.fleet.start_node(*index)?;
        }
        Ok(())
    }
}
