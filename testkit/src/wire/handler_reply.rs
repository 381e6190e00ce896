use crate::wire::HttpResponse;

/// States what a stand-in does with a request.
#[derive(Debug, Clone)]
pub enum HandlerReply {
    /// Sends the answer.
    Respond(HttpResponse),
    /// Sends the given number of bytes of the body, then closes the connection.
    RespondTruncated(HttpResponse, usize),
    /// Keeps the connection open and never answers on it.
    NoResponse,
    /// Resets the connection.
    ResetConnection,
}
