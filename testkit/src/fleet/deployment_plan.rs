use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// Deployment as described by a `deployment.toml` file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Name of the deployment.
    pub name: String,
    /// Region of the configuration service.
    pub platform_region: String,
    /// One-way network latencies.
    pub latency: LatencyEntry,
    /// Network link between regions.
    pub link: LinkEntry,
    /// Availability zones.
    pub zones: Vec<ZoneEntry>,
    /// Services that the deployment runs.
    pub services: Vec<ServiceEntry>,
}

/// One-way network latencies in ms.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyEntry {
    /// Between zones of a region.
    pub zone_ms: f64,
    /// Between regions.
    pub region_ms: f64,
    /// Between callers and nodes.
    pub client_ms: f64,
}

/// Network link between regions.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// Bits per second in each direction, shared by all traffic.
    pub bits_per_second: u64,
}

/// Availability zone of a deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    /// Name of the availability zone.
    pub name: String,
    /// Name of the region that contains the zone.
    pub region: String,
}

/// Service of a deployment, with the number and capacity of its endpoints.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service, as in the manifest.
    pub name: String,
    /// Number of endpoints, distributed round-robin over the zones.
    pub endpoints: usize,
    /// Number of slots of each endpoint.
    pub slots: usize,
    /// Number of connections of each endpoint.
    pub connections: usize,
    /// Service times by path prefix.
    #[serde(default)]
    pub work: Vec<WorkEntry>,
}

/// Mean service time of a path prefix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Path prefix of the requests that take this time.
    pub prefix: String,
    /// Mean service time in ms.
    pub time_ms: f64,
}

impl DeploymentPlan {
    /// Loads a deployment from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or defines no zone.
    pub fn load(path: &Path) -> io::Result<DeploymentPlan> {
        let text = fs::read_to_string(path)?;
        let plan: DeploymentPlan = toml::from_str(&text).map_err(io::Error::other)?;
        if plan.zones.is_empty() {
            return Err(io::Error::other(format!(
                "{}: deployment defines no zone",
                path.display()
            )));
        }
        Ok(plan)
    }

    /// Loads the deployment of a folder in `examples/`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder has no valid deployment file.
    pub fn example(name: &str) -> io::Result<DeploymentPlan> {
        DeploymentPlan::load(&DeploymentPlan::example_path(name, "deployment.toml"))
    }

    /// Returns the path of a file in a folder of `examples/`.
    #[must_use]
    pub fn example_path(name: &str, file: &str) -> std::path::PathBuf {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
        root.join(name).join(file)
    }
}
