use bytes::Bytes;

use crate::clock::ClockTime;
use crate::error::{Error, ResultCode};

/// Holds one whole answer, or a refusal or failure made by a node.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// Result code; `Ok` for every whole answer of a backend server, whatever its status.
    pub code: ResultCode,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in lower case.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Time after which another attempt is welcome, for refusals.
    pub retry_after: Option<ClockTime>,
}

impl CallResponse {
    /// Creates the answer to a call that failed in the mesh.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        Self {
            code: error.code(),
            status: status_of(error.code()),
            headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
            body: Bytes::from(format!("{error}\n")),
            retry_after: None,
        }
    }
}

fn status_of(code: ResultCode) -> u16 {
    match code {
        ResultCode::Ok => 200,
        ResultCode::NoRoute => 404,
        ResultCode::MalformedRequest => 400,
        ResultCode::RequestTooLarge => 413,
        ResultCode::RequestTooSlow => 408,
        ResultCode::CallTooDeep => 508,
        ResultCode::KeyFenced | ResultCode::KeyRunning => 409,
        ResultCode::AnswerTooLarge | ResultCode::AnswerMalformed | ResultCode::ConnectionLost => {
            502
        }
        ResultCode::DeadlineTooShort | ResultCode::DeadlinePassed => 504,
        _ => 503,
    }
}
