//! Allocation of free loopback ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use crate::wire;

/// Lock that serializes spawning a process and probing a port.
///
/// A process that is being spawned inherits the probing listener until it executes its program, and
/// would keep the port in use until then.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// First port of the first block.
const FIRST_PORT: u16 = 10_240;

/// Number of ports in a block.
const BLOCK_SIZE: u16 = 256;

/// Number of blocks.
///
/// The blocks end below 32,768, the start of the ephemeral port range, so that no outgoing
/// connection takes a port that a process under test is about to bind.
const BLOCK_COUNT: u16 = 87;

/// Allocator of loopback addresses with free ports, each returned once.
///
/// Test processes may run concurrently, so a range claims blocks of ports by listening on the first
/// port of each block.
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
    /// Returns an error if all blocks are in use.
    pub fn claim() -> io::Result<PortRange> {
        let mut range = PortRange {
            blocks: Vec::new(),
            next: 0,
            end: 0,
        };
        range.claim_block()?;
        Ok(range)
    }

    /// Returns the next address whose port is free.
    ///
    /// # Errors
    ///
    /// Returns an error if a further block is needed and all are in use.
    pub fn address(&mut self) -> io::Result<SocketAddr> {
        loop {
            if self.next >= self.end {
                self.claim_block()?;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            let _guard = wire::lock(&SPAWN_LOCK);
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    fn claim_block(&mut self) -> io::Result<()> {
        // Processes start their search at different blocks to avoid contention.
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
            "all port blocks are in use",
        ))
    }
}
