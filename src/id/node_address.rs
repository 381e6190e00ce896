use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ResultCode};

/// The numeric address and port of a node's peer listener, which identify the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeAddress(pub SocketAddr);

impl fmt::Display for NodeAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for NodeAddress {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| {
            Error::new(
                ResultCode::SettingsOutOfRange,
                format!("`{text}` is not a numeric address and port"),
            )
        })
    }
}
