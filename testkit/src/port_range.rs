//! Free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use crate::wire;

/// Is held while a process is spawned and while a port is tried: a process that is being spawned
/// inherits the listener of the trial until it has loaded its program, and keeps the port taken.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// First port of all blocks.
const FIRST_PORT: u16 = 10_240;

/// Ports of a block.
const BLOCK_SIZE: u16 = 256;

/// Number of blocks; they end below 32,768, where the ports of outgoing connections begin, so that
/// no outgoing connection takes a port that a process under test is about to bind.
const BLOCK_COUNT: u16 = 87;

/// Hands out loopback addresses with ports that were free, each once.
///
/// Test processes run side by side: a range owns blocks of ports by listening on the first port of
/// each block.
#[derive(Debug)]
pub struct PortRange {
    blocks: Vec<TcpListener>,
    next: u16,
    end: u16,
}

impl PortRange {
    /// Claims a block of ports until the range is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if every block is taken.
    pub fn claim() -> io::Result<PortRange> {
        let mut range = PortRange {
            blocks: Vec::new(),
            next: 0,
            end: 0,
        };
        range.grow()?;
        Ok(range)
    }

    /// Returns an address that no process listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if no further block is free.
    pub fn address(&mut self) -> io::Result<SocketAddr> {
        loop {
            if self.next >= self.end {
                self.grow()?;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            let _spawning = wire::lock(&SPAWN_LOCK);
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    fn grow(&mut self) -> io::Result<()> {
        // Starting at a block that depends on the process spreads processes that start together.
        let start = (std::process::id() % u32::from(BLOCK_COUNT)) as u16;
        for step in 0..BLOCK_COUNT {
            let block = (start + step) % BLOCK_COUNT;
            let first = FIRST_PORT + block * BLOCK_SIZE;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                self.blocks.push(listener);
                self.next = first + 1;
                self.end = first + BLOCK_SIZE;
                return Ok(());
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "every block of ports is taken",
        ))
    }
}
