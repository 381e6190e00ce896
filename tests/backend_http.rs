//! Tests that `HttpBackend` satisfies the contract of `BackendServer`, against scripted servers on
//! loopback.

#[path = "support/backend_calls.rs"]
mod backend_calls;
#[path = "support/scripted_server.rs"]
mod scripted_server;
#[path = "support/test_loop.rs"]
mod test_loop;

use std::rc::Rc;
use std::time::Duration;

use backend_calls::{OK, backend, request, run};
use endivelanding::backend::{BackendHealth, BackendServer};
use endivelanding::clock::ClockTime;
use endivelanding::error::{CallOutcome, ResultCode};
use futures_util::future;
use monoio::time;
use scripted_server::{ScriptStep, ScriptedServer};
use test_loop::block_on;

/// Guards against truncated, ambiguous or too large responses being accepted as successful.
#[test]
fn responses_map_to_results() {
    let lost = Err(ResultCode::ConnectionLost);
    let malformed = Err(ResultCode::AnswerMalformed);
    let cases: Vec<(&[u8], Result<&str, ResultCode>)> = vec![
        (OK, Ok("ok")),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            Ok("abc"),
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\ncontent-length: 1\r\n\r\nx",
            Ok("x"),
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Ok("")),
        (b"", lost),
        (b"HTTP/1.1 200 OK\r\ncontent-le", lost),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab", lost),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
            lost,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", malformed),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
            malformed,
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nab",
            malformed,
        ),
        (b"SSH-2.0-OpenSSH\r\n\r\n", malformed),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n",
            Err(ResultCode::AnswerTooLarge),
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
            Err(ResultCode::AnswerTooLarge),
        ),
    ];
    for (response, expected) in cases {
        let server = ScriptedServer::start(move |_, _| {
            vec![ScriptStep::Send(response.to_vec()), ScriptStep::Close]
        });
        let result = block_on(async {
            let backend = backend(server.address, 4);
            let result = run(&backend, "/work").await;
            backend.close().await;
            result
        });
        let response = String::from_utf8_lossy(response);
        assert_eq!(result, expected.map(str::to_owned), "{response}");
    }
}

/// Guards against the loss of headers that the backend server needs.
#[test]
fn request_carries_call_headers() {
    let server = ScriptedServer::start(|_, _| vec![ScriptStep::Send(OK.to_vec())]);
    block_on(async {
        let backend = backend(server.address, 4);
        assert_eq!(run(&backend, "/work?a=1").await, Ok("ok".to_owned()));
        backend.close().await;
    });
    let request = server.requests().remove(0);
    for part in [
        "POST /work?a=1 HTTP/1.1\r\n",
        "x-shop: 7\r\n",
        "x-deadline-ms: ",
        "x-request-id: ",
        "idempotency-key: key-1\r\n",
        "x-call-depth: 3\r\n",
        "x-request-attempt: 1\r\n",
        "x-config-version: 7-00000000000000000000000000000001\r\n",
        "content-length: 4\r\n\r\nbody",
    ] {
        assert!(request.contains(part), "{part} in {request}");
    }
}

/// Guards against a late response being returned for the next request, and against a slot being
/// released before the request has ended. Also checks that the timed-out request is cancelled.
#[test]
fn late_response_is_not_returned_for_the_next_request() {
    let server = ScriptedServer::start(|_, request| {
        let body = if request.contains("/late") {
            "late"
        } else {
            "next"
        };
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{body}");
        let delay_ms = if body == "late" { 200 } else { 0 };
        vec![
            ScriptStep::Wait(delay_ms),
            ScriptStep::Send(response.into_bytes()),
        ]
    });
    block_on(async {
        let backend = backend(server.address, 1);
        assert_eq!(run(&backend, "/first").await, Ok("next".to_owned()));
        let work_guard = Rc::new(());
        let late = backend
            .run(
                request("/late", ""),
                ClockTime(50),
                Rc::clone(&work_guard) as _,
            )
            .await;
        assert_eq!(late.unwrap_err().code(), ResultCode::DeadlinePassed);
        assert_eq!(Rc::strong_count(&work_guard), 2);
        time::sleep(Duration::from_millis(250)).await;
        assert_eq!(Rc::strong_count(&work_guard), 1);
        assert_eq!(run(&backend, "/next").await, Ok("next".to_owned()));
        backend.close().await;
    });
    assert_cancelled(&server, "/late");
}

/// Guards against requests that continue to run after their call was dropped.
#[test]
fn dropped_call_is_cancelled() {
    let server = ScriptedServer::start(|_, request| {
        let delay_ms = if request.contains("/slow") { 300 } else { 0 };
        vec![ScriptStep::Wait(delay_ms), ScriptStep::Send(OK.to_vec())]
    });
    block_on(async {
        let backend = backend(server.address, 4);
        let slow = time::timeout(Duration::from_millis(50), run(&backend, "/slow"));
        assert!(slow.await.is_err());
        backend.close().await;
    });
    assert_cancelled(&server, "/slow");
}

fn assert_cancelled(server: &ScriptedServer, path: &str) {
    let requests = server.requests();
    let request = requests.iter().find(|text| text.contains(path)).unwrap();
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "))
        .unwrap();
    let cancel = format!("POST /cancel/{id} HTTP/1.1\r\n");
    assert!(
        requests.iter().any(|text| text.starts_with(&cancel)),
        "{cancel} in {requests:?}"
    );
}

/// Guards against reporting a request that may have run as not run, and against failures caused by
/// connections that the server closed while they were idle.
#[test]
fn open_idle_connections_are_reused_and_closed_ones_are_not() {
    let server = ScriptedServer::start(|number, _| match number {
        // The first connection is kept alive and closed later, while it is idle.
        0 => vec![
            ScriptStep::Send(OK.to_vec()),
            ScriptStep::Wait(20),
            ScriptStep::Close,
        ],
        // The third request arrives on a reused connection that closes without a response.
        2 => vec![ScriptStep::Close],
        _ => vec![ScriptStep::Send(OK.to_vec())],
    });
    block_on(async {
        let backend = backend(server.address, 1);
        assert_eq!(run(&backend, "/0").await, Ok("ok".to_owned()));
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(run(&backend, "/1").await, Ok("ok".to_owned()));
        assert_eq!(run(&backend, "/2").await, Err(ResultCode::ConnectionLost));
        assert_eq!(run(&backend, "/3").await, Ok("ok".to_owned()));
        backend.close().await;
    });
}

/// Guards against the reuse of a connection that the server will close or that has unread bytes.
#[test]
fn connection_is_reused_only_after_a_complete_response() {
    let closing: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let unread = [OK, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"].concat();
    let http_10 = [b"HTTP/1.0", &OK[8..]].concat();
    for (first, connections) in [
        (OK.to_vec(), 1),
        (closing.to_vec(), 2),
        (unread, 2),
        (http_10, 2),
    ] {
        let text = String::from_utf8_lossy(&first).into_owned();
        let server = ScriptedServer::start(move |number, _| match number {
            0 => vec![ScriptStep::Send(first.clone())],
            _ => vec![ScriptStep::Send(OK.to_vec())],
        });
        block_on(async {
            let backend = backend(server.address, 1);
            assert_eq!(run(&backend, "/0").await, Ok("ok".to_owned()));
            assert_eq!(run(&backend, "/1").await, Ok("ok".to_owned()));
            backend.close().await;
        });
        assert_eq!(server.connections(), connections, "{text}");
    }
}

/// Guards against the loss of successive calls on open connections that became unresponsive
/// together.
#[test]
fn unresponsive_connection_closes_idle_ones() {
    let server = ScriptedServer::start(|number, _| match number {
        0 | 1 => vec![ScriptStep::Wait(30), ScriptStep::Send(OK.to_vec())],
        2 => vec![ScriptStep::Wait(300), ScriptStep::Close],
        _ => vec![ScriptStep::Send(OK.to_vec())],
    });
    block_on(async {
        let backend = backend(server.address, 2);
        let pair = future::join(run(&backend, "/0"), run(&backend, "/1")).await;
        assert_eq!(pair, (Ok("ok".to_owned()), Ok("ok".to_owned())));
        let silent = backend
            .run(request("/2", ""), ClockTime(50), Rc::new(()))
            .await;
        assert_eq!(silent.unwrap_err().code(), ResultCode::DeadlinePassed);
        assert_eq!(run(&backend, "/3").await, Ok("ok".to_owned()));
        backend.close().await;
    });
    // Two for the first requests, one for the cancellation and one for the last request.
    assert_eq!(server.connections(), 4);
}

/// Guards against responses being swapped between calls that share a small pool.
#[test]
fn interleaved_calls_get_their_own_responses() {
    let server = ScriptedServer::start(|number, request| {
        let path = request.split(' ').nth(1).unwrap();
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        vec![
            ScriptStep::Wait(number as u64 % 5),
            ScriptStep::Send(response.into_bytes()),
        ]
    });
    block_on(async {
        let backend = backend(server.address, 3);
        let paths: Vec<String> = (0..60).map(|number| format!("/call/{number}")).collect();
        let calls = paths.iter().map(|path| run(&backend, path));
        let results = future::join_all(calls).await;
        for (path, result) in paths.into_iter().zip(results) {
            assert_eq!(result, Ok(path));
        }
        backend.close().await;
    });
}

/// Guards against reporting requests that cannot have run as possibly run, and the reverse.
#[test]
fn unwritten_requests_are_reported_as_not_run() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let server =
        ScriptedServer::start(|_, _| vec![ScriptStep::Wait(200), ScriptStep::Send(OK.to_vec())]);
    block_on(async {
        let absent = backend(address, 1);
        let result = run(&absent, "/work").await;
        assert_eq!(result, Err(ResultCode::BackendUnreachable));
        absent.close().await;

        let backend = backend(server.address, 1);
        let result = backend
            .run(request("/zero", ""), ClockTime(0), Rc::new(()))
            .await;
        assert_eq!(result.unwrap_err().code(), ResultCode::DeadlineTooShort);
        // The second call waits for the only connection until its deadline.
        let first = run(&backend, "/first");
        let second = backend.run(request("/second", ""), ClockTime(50), Rc::new(()));
        let (first, second) = future::join(first, second).await;
        assert_eq!(first, Ok("ok".to_owned()));
        let error = second.unwrap_err();
        assert_eq!(error.code(), ResultCode::DeadlineTooShort);
        assert_eq!(error.outcome(), CallOutcome::NotRun);
        backend.close().await;
    });
    let requests = server.requests();
    assert!(!requests.iter().any(|text| text.contains("/zero")));
    assert!(!requests.iter().any(|text| text.contains("/second")));
}

/// Guards against a starting or draining backend server being reported as ready.
#[test]
fn health_maps_reports() {
    let unreachable = Err(ResultCode::BackendUnreachable);
    for (status, body, expected) in [
        (200, "ready", Ok(BackendHealth::Ready)),
        (200, "starting", Ok(BackendHealth::Starting)),
        (200, "draining\n", Ok(BackendHealth::Draining)),
        (200, "fine", unreachable),
        (503, "ready", unreachable),
    ] {
        let response = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let server = ScriptedServer::start(move |_, _| {
            vec![ScriptStep::Send(response.clone().into_bytes())]
        });
        let health = block_on(async {
            let backend = backend(server.address, 1);
            let health = backend.health().await.map_err(|error| error.code());
            backend.close().await;
            health
        });
        assert_eq!(health, expected, "{status} {body}");
        assert!(server.requests()[0].starts_with("GET /health HTTP/1.1\r\n"));
    }
}
