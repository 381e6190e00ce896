use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::settings::SettingTable;

/// Address and time limits of the backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Time limit for opening a connection.
    pub connect_timeout: ClockTime,
    /// Interval between health checks.
    pub health_interval: ClockTime,
}

impl BackendSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            address: table.required("address", "a numeric address and port")?,
            connect_timeout: table.time_or("connect_timeout_ms", 500, 1..=10_000)?,
            health_interval: table.time_or("health_interval_ms", 500, 50..=60_000)?,
        };
        table.finish()?;
        Ok(settings)
    }
}
