use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use crate::wire::{self, BlockingClient};

/// Keeps open connections to one address.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    idle: Mutex<Vec<BlockingClient>>,
}

impl TargetPool {
    /// Creates a target without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> TargetPool {
        let idle = Mutex::new(Vec::new());
        TargetPool { address, idle }
    }

    /// Takes a connection that the other end has not closed, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub fn take(&self, timeout: Duration) -> io::Result<BlockingClient> {
        loop {
            let kept = wire::lock(&self.idle).pop();
            match kept {
                Some(client) if client.is_open() => return Ok(client),
                Some(_) => {}
                None => return BlockingClient::connect(self.address, timeout),
            }
        }
    }

    /// Keeps a connection after a whole answer.
    pub fn put(&self, client: BlockingClient) {
        wire::lock(&self.idle).push(client);
    }
}
