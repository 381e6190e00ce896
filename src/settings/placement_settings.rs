use crate::error::Result;
use crate::id::{RegionName, ServiceName, ZoneName};
use crate::settings::SettingTable;

const NAME: &str = "1 to 64 characters from a-z, 0-9, - and _";

/// States where a node stands.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Service of the backend server beside the node.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

impl PlacementSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            service: table.required("service", NAME)?,
            zone: table.required("zone", NAME)?,
            region: table.required("region", NAME)?,
        };
        table.finish()?;
        Ok(settings)
    }
}
