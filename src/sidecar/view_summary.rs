use std::fmt;

use crate::clock::ClockTime;
use crate::mesh::{ConfigVersion, HistoryPosition};
use crate::sidecar::view_origin::ViewOrigin;

/// What a node knew when it refused a request, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ViewSummary {
    pub(crate) version: Option<ConfigVersion>,
    pub(crate) route_count: usize,
    /// Position in the registry's history that the configuration reflects.
    pub(crate) position: HistoryPosition,
    /// Position that the endpoints reflect.
    pub(crate) listed_position: HistoryPosition,
    /// Age of the endpoints; `None` if the view has never been synchronized.
    pub(crate) age: Option<ClockTime>,
    /// Age of the configuration.
    pub(crate) config_age: Option<ClockTime>,
    /// Source of the last refresh.
    pub(crate) origin: Option<ViewOrigin>,
}

impl fmt::Display for ViewSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_or_dash(formatter, "version", self.version)?;
        write!(
            formatter,
            " routes={} position={} listed={} ",
            self.route_count, self.position, self.listed_position
        )?;
        write_or_dash(formatter, "view_age", self.age)?;
        formatter.write_str(" ")?;
        write_or_dash(formatter, "config_age", self.config_age)?;
        formatter.write_str(" ")?;
        write_or_dash(formatter, "source", self.origin)
    }
}

fn write_or_dash<Value>(
    formatter: &mut fmt::Formatter<'_>,
    key: &str,
    value: Option<Value>,
) -> fmt::Result
where
    Value: fmt::Display,
{
    match value {
        Some(value) => write!(formatter, "{key}={value}"),
        None => write!(formatter, "{key}=-"),
    }
}
