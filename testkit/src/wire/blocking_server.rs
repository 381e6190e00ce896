use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::wire::{self, HandlerReply, HttpRequest, SwitchableListener, WireStep};

/// Request handler of a `BlockingServer`.
pub trait HttpHandler: Send + Sync {
    /// Handles one request; may block.
    fn handle(&self, request: &HttpRequest) -> HandlerReply;

    /// Reports the number of bytes sent for a response; does nothing by default.
    fn on_bytes_sent(&self, _bytes: usize) {}
}

/// HTTP server that handles each connection on a thread of its own for the lifetime of the process.
#[derive(Debug, Clone)]
pub struct BlockingServer {
    listener: SwitchableListener,
}

impl BlockingServer {
    /// Binds the address and starts accepting connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, handler: Arc<dyn HttpHandler>) -> io::Result<BlockingServer> {
        let serve = move |stream: &Arc<TcpStream>| {
            // Errors are ignored because the caller observes the closed connection.
            let _ = serve_connection(handler.as_ref(), stream);
        };
        let listener = SwitchableListener::start(address, Box::new(serve))?;
        Ok(BlockingServer { listener })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the maximum number of concurrent connections so far.
    #[must_use]
    pub fn connections_peak(&self) -> u64 {
        self.listener.connections_peak()
    }

    /// Opens or closes the server and returns once the change has taken effect.
    ///
    /// Closing resets the existing connections; new ones are refused until the server is opened.
    pub fn set_open(&self, open: bool) {
        self.listener.set_open(open);
    }
}

fn serve_connection(handler: &dyn HttpHandler, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = HttpRequest::read(&mut reader)? {
        let (bytes, close) = match handler.handle(&request) {
            HandlerReply::Respond(response) => (response.encode(), false),
            HandlerReply::Raw(bytes) => (bytes, false),
            HandlerReply::RespondTruncated(response, length) => {
                let mut bytes = response.encode();
                let kept = bytes.len() - response.body.len() + length.min(response.body.len());
                bytes.truncate(kept);
                (bytes, true)
            }
            HandlerReply::NoResponse => {
                let mut discarded = [0; 4096];
                while reader.read(&mut discarded)? > 0 {}
                return Ok(());
            }
            HandlerReply::ResetConnection => {
                wire::reset(stream);
                return Ok(());
            }
            HandlerReply::Steps(steps) => {
                if take_steps(stream, steps)? {
                    continue;
                }
                return Ok(());
            }
            HandlerReply::Endless(first, repeated) => {
                writer.write_all(&first)?;
                // Ends with an error once the client has closed the connection.
                loop {
                    writer.write_all(&repeated)?;
                }
            }
        };
        writer.write_all(&bytes)?;
        handler.on_bytes_sent(bytes.len());
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Takes the steps; returns whether the connection stays open.
fn take_steps(mut stream: &TcpStream, steps: Vec<WireStep>) -> io::Result<bool> {
    for step in steps {
        match step {
            WireStep::Send(bytes) => stream.write_all(&bytes)?,
            WireStep::Wait(duration) => thread::sleep(duration),
            WireStep::Close => return Ok(false),
            WireStep::Reset => {
                wire::reset(stream);
                return Ok(false);
            }
        }
    }
    Ok(true)
}
