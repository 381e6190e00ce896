use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// The speed of the link of a node. Other nodes pass the report on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkReport {
    /// The node.
    pub node: IpAddr,
    /// Time that the largest value of the registry takes to arrive over its link.
    pub transfer_time: ClockTime,
    /// Time since the node itself has reported.
    pub age: ClockTime,
}
