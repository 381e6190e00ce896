//! Listeners of a node.

use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

use crate::error::{Error, Result, ResultCode};

/// Receive buffer of a client connection, which the kernel doubles.
const CLIENT_BUFFER_BYTES: usize = 32 * 1024;

/// Binds the listener for clients, whose connections have small receive buffers: bytes that are not read
/// count as memory of the instance.
pub(crate) fn bind_clients(address: SocketAddr) -> Result<TcpListener> {
    let options = ListenerOpts::new().recv_buf_size(CLIENT_BUFFER_BYTES);
    bind_with(address, &options)
}

/// Binds another listener.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener> {
    bind_with(address, &ListenerOpts::new())
}

fn bind_with(address: SocketAddr, options: &ListenerOpts) -> Result<TcpListener> {
    TcpListener::bind_with_config(address, options).map_err(|error| {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!("address {address} cannot be bound: {error}"),
        )
    })
}
