use crate::clock::ClockTime;
use crate::id::{NodeAddress, RegionName};
use crate::membership::MemberEntry;
use crate::size::CallRate;

/// Holds what the control state takes from the settings of a node.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The node's own entry.
    pub member: MemberEntry,
    /// Region of the configuration service.
    pub platform_region: RegionName,
    /// Calls a second that the configuration service serves over all readers.
    pub call_budget: CallRate,
    /// Longest wait of one watch; never more than 3 s are used.
    pub watch_wait: ClockTime,
    /// First peers; the node's own address among them is ignored.
    pub seeds: Vec<NodeAddress>,
    /// Whether every node watches, for comparison only.
    pub every_node_watches: bool,
}
