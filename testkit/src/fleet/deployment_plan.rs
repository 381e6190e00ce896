use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// Describes a deployment as `deployment.toml` states it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Name of the deployment.
    pub name: String,
    /// Region of the configuration service.
    pub platform_region: String,
    /// One-way latencies.
    pub latency: LatencyEntry,
    /// Link between regions.
    pub link: LinkEntry,
    /// Availability zones.
    pub zones: Vec<ZoneEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
}

/// Holds one-way latencies in ms.
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

/// Describes the link between regions.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// Bits per second each way, shared by all traffic.
    pub bits_per_second: u64,
}

/// Describes an availability zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
}

/// Describes the endpoints of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name.
    pub name: String,
    /// Number of endpoints, spread over the zones in turn.
    pub endpoints: usize,
    /// Slots of an endpoint.
    pub slots: usize,
    /// Connections of an endpoint.
    pub connections: usize,
    /// Service times.
    #[serde(default)]
    pub work: Vec<WorkEntry>,
}

/// Gives the mean service time of a path prefix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Path prefix.
    pub prefix: String,
    /// Mean service time in ms.
    pub time_ms: f64,
}

impl DeploymentPlan {
    /// Reads a deployment from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or names no zone.
    pub fn load(path: &Path) -> io::Result<DeploymentPlan> {
        let text = fs::read_to_string(path)?;
        let plan: DeploymentPlan = toml::from_str(&text).map_err(io::Error::other)?;
        if plan.zones.is_empty() {
            return Err(io::Error::other(format!("{}: no zone", path.display())));
        }
        Ok(plan)
    }

    /// Reads the deployment of a folder in `examples/`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder has no such deployment.
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
