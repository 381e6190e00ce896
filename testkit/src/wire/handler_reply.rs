use crate::wire::{HttpResponse, WireStep};

/// Action that a server takes for a request.
#[derive(Debug, Clone)]
pub enum HandlerReply {
    /// Sends the response.
    Respond(HttpResponse),
    /// Sends the head and the given number of body bytes, then closes the connection.
    RespondTruncated(HttpResponse, usize),
    /// Keeps the connection open without ever responding.
    NoResponse,
    /// Resets the connection.
    ResetConnection,
    /// Sends the bytes and keeps the connection open.
    Raw(Vec<u8>),
    /// Sends the first bytes, then repeats the second ones until the client closes the connection.
    Endless(Vec<u8>, Vec<u8>),
    /// Takes the steps, then reads the next request unless a step has ended the connection.
    Steps(Vec<WireStep>),
}
