use http::HeaderName;

/// Names of the headers that clients, nodes and endpoints exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of one attempt of a client.
    pub request_id: HeaderName,
    /// Time in milliseconds for which the sender still waits.
    pub remaining_time: HeaderName,
    /// Proof that an endpoint produced the response.
    pub endpoint_proof: HeaderName,
    /// The only endpoint that may run the request.
    pub expected_endpoint: HeaderName,
    /// Endpoint that produced the response.
    pub responding_endpoint: HeaderName,
    /// Indicates that the endpoint has not run the request.
    pub not_run: HeaderName,
    /// Remaining time in milliseconds for which the endpoint is cold.
    pub cold_remaining: HeaderName,
    /// Requests per second that the endpoint accepts from all nodes together, while it says so.
    pub rate_limit: HeaderName,
    /// Indicates that the endpoint is shutting down.
    pub leaving: HeaderName,
    /// Service from whose sidecar the request originates.
    pub caller_service: HeaderName,
}
