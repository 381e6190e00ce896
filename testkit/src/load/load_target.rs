use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::Duration;

use crate::wire::{self, WireClient};

/// Names an address that calls go to, in the form `[kind=]address`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// Kind whose calls go there; all kinds if absent.
    pub kind: Option<String>,
    /// Address of a node or a backend server.
    pub address: SocketAddr,
}

impl FromStr for TargetAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<TargetAddress, String> {
        let (kind, address) = match text.split_once('=') {
            Some((kind, address)) => (Some(kind.to_owned()), address),
            None => (None, text),
        };
        let address = address
            .parse()
            .map_err(|_| format!("bad address {address}"))?;
        Ok(TargetAddress { kind, address })
    }
}

/// Keeps open connections to one address.
#[derive(Debug)]
pub struct LoadTarget {
    address: SocketAddr,
    idle: Mutex<Vec<WireClient>>,
}

impl LoadTarget {
    /// Makes a target without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> LoadTarget {
        let idle = Mutex::new(Vec::new());
        LoadTarget { address, idle }
    }

    /// Takes a connection that the other end has not closed, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub fn take(&self, timeout: Duration) -> io::Result<WireClient> {
        loop {
            let kept = wire::lock(&self.idle).pop();
            match kept {
                Some(client) if client.is_open() => return Ok(client),
                Some(_) => {}
                None => return WireClient::connect(self.address, timeout),
            }
        }
    }

    /// Keeps a connection after a whole answer.
    pub fn put(&self, client: WireClient) {
        wire::lock(&self.idle).push(client);
    }
}
