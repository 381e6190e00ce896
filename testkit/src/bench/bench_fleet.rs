use std::fs;
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::bench::BenchPlan;
use crate::fleet::{FleetPlan, RunningFleet};
use crate::load::{LoadProfile, LoadRun, TargetAddress};
use crate::wire::HttpProbe;

/// Time limit for a fleet to become ready or to stop, in ms.
const FLEET_TIMEOUT_MS: u64 = 40_000;

/// Time after the start in which the nodes discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Running fleet of one benchmark.
#[derive(Debug)]
pub struct BenchFleet {
    /// Processes of the fleet.
    pub fleet: RunningFleet,
    folder: PathBuf,
}

impl BenchFleet {
    /// Starts a fleet and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or a node does not become ready.
    pub fn start(plan: &BenchPlan) -> io::Result<BenchFleet> {
        let number: u64 = rand::random();
        let folder = std::env::temp_dir().join(format!("endive-bench-{number:016x}"));
        let mut fleet = FleetPlan::new(plan.deployment()?, &folder)?;
        fleet
            .common_settings
            .set("call", "plain_policy", plan.plain.to_string());
        // A shorter settling time of idempotency keys emulates a fleet that has been running for a
        // long time.
        fleet.common_settings.set("call", "key_settle_ms", "500");
        fleet.common_settings.set_text("", "log_level", "off");
        let spread = format!("--spread={}", plan.spread);
        fleet.backend_arguments.push(spread);
        if plan.latencies {
            fleet.apply_latencies()?;
        }
        let manifest = plan.manifest()?.to_string();
        let fleet = RunningFleet::start(fleet, manifest.as_bytes(), FLEET_TIMEOUT_MS)?;
        thread::sleep(SETTLE_TIME);
        Ok(BenchFleet { fleet, folder })
    }

    /// Runs a load through all nodes and returns its report.
    ///
    /// # Errors
    ///
    /// Returns an error if a kind has no target.
    pub fn load(&self, profile: LoadProfile) -> io::Result<Value> {
        let endpoints = self.fleet.plan.endpoints.iter();
        let targets = endpoints.map(|endpoint| TargetAddress {
            kind: None,
            address: endpoint.entry,
        });
        Ok(LoadRun::new(profile, targets.collect())?.execute())
    }

    /// Returns the number of idempotency keys that were executed more than once and the number of
    /// slot violations.
    ///
    /// # Errors
    ///
    /// Returns an error if a backend server does not respond.
    pub fn violations(&self) -> io::Result<(usize, u64)> {
        let mut runs = std::collections::HashMap::<String, u64>::new();
        let mut violations = 0;
        for endpoint in &self.fleet.plan.endpoints {
            let probe = HttpProbe::new(endpoint.control);
            let value = probe.get("/runs")?.body_json();
            for (key, count) in value.as_object().into_iter().flatten() {
                *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
            }
            let counts = probe.get("/counts")?.body_json();
            violations += counts["slot_violations"].as_u64().unwrap_or(0);
        }
        let repeated = runs.values().filter(|count| **count > 1).count();
        Ok((repeated, violations))
    }

    /// Returns the CPU time that a node has used, in µs.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is not running.
    pub fn cpu_us(&self, index: usize) -> io::Result<f64> {
        let node = self.fleet.nodes[index].as_ref();
        let id = node.map(crate::ProcessGuard::id).unwrap_or_default();
        // The first field is the CPU time in ns; the ticks in `stat` are too coarse.
        let text = fs::read_to_string(format!("/proc/{id}/schedstat"))?;
        let word = text.split(' ').next().unwrap_or_default();
        let nanos: f64 = word.parse().map_err(io::Error::other)?;
        Ok(nanos / 1_000.0)
    }

    /// Stops all processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not stop.
    pub fn stop(mut self) -> io::Result<()> {
        self.fleet.stop(FLEET_TIMEOUT_MS).map(drop)
    }
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
