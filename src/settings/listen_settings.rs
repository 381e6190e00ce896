use std::net::SocketAddr;

use crate::error::Result;
use crate::settings::SettingTable;

const ADDRESS: &str = "a numeric address and port that other nodes and callers can reach";

/// Holds the listen addresses of a node.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// HTTP/1.1 for callers.
    pub caller: SocketAddr,
    /// h2 for other nodes; also the identity of the node.
    pub peer: SocketAddr,
    /// HTTP/1.1 for operators.
    pub admin: SocketAddr,
}

impl ListenSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            caller: table.required("caller", ADDRESS)?,
            peer: table.required("peer", ADDRESS)?,
            admin: table.required("admin", ADDRESS)?,
        };
        // The peer address is the identity of the node at every other node.
        if settings.peer.ip().is_unspecified() || settings.peer.port() == 0 {
            return Err(table.out_of_range("peer", ADDRESS));
        }
        table.finish()?;
        Ok(settings)
    }
}
