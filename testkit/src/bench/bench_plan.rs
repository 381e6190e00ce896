use std::fs;
use std::io;

use serde_json::Value;

use crate::fleet::DeploymentPlan;
use crate::load::LoadProfile;

/// Configuration of the fleet of one benchmark.
#[derive(Debug, Clone)]
pub struct BenchPlan {
    /// Name of the folder in `examples/`.
    pub example: String,
    /// Whether the nodes use the plain policy.
    pub plain: bool,
    /// Number of endpoints of each service; that of the example if absent.
    pub endpoints: Option<usize>,
    /// Numbers of endpoints of individual services, overriding `endpoints`.
    pub endpoint_overrides: Vec<(String, usize)>,
    /// Factor applied to all service times, to adapt the capacity to the machine.
    pub time_factor: f64,
    /// Number of slots of each endpoint; that of the example if absent.
    pub slots: Option<usize>,
    /// Maximum deviation of service times from their mean, as a fraction of the mean.
    pub spread: f64,
    /// Whether the latency between callers and nodes is applied through the fault proxy.
    pub latencies: bool,
}

impl BenchPlan {
    /// Creates a plan for an example with two endpoints per service.
    #[must_use]
    pub fn new(example: &str, plain: bool) -> BenchPlan {
        BenchPlan {
            example: example.to_owned(),
            plain,
            endpoints: Some(2),
            endpoint_overrides: Vec::new(),
            time_factor: 1.0,
            slots: None,
            spread: 0.2,
            latencies: false,
        }
    }

    /// Returns the deployment of the example with the changes of the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the example cannot be read.
    pub fn deployment(&self) -> io::Result<DeploymentPlan> {
        let mut deployment = DeploymentPlan::example(&self.example)?;
        for service in &mut deployment.services {
            service.endpoints = self.endpoints.unwrap_or(service.endpoints);
            let mut overrides = self.endpoint_overrides.iter();
            if let Some((_, count)) = overrides.find(|(name, _)| *name == service.name) {
                service.endpoints = *count;
            }
            service.slots = self.slots.unwrap_or(service.slots);
            for work in &mut service.work {
                work.time_ms *= self.time_factor;
            }
        }
        Ok(deployment)
    }

    /// Returns the manifest of the example with the number of slots of the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the example cannot be read.
    pub fn manifest(&self) -> io::Result<Value> {
        let path = DeploymentPlan::example_path(&self.example, "manifest.json");
        let mut value: Value = serde_json::from_slice(&fs::read(path)?)?;
        if let (Some(slots), Some(services)) = (self.slots, value["services"].as_array_mut()) {
            for service in services {
                service["slots"] = slots.into();
            }
        }
        Ok(value)
    }

    /// Returns the load profile of the example with the given seed and without steps.
    ///
    /// # Errors
    ///
    /// Returns an error if the example cannot be read.
    pub fn profile(&self, seed: u64) -> io::Result<LoadProfile> {
        let path = DeploymentPlan::example_path(&self.example, "load.toml");
        let mut profile = LoadProfile::load(&path)?;
        profile.seed = seed;
        profile.steps.clear();
        Ok(profile)
    }
}
