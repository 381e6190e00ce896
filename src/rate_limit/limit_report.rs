use serde::{Deserialize, Serialize};

use crate::rate_limit::RequestRate;

/// What a node tells other nodes of the limit of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub enum LimitReport {
    /// The node has had no response of the endpoint.
    #[default]
    Unknown,
    /// The endpoint advertises no limit.
    Unlimited,
    /// The endpoint advertises this limit.
    Limited(RequestRate),
}
