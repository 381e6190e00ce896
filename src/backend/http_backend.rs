use std::cell::Cell;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use monoio::time;

use crate::backend::abandoned_request_task::AbandonedRequestTask;
use crate::backend::cancel_task::CancelTask;
use crate::backend::client_connection::ClientConnection;
use crate::backend::client_request::ClientRequest;
use crate::backend::connection_pool::ConnectionPool;
use crate::backend::{BackendHealth, BackendServer, HttpClient, WorkGuard};
use crate::call::{CallRequest, CallResponse};
use crate::caller::{WireError, is_hop_by_hop_header};
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::size::ByteSize;

/// Time within which the response to a health check must be received.
const HEALTH_TIMEOUT: ClockTime = ClockTime(1_000);
/// Request headers that only the adapter sets.
const ADAPTER_HEADERS: [&str; 7] = [
    "x-deadline-ms",
    "x-request-id",
    "idempotency-key",
    "x-first-attempt-age-ms",
    "x-call-depth",
    "x-request-attempt",
    "x-config-version",
];

/// Adapter to a backend server that is reached over a bounded pool of HTTP/1.1 connections.
pub struct HttpBackend {
    client: HttpClient,
    clock: SystemClock,
    pool: ConnectionPool,
    cancellations: CancelTask,
    abandoned_requests: AbandonedRequestTask,
    id_prefix: u64,
    id_count: Cell<u64>,
}

impl HttpBackend {
    /// Creates the adapter and starts its tasks; requires a running monoio runtime.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        connect_timeout: ClockTime,
        connection_limit: usize,
        response_limit: ByteSize,
    ) -> Self {
        let client = HttpClient {
            address,
            connect_timeout,
            body_limit: response_limit.0 as usize,
        };
        Self {
            cancellations: CancelTask::start(client.clone()),
            abandoned_requests: AbandonedRequestTask::start(),
            client,
            clock: SystemClock::new(),
            pool: ConnectionPool::new(connection_limit),
            // A random prefix keeps the request ids of an earlier process from recurring, so that a
            // cancellation cannot end an unrelated request.
            id_prefix: rand::random(),
            id_count: Cell::new(0),
        }
    }

    /// Closes idle connections, sends queued cancellations and joins the tasks.
    pub async fn close(&self) {
        self.pool.close_idle();
        self.cancellations.close().await;
        self.abandoned_requests.close().await;
    }

    fn next_id(&self) -> String {
        let count = self.id_count.get();
        self.id_count.set(count + 1);
        format!("{:016x}-{count}", self.id_prefix)
    }

    async fn run_request(
        &self,
        request: &CallRequest,
        deadline: ClockTime,
        work_guard: WorkGuard,
    ) -> Result<CallResponse> {
        let permit = self.pool.acquire();
        let _permit = time::timeout(self.remaining(deadline)?.to_duration(), permit)
            .await
            .map_err(|_| deadline_too_short())?;
        let mut connection = self.acquire_connection(deadline).await?;
        let id = self.next_id();
        let remaining = match self.remaining(deadline) {
            Ok(remaining) => remaining,
            Err(error) => {
                self.pool.put_idle(connection);
                return Err(error);
            }
        };
        let message = encode(request, self.client.address, &id, remaining)?;
        let cancel_guard = self.cancellations.guard(id);
        let is_reused = connection.has_received_response();
        let body_limit = self.client.body_limit;
        let exchange = async move {
            let result = connection.exchange(message, body_limit).await;
            result.map(|(response, reusable)| (response, reusable.then_some(connection)))
        };
        let exchange = self
            .abandoned_requests
            .guard(exchange, remaining, work_guard);
        match time::timeout(remaining.to_duration(), exchange).await {
            Err(_) => {
                // All open connections can become unresponsive at once while new ones still work.
                if is_reused {
                    self.pool.close_idle();
                }
                Err(Error::new(
                    ResultCode::DeadlinePassed,
                    "backend server did not answer within the deadline",
                ))
            }
            Ok(Ok((response, reusable))) => {
                cancel_guard.disarm();
                if let Some(connection) = reusable {
                    self.pool.put_idle(connection);
                }
                Ok(to_call_response(response))
            }
            Ok(Err(error)) => {
                if matches!(error, WireError::NotWritten(_)) {
                    cancel_guard.disarm();
                }
                Err(to_error(&error))
            }
        }
    }

    async fn acquire_connection(&self, deadline: ClockTime) -> Result<ClientConnection> {
        if let Some(connection) = self.pool.take_idle() {
            let mut candidate = Some(connection);
            // A close that has already arrived is detected only after a turn of the event loop.
            yield_once().await;
            while let Some(mut connection) = candidate {
                if connection.is_idle() {
                    return Ok(connection);
                }
                candidate = self.pool.take_idle();
            }
        }
        let remaining = self.remaining(deadline)?;
        let timeout = ClockTime(remaining.0.min(self.client.connect_timeout.0));
        ClientConnection::connect(self.client.address, timeout)
            .await
            .map_err(|error| to_error(&error))
    }

    fn remaining(&self, deadline: ClockTime) -> Result<ClockTime> {
        let remaining = deadline - self.clock.now();
        if remaining == ClockTime(0) {
            return Err(deadline_too_short());
        }
        Ok(remaining)
    }
}

impl BackendServer for HttpBackend {
    fn run(
        &self,
        request: CallRequest,
        remaining: ClockTime,
        work_guard: WorkGuard,
    ) -> LocalBoxFuture<'_, Result<CallResponse>> {
        let deadline = self.clock.now() + remaining;
        async move { self.run_request(&request, deadline, work_guard).await }.boxed_local()
    }

    fn health(&self) -> LocalBoxFuture<'_, Result<BackendHealth>> {
        async move {
            let unreachable = |text: String| {
                Error::new(ResultCode::BackendUnreachable, format!("health: {text}"))
            };
            let response = self
                .client
                .send("GET", "/health", HEALTH_TIMEOUT)
                .await?
                .map_err(|error| unreachable(error.to_string()))?;
            let status = response.status();
            let body = response.body().trim_ascii();
            match body {
                b"ready" if status == http::StatusCode::OK => Ok(BackendHealth::Ready),
                b"starting" if status == http::StatusCode::OK => Ok(BackendHealth::Starting),
                b"draining" if status == http::StatusCode::OK => Ok(BackendHealth::Draining),
                _ => Err(unreachable(format!("unexpected status {status} or body"))),
            }
        }
        .boxed_local()
    }
}

async fn yield_once() {
    let mut yielded = false;
    std::future::poll_fn(|context| {
        if yielded {
            return std::task::Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}

fn encode(
    request: &CallRequest,
    address: SocketAddr,
    id: &str,
    remaining: ClockTime,
) -> Result<ClientRequest> {
    let mut message = ClientRequest::new(&request.method, &request.path)?;
    let no_connection_headers = http::HeaderMap::new();
    let mut has_host = false;
    for (name, value) in &request.headers {
        let name = name.to_ascii_lowercase();
        if is_hop_by_hop_header(&name, &no_connection_headers)
            || ADAPTER_HEADERS.contains(&name.as_str())
        {
            continue;
        }
        has_host |= name == "host";
        message.header(&name, value)?;
    }
    if !has_host {
        message.header("host", address)?;
    }
    message.header("x-deadline-ms", remaining.0)?;
    message.header("x-request-id", id)?;
    message.header("x-call-depth", request.depth)?;
    message.header("x-request-attempt", request.attempt)?;
    if let Some(key) = &request.key {
        message.header("idempotency-key", key)?;
    }
    if let Some(stamp) = &request.stamp {
        message.header("x-config-version", stamp)?;
    }
    message.body(&request.body);
    Ok(message)
}

fn to_call_response(response: http::Response<Bytes>) -> CallResponse {
    let (parts, body) = response.into_parts();
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name.as_str(), &parts.headers))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect();
    CallResponse {
        code: ResultCode::Ok,
        status: parts.status.as_u16(),
        headers,
        body,
        retry_after: None,
    }
}

fn to_error(error: &WireError) -> Error {
    let code = match error {
        WireError::NotWritten(_) => ResultCode::BackendUnreachable,
        WireError::TooLarge => ResultCode::AnswerTooLarge,
        WireError::Malformed(_) => ResultCode::AnswerMalformed,
        WireError::TimedOut => ResultCode::DeadlinePassed,
        WireError::Closed | WireError::Truncated | WireError::Lost(_) => ResultCode::ConnectionLost,
    };
    Error::new(code, format!("backend server: {error}"))
}

fn deadline_too_short() -> Error {
    Error::new(
        ResultCode::DeadlineTooShort,
        "deadline passed before the request was written",
    )
}
