use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use crate::wire::{self, BlockingClient};

/// Pool of open connections to one address.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    idle: Mutex<Vec<BlockingClient>>,
}

impl TargetPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> TargetPool {
        let idle = Mutex::new(Vec::new());
        TargetPool { address, idle }
    }

    /// Returns an idle connection that the peer has not closed, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection cannot be opened.
    pub fn acquire(&self, timeout: Duration) -> io::Result<BlockingClient> {
        loop {
            let idle = wire::lock(&self.idle).pop();
            match idle {
                Some(client) if client.is_open() => return Ok(client),
                Some(_) => {}
                None => return BlockingClient::connect(self.address, timeout),
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, client: BlockingClient) {
        wire::lock(&self.idle).push(client);
    }
}
