//! Planning and running of whole deployments on loopback.

mod deployment_plan;
mod endpoint_plan;
mod fleet_plan;
mod peer_link_scope;
mod proxy_plan;
mod running_fleet;
mod settings_text;

pub use deployment_plan::{
    DeploymentPlan, LatencyEntry, LinkEntry, ServiceEntry, WorkEntry, ZoneEntry,
};
pub use endpoint_plan::EndpointPlan;
pub use fleet_plan::FleetPlan;
pub use peer_link_scope::PeerLinkScope;
pub use proxy_plan::ProxyPlan;
pub use running_fleet::RunningFleet;
pub use settings_text::SettingsText;
