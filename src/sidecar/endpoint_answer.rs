use crate::error::ResultCode;

/// The properties of a response from the address of an endpoint that decide what it proves.
///
/// Another process may have taken over the address, and a faulty endpoint may send bytes that are
/// not its response, so a response is evidence only of what its headers prove.
#[derive(Debug, Clone, Copy)]
pub struct EndpointAnswer {
    /// Status code.
    pub status: u16,
    /// Whether the response states that the endpoint has not run the request.
    pub states_not_run: bool,
    /// Whether the response has the identifier of the request.
    pub has_request_id: bool,
    /// Whether the response has the proof that an endpoint produced it.
    pub has_proof: bool,
    /// Whether the body was encoded on the way, so that it is not the body of the endpoint.
    pub is_encoded: bool,
}

/// What a response proves about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The response is the endpoint's final response.
    Final,
    /// The endpoint has not run the request.
    NotRun(ResultCode),
    /// It is unknown whether the endpoint has run the request.
    Unknown(ResultCode),
}

impl EndpointAnswer {
    /// Returns whether the endpoint wrote this response for the request.
    #[must_use]
    pub fn is_proven(&self) -> bool {
        self.has_request_id && self.has_proof && !self.is_encoded
    }

    /// Returns what the response proves about a request that is `idempotent` or not, and was sent
    /// with or without an identifier.
    ///
    /// An endpoint refuses a request without an identifier with 400. Any other refusal says nothing
    /// about the request, whatever its status. A refusal counts only with the identifier of the
    /// request, since another endpoint could then run the request too.
    ///
    /// A server error without proof is final too: it promises nothing, and the client may retry what
    /// is idempotent.
    #[must_use]
    pub fn verdict(&self, idempotent: bool, is_identified: bool) -> AnswerVerdict {
        let is_refusal = self.states_not_run || self.status == 421;
        match self.status {
            _ if is_refusal && is_identified && !self.has_request_id => {
                AnswerVerdict::Unknown(ResultCode::AnswerMalformed)
            }
            421 => AnswerVerdict::NotRun(ResultCode::NoEndpoint),
            400 if self.states_not_run && !is_identified => {
                AnswerVerdict::NotRun(ResultCode::MalformedRequest)
            }
            _ if self.states_not_run => AnswerVerdict::NotRun(ResultCode::Overloaded),
            status if !matches!(status, 500..=599) && !self.is_proven() => {
                AnswerVerdict::Unknown(ResultCode::AnswerMalformed)
            }
            // These statuses imply that the request has not run, which only the endpoint itself may
            // state.
            408 | 429 | 503 if !idempotent => AnswerVerdict::Unknown(ResultCode::ConnectionLost),
            _ => AnswerVerdict::Final,
        }
    }
}
