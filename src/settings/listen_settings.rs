use std::net::SocketAddr;

use crate::error::Result;
use crate::settings::SettingTable;

const ALLOWED_ADDRESS: &str = "a numeric address and port that other nodes and callers can reach";

/// Listen addresses of a node.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address for callers over HTTP/1.1.
    pub caller: SocketAddr,
    /// Address for other nodes over HTTP/2; also the identity of the node.
    pub peer: SocketAddr,
    /// Address for operators over HTTP/1.1.
    pub admin: SocketAddr,
}

impl ListenSettings {
    pub(crate) fn read(mut table: SettingTable<'_>) -> Result<Self> {
        let settings = Self {
            caller: table.required("caller", ALLOWED_ADDRESS)?,
            peer: table.required("peer", ALLOWED_ADDRESS)?,
            admin: table.required("admin", ALLOWED_ADDRESS)?,
        };
        // Other nodes identify this node by its peer address, so it must be a specific one.
        if settings.peer.ip().is_unspecified() || settings.peer.port() == 0 {
            return Err(table.out_of_range("peer", ALLOWED_ADDRESS));
        }
        table.finish()?;
        Ok(settings)
    }
}
