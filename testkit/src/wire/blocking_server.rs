use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use crate::wire::{self, HandlerReply, HttpRequest, SwitchableListener};

/// Answers the requests of a `BlockingServer`.
pub trait HttpHandler: Send + Sync {
    /// Decides about one request; may block.
    fn handle(&self, request: &HttpRequest) -> HandlerReply;

    /// Counts bytes sent.
    fn on_bytes_sent(&self, _bytes: usize) {}
}

/// Accepts connections and serves each on its own thread, for the life of the process.
#[derive(Debug, Clone)]
pub struct BlockingServer {
    listener: SwitchableListener,
}

impl BlockingServer {
    /// Binds the address and starts to accept.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, handler: Arc<dyn HttpHandler>) -> io::Result<BlockingServer> {
        let serve = move |stream: &Arc<TcpStream>| {
            // A connection that ends with an error needs no report: the caller sees it.
            let _ = serve_stream(handler.as_ref(), stream);
        };
        let listener = SwitchableListener::start(address, Box::new(serve))?;
        Ok(BlockingServer { listener })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the largest number of connections that were open at the same time.
    #[must_use]
    pub fn connections_peak(&self) -> u64 {
        self.listener.peak()
    }

    /// Opens or closes the server: a closed one resets its connections and refuses new ones.
    ///
    /// Returns once the change is in force.
    pub fn set_open(&self, open: bool) {
        self.listener.set_open(open);
    }
}

fn serve_stream(handler: &dyn HttpHandler, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(request) = HttpRequest::read(&mut reader)? {
        let (bytes, last) = match handler.handle(&request) {
            HandlerReply::Respond(response) => (response.encode(), false),
            HandlerReply::RespondTruncated(response, length) => {
                let mut bytes = response.encode();
                let kept = bytes.len() - response.body.len() + length.min(response.body.len());
                bytes.truncate(kept);
                (bytes, true)
            }
            HandlerReply::NoResponse => {
                let mut rest = [0; 4096];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
            HandlerReply::ResetConnection => {
                wire::reset(stream);
                return Ok(());
            }
        };
        writer.write_all(&bytes)?;
        handler.on_bytes_sent(bytes.len());
        if last {
            return Ok(());
        }
    }
    Ok(())
}
