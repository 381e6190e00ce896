use http::HeaderName;

/// Names the headers that clients, nodes and endpoints exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a client.
    pub request_id: HeaderName,
    /// Time in ms that the sender will still wait.
    pub remaining_time: HeaderName,
    /// Proves that an endpoint made the answer.
    pub endpoint_proof: HeaderName,
    /// Endpoint that alone may run the request.
    pub expected_endpoint: HeaderName,
    /// Endpoint that answered.
    pub answering_endpoint: HeaderName,
    /// States that the endpoint has not run the request.
    pub not_run: HeaderName,
    /// Service beside which the request began.
    pub caller_service: HeaderName,
}
