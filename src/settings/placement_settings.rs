use crate::error::Result;
use crate::id::{RegionName, ServiceName, ZoneName};
use crate::settings::SettingTable;

const ALLOWED_NAME: &str = "1 to 64 characters from a-z, 0-9, - and _";

/// Service, availability zone and region of a node.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Service that the backend server of the node belongs to.
    pub service: ServiceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
}

impl PlacementSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            service: table.required("service", ALLOWED_NAME)?,
            zone: table.required("zone", ALLOWED_NAME)?,
            region: table.required("region", ALLOWED_NAME)?,
        };
        table.finish()?;
        Ok(settings)
    }
}
