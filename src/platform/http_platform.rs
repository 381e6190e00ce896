use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use http::StatusCode;

use crate::backend::HttpClient;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::platform::{ConfigRead, ConfigSource, InstanceList, InstanceSource};

/// Time to open a connection.
const CONNECT_TIMEOUT: ClockTime = ClockTime(1_000);
/// Time beyond the wait that the platform has for its answer.
const ANSWER_GRACE: ClockTime = ClockTime(2_000);
/// Largest value that the configuration service holds, in bytes.
const VALUE_LIMIT: usize = 1_000_000;
/// Largest instance list, in bytes: 5,500 instances of at most 350 bytes each are 1.9 MB.
const LIST_LIMIT: usize = 4_000_000;

/// Reads the configuration service and the instance list over HTTP/1.1.
///
/// Each read is one request on a connection of its own, so that a silent connection is never
/// used for a second one.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    config: HttpClient,
    instances: HttpClient,
}

impl HttpPlatform {
    /// Creates the adapter from the addresses of the two services.
    #[must_use]
    pub fn new(config: SocketAddr, instances: SocketAddr) -> Self {
        let client = |address, body_limit| HttpClient {
            address,
            connect_timeout: CONNECT_TIMEOUT,
            body_limit,
        };
        Self {
            config: client(config, VALUE_LIMIT),
            instances: client(instances, LIST_LIMIT),
        }
    }
}

impl ConfigSource for HttpPlatform {
    fn read_manifest(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<ConfigRead>> {
        async move {
            let Some(response) = read(&self.config, "/v1/manifest", after, wait).await? else {
                return Ok(ConfigRead::Unchanged);
            };
            let mut revisions = response.headers().get_all("x-revision").iter();
            let revision = revisions
                .next()
                .and_then(|value| value.to_str().ok())
                .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
                .and_then(|text| text.parse().ok());
            match (revision, revisions.next()) {
                (Some(revision), None) => Ok(ConfigRead::Value {
                    revision,
                    bytes: response.into_body(),
                }),
                _ => Err(invalid("`x-revision` is missing or not a single number")),
            }
        }
        .boxed_local()
    }
}

impl InstanceSource for HttpPlatform {
    fn read_instances(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<Option<InstanceList>>> {
        async move {
            let Some(response) = read(&self.instances, "/v1/instances", after, wait).await? else {
                return Ok(None);
            };
            serde_json::from_slice(response.body())
                .map(Some)
                .map_err(|error| invalid(&format!("instance list: {error}")))
        }
        .boxed_local()
    }
}

/// Sends one request; `None` if nothing changed.
async fn read(
    client: &HttpClient,
    path: &str,
    after: Option<u64>,
    wait: ClockTime,
) -> Result<Option<http::Response<Bytes>>> {
    let path = match after {
        Some(after) => format!("{path}?after={after}&wait_ms={}", wait.0),
        None => format!("{path}?wait_ms={}", wait.0),
    };
    let response = client.get_from_platform(&path, wait + ANSWER_GRACE).await?;
    match response.status() {
        StatusCode::OK => Ok(Some(response)),
        StatusCode::NOT_MODIFIED => Ok(None),
        status if status.is_server_error() => Err(Error::new(
            ResultCode::PlatformUnreachable,
            format!("platform at {} answered {status}", client.address),
        )),
        status => Err(invalid(&format!("unexpected status {status}"))),
    }
}

fn invalid(message: &str) -> Error {
    Error::new(ResultCode::PlatformInvalid, message)
}
