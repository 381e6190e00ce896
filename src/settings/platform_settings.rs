use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::id::RegionName;
use crate::settings::SettingTable;
use crate::size::CallRate;

/// Addresses and call budget of the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// Address of the service that provides the instance list.
    pub instances: SocketAddr,
    /// Region of the configuration service.
    pub region: RegionName,
    /// Calls per second that the configuration service serves, summed over all readers.
    pub call_budget: CallRate,
    /// Maximum wait of one watch request.
    pub watch_wait: ClockTime,
    /// Whether every node watches the configuration service instead of a few readers; only for
    /// comparison measurements.
    pub every_node_watches: bool,
}

impl PlatformSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            config: table.required("config", "a numeric address and port")?,
            instances: table.required("instances", "a numeric address and port")?,
            region: table.required("region", "the name of a region")?,
            call_budget: CallRate(table.integer_or("call_budget", 2_000, 10..=1_000_000)? as f64),
            watch_wait: table.time_or("watch_wait_ms", 3_000, 100..=60_000)?,
            every_node_watches: table.boolean_or("every_node_watches", false)?,
        };
        table.finish()?;
        Ok(settings)
    }
}
