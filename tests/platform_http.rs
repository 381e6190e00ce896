//! Tests that `HttpPlatform` meets the contracts of `ConfigSource` and `InstanceSource`.

#[path = "support/scripted_server.rs"]
mod scripted_server;
#[path = "support/test_loop.rs"]
mod test_loop;

use endivelanding::clock::ClockTime;
use endivelanding::error::ResultCode;
use endivelanding::platform::{
    ConfigRead, ConfigSource, HttpPlatform, InstanceSource, InstanceState,
};
use scripted_server::{ScriptStep, ScriptedServer};
use test_loop::block_on;

fn server(answer: Vec<u8>) -> ScriptedServer {
    ScriptedServer::start(move |_, _| vec![ScriptStep::Send(answer.clone()), ScriptStep::Close])
}

fn answer(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

async fn read_value(source: &dyn ConfigSource) -> Result<Option<(u64, usize)>, ResultCode> {
    match source.read_manifest(Some(4), ClockTime(20)).await {
        Ok(ConfigRead::Unchanged) => Ok(None),
        Ok(ConfigRead::Value { revision, bytes }) => Ok(Some((revision, bytes.len()))),
        Err(error) => Err(error.code()),
    }
}

async fn read_list(source: &dyn InstanceSource) -> Result<Option<InstanceState>, ResultCode> {
    match source.read_instances(None, ClockTime(20)).await {
        Ok(list) => Ok(list.map(|list| list.instances[0].state)),
        Err(error) => Err(error.code()),
    }
}

/// Guards against accepting a malformed or truncated response of the configuration service as a
/// version.
#[test]
fn manifest_answers_map_to_results() {
    let invalid = Err(ResultCode::PlatformInvalid);
    let unreachable = Err(ResultCode::PlatformUnreachable);
    let large = "x".repeat(1_000_000);
    let too_large = "x".repeat(1_000_001);
    let ok = "HTTP/1.1 200 OK\r\nx-revision: 5";
    let mut truncated = answer(ok, "{}");
    truncated.pop();
    for (answer, expected) in [
        (answer(ok, "{}"), Ok(Some((5, 2)))),
        (answer(ok, &large), Ok(Some((5, 1_000_000)))),
        (b"HTTP/1.1 304 Not Modified\r\n\r\n".to_vec(), Ok(None)),
        (answer(ok, &too_large), invalid),
        (answer("HTTP/1.1 200 OK", "{}"), invalid),
        (answer("HTTP/1.1 200 OK\r\nx-revision: +5", "{}"), invalid),
        (answer("HTTP/1.1 404 Not Found", ""), invalid),
        (answer("HTTP/1.1 503 Busy", ""), unreachable),
        (truncated, unreachable),
        (Vec::new(), unreachable),
    ] {
        let start = String::from_utf8_lossy(&answer[..answer.len().min(60)]).into_owned();
        let server = server(answer);
        let platform = HttpPlatform::new(server.address, server.address);
        assert_eq!(block_on(read_value(&platform)), expected, "{start}");
        let requests = server.requests();
        assert_eq!(requests.len(), 1, "one read is one request");
        assert_eq!(server.connections(), 1);
        assert!(requests[0].starts_with("GET /v1/manifest?after=4&wait_ms=20 HTTP/1.1\r\n"));
    }
}

/// Guards against accepting a truncated or invalid instance list as a shorter list.
#[test]
fn instance_answers_map_to_results() {
    let list = r#"{"revision":3,"instances":[{"address":"127.0.0.1:1","admin":"127.0.0.1:2",
        "service":"ratecard","zone":"bangna","region":"central","state":"leaving"}]}"#;
    let ok = "HTTP/1.1 200 OK";
    let invalid = Err(ResultCode::PlatformInvalid);
    for (answer, expected) in [
        (answer(ok, list), Ok(Some(InstanceState::Leaving))),
        (b"HTTP/1.1 304 Not Modified\r\n\r\n".to_vec(), Ok(None)),
        (answer(ok, &list[..list.len() - 1]), invalid),
        (answer(ok, &list.replace("leaving", "asleep")), invalid),
    ] {
        let server = server(answer);
        let platform = HttpPlatform::new(server.address, server.address);
        assert_eq!(block_on(read_list(&platform)), expected);
        assert!(server.requests()[0].starts_with("GET /v1/instances?wait_ms=20 HTTP/1.1\r\n"));
    }
}

/// Guards against a read that never ends while the platform does not respond.
#[test]
fn silent_platform_is_unreachable() {
    let server = ScriptedServer::start(|_, _| vec![ScriptStep::Wait(3_000), ScriptStep::Close]);
    let platform = HttpPlatform::new(server.address, server.address);
    let result = block_on(read_value(&platform));
    assert_eq!(result, Err(ResultCode::PlatformUnreachable));
}
