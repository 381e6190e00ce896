use crate::clock::ClockTime;
use crate::error::Result;
use crate::settings::SettingTable;

/// Time windows of the burn report.
#[derive(Debug, Clone)]
pub struct BurnSettings {
    /// Window for detecting a fast burn of the error budget.
    pub short_window: ClockTime,
    /// Window over which the error budget is computed.
    pub long_window: ClockTime,
}

impl BurnSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            short_window: table.time_or("short_window_ms", 300_000, 10_000..=3_600_000)?,
            long_window: table.time_or("long_window_ms", 3_600_000, 60_000..=86_400_000)?,
        };
        if settings.short_window >= settings.long_window {
            return Err(table.out_of_range("short_window_ms", "less than long_window_ms"));
        }
        table.finish()?;
        Ok(settings)
    }
}
