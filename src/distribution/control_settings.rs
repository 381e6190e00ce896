use crate::clock::ClockTime;
use crate::id::{NodeAddress, RegionName};
use crate::membership::MemberEntry;
use crate::size::CallRate;

/// Settings of a [`ControlState`](crate::distribution::ControlState).
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Member entry of this node.
    pub member: MemberEntry,
    /// Region in which the configuration service runs.
    pub platform_region: RegionName,
    /// Calls per second that the configuration service can serve to all readers together.
    pub call_budget: CallRate,
    /// Maximum wait of one watch request, capped at 3 s.
    pub watch_wait: ClockTime,
    /// Peers to contact at startup; this node's own address is ignored.
    pub seeds: Vec<NodeAddress>,
    /// Whether every node watches the configuration service; used only as a baseline for
    /// comparisons.
    pub every_node_watches: bool,
}
