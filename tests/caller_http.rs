//! Tests of the HTTP/1.1 servers for callers and operators, with raw bytes over loopback sockets.

#[path = "support/test_loop.rs"]
mod test_loop;

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use endivelanding::admin::{AdminClient, AdminHandler, AdminPage, AdminServer};
use endivelanding::call::{CallHandler, CallRequest, CallResponse};
use endivelanding::caller::{CallerServer, ServerLimits, StopSignal};
use endivelanding::clock::ClockTime;
use endivelanding::error::ResultCode;
use endivelanding::size::ByteSize;
use futures_util::future::{FutureExt, LocalBoxFuture};
use monoio::net::TcpListener;
use monoio::time;
use test_loop::block_on;

/// Echoes the path and the body of a request; `/wait/N` responds after N ms.
#[derive(Default)]
struct EchoHandler {
    started: Cell<usize>,
    cancelled: Rc<Cell<usize>>,
    last: RefCell<Option<CallRequest>>,
}

struct DropCounter(Rc<Cell<usize>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl CallHandler for EchoHandler {
    fn handle(&self, request: CallRequest) -> LocalBoxFuture<'_, CallResponse> {
        self.started.set(self.started.get() + 1);
        async move {
            let count = DropCounter(Rc::clone(&self.cancelled));
            if let Some(delay_ms) = request.path.strip_prefix("/wait/") {
                time::sleep(Duration::from_millis(delay_ms.parse().unwrap())).await;
            }
            std::mem::forget(count);
            let body = [request.path.as_bytes(), b"=", &request.body].concat();
            *self.last.borrow_mut() = Some(request);
            CallResponse {
                code: ResultCode::Ok,
                status: 200,
                headers: vec![("content-length".to_owned(), "999".to_owned())],
                body: Bytes::from(body),
                retry_after: Some(ClockTime(7)),
            }
        }
        .boxed_local()
    }
}

fn limits() -> ServerLimits {
    ServerLimits {
        head_timeout: ClockTime(200),
        body_timeout: ClockTime(300),
        idle_timeout: ClockTime(500),
        body_limit: ByteSize(1_000),
        connection_limit: 64,
        ..ServerLimits::default()
    }
}

/// Runs a blocking client script against a server, which stops when the script ends.
fn serve<Script>(script: Script) -> Rc<EchoHandler>
where
    Script: FnOnce(SocketAddr) + Send + 'static,
{
    let handler = Rc::new(EchoHandler::default());
    let calls: Rc<dyn CallHandler> = handler.clone();
    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, stop) = StopSignal::new();
        let thread = thread::spawn(move || {
            script(address);
            drop(sender);
        });
        let server = CallerServer::new(calls, limits());
        server.serve(listener, stop).await;
        thread.join().unwrap();
    });
    handler
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    stream
}

/// Sends the parts 20 ms apart and reads until the server closes the connection.
fn exchange(address: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = connect(address);
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            thread::sleep(Duration::from_millis(20));
        }
        // The server may reject the request and close before the last part.
        if stream.write_all(part).is_err() {
            break;
        }
    }
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("the server kept the connection open: {error}"),
    }
    String::from_utf8(bytes).unwrap()
}

fn post(headers: &str) -> Vec<u8> {
    format!("POST /a HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into_bytes()
}

/// Guards against request smuggling, where two parsers interpret a request differently, and against
/// requests that never end.
#[test]
fn invalid_requests_are_rejected_and_closed() {
    let large_head = post(&format!("x-large: {}\r\n", "x".repeat(17_000)));
    let many_headers = post(&"x-many: 1\r\n".repeat(200));
    let cases: Vec<(Vec<u8>, u16)> = vec![
        (
            post("content-length: 3\r\ntransfer-encoding: chunked\r\n").repeat(2),
            400,
        ),
        (post("content-length: 3\r\ncontent-length: 4\r\n"), 400),
        (post("content-length: 3\r\ncontent-length: 3\r\n"), 400),
        (post("content-length: 3, 3\r\n"), 400),
        (post("content-length: -1\r\n"), 400),
        (post("content-length: +3\r\n"), 400),
        (post("content-length: 0x3\r\n"), 400),
        (post("content-length: \r\n"), 400),
        (post("content-length: 99999999999999999999999999\r\n"), 400),
        (post("transfer-encoding: gzip, chunked\r\n"), 400),
        (post("transfer-encoding: identity\r\n"), 400),
        (
            post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"),
            400,
        ),
        (
            b"POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n".to_vec(),
            400,
        ),
        (post("x-folded: a\r\n b\r\n"), 400),
        (post(" x-first: a\r\n"), 400),
        (post("x name: a\r\n"), 400),
        (post("content-length : 3\r\n"), 400),
        (post(": a\r\n"), 400),
        (post("x-bare: a\nx-other: b\r\n"), 400),
        (post("x-bare: a\rb\r\n"), 400),
        (post("x-nul: a\0b\r\n"), 400),
        (post("host: b\r\n"), 400),
        (b"GET  /a HTTP/1.1\r\n\r\n".to_vec(), 400),
        (b"GET /a\r\n\r\n".to_vec(), 400),
        (b"GET /a b HTTP/1.1\r\n\r\n".to_vec(), 400),
        (b"GET /a HTTP/2.0\r\n\r\n".to_vec(), 400),
        (b"GET a HTTP/1.1\r\n\r\n".to_vec(), 400),
        (b"\x16\x03\x01\x02\x00\x01\r\n\r\n".to_vec(), 400),
        (many_headers, 400),
        (post("expect: 200-ok\r\n"), 400),
        (large_head, 413),
        (post("content-length: 1001\r\n"), 413),
        (
            [
                post("transfer-encoding: chunked\r\n"),
                b"200\r\n".to_vec(),
                vec![b'x'; 512],
                b"\r\n200\r\n".to_vec(),
            ]
            .concat(),
            413,
        ),
        (
            [
                post("transfer-encoding: chunked\r\n"),
                b"ffffffffffffff\r\n".to_vec(),
            ]
            .concat(),
            413,
        ),
        (
            [post("transfer-encoding: chunked\r\n"), b"\r\n\r\n".to_vec()].concat(),
            400,
        ),
        (
            [
                post("transfer-encoding: chunked\r\n"),
                b"1;a=b\r\nx\r\n0\r\n\r\n".to_vec(),
            ]
            .concat(),
            400,
        ),
        (
            [
                post("transfer-encoding: chunked\r\n"),
                b"1\r\nxy\r\n0\r\n\r\n".to_vec(),
            ]
            .concat(),
            400,
        ),
        (b"GET /a HTTP/1.1\r\nhost:".to_vec(), 408),
        (post("content-length: 5\r\n"), 408),
        (post("transfer-encoding: chunked\r\n"), 408),
    ];
    let handler = serve(move |address| {
        for (bytes, status) in cases {
            let response = exchange(address, &[&bytes]);
            let start = String::from_utf8_lossy(&bytes[..bytes.len().min(120)]).into_owned();
            let line = format!("HTTP/1.1 {status} ");
            assert!(response.starts_with(&line), "{start:?} gave {response:?}");
            assert!(response.contains("x-outcome: not-run\r\n"), "{response:?}");
            assert!(response.contains("connection: close\r\n"), "{response:?}");
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response:?}");
        }
    });
    assert_eq!(handler.started.get(), 0);
}

/// Guards against valid requests being rejected, answered out of order or not given the connection
/// close or the interim response that they request.
#[test]
fn valid_requests_are_answered_in_order() {
    let close = "connection: close\r\n";
    let ok = |body: &str| {
        let length = body.len();
        format!("content-length: {length}\r\nconnection: close\r\n\r\n{body}")
    };
    let pipelined = [
        post("content-length: 1\r\n"),
        b"1GET /wait/60 HTTP/1.1\r\n\r\nGET /wait/1 HTTP/1.1\r\n\r\n".to_vec(),
        post(close),
    ]
    .concat();
    let chunked = post(&format!("transfer-encoding: chunked\r\n{close}"));
    let expects = post(&format!(
        "expect: 100-continue\r\ncontent-length: 2\r\n{close}"
    ));
    let parts = [&expects[..], b"hi"];
    let split: Vec<&[u8]> = chunked
        .chunks(13)
        .chain([&b"2\r"[..], b"\nab\r\n0\r", b"\n\r\n"])
        .collect();
    let (pipelined, expects, split) = (
        pipelined.clone(),
        parts.map(<[u8]>::to_vec),
        split.into_iter().map(<[u8]>::to_vec).collect::<Vec<_>>(),
    );
    let expected = ok("/a=ab");
    let (interim, old) = (ok("/a=hi"), ok("/old="));
    serve(move |address| {
        let response = exchange(address, &[&pipelined]);
        let bodies: Vec<usize> = ["/a=1", "/wait/60=", "/wait/1=", "\r\n\r\n/a="]
            .iter()
            .map(|body| response.rfind(body).unwrap())
            .collect();
        assert!(bodies.is_sorted(), "{response:?}");
        assert_eq!(
            response.matches("HTTP/1.1 200 OK").count(),
            4,
            "{response:?}"
        );
        assert_eq!(response.matches("x-outcome: ran\r\n").count(), 4);
        assert_eq!(response.matches("retry-after-ms: 7\r\n").count(), 4);
        assert_eq!(response.matches("x-result-code: 0\r\n").count(), 4);

        let parts: Vec<&[u8]> = split.iter().map(Vec::as_slice).collect();
        let response = exchange(address, &parts);
        assert!(response.ends_with(&expected), "{response:?}");

        let parts: Vec<&[u8]> = expects.iter().map(Vec::as_slice).collect();
        let response = exchange(address, &parts);
        assert!(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"));
        assert!(response.ends_with(&interim), "{response:?}");

        let response = exchange(address, &[b"GET /old HTTP/1.0\r\n\r\n"]);
        assert!(response.ends_with(&old), "{response:?}");

        let response = exchange(address, &[b"HEAD /h HTTP/1.0\r\n\r\n"]);
        assert!(response.ends_with("content-length: 3\r\nconnection: close\r\n\r\n"));
    });
}

/// Guards against call headers being dropped, misinterpreted or replaced by defaults.
#[test]
fn call_headers_are_parsed_strictly() {
    let valid = "x-deadline-ms: 250\r\nidempotency-key: k-1\r\nx-first-attempt-age-ms: 0\r\n\
        x-call-depth: 3\r\nx-request-attempt: 1\r\nx-shop: 7\r\nx-hop: 1\r\n\
        x-config-version: 7-00000000000000000000000000000001\r\nconnection: close, x-hop\r\n";
    let handler = serve(move |address| {
        for header in [
            "x-deadline-ms: soon",
            "x-deadline-ms: -1",
            "x-deadline-ms: +1",
            "x-deadline-ms: 1\r\nx-deadline-ms: 2",
            "x-deadline-ms: 99999999999999999999",
            "x-deadline-ms:",
            "idempotency-key:",
            "idempotency-key: a b",
            "x-first-attempt-age-ms: 1s",
            "x-call-depth: 256",
            "x-request-attempt: x",
            "x-config-version: 7",
        ] {
            let bytes = post(&format!("{header}\r\nconnection: close\r\n"));
            let response = exchange(address, &[&bytes]);
            assert!(
                response.starts_with("HTTP/1.1 400 "),
                "{header}: {response:?}"
            );
            assert!(response.contains("x-result-code: 305\r\n"), "{response:?}");
        }
        exchange(address, &[&post(valid)]);
    });
    assert_eq!(handler.started.get(), 1);
    let request = handler.last.borrow_mut().take().unwrap();
    assert_eq!(request.remaining, Some(ClockTime(250)));
    assert_eq!(request.key, Some("k-1".parse().unwrap()));
    assert_eq!(request.first_attempt_age, Some(ClockTime(0)));
    assert_eq!((request.depth, request.attempt), (3, 1));
    assert_eq!(request.stamp.unwrap().number, 7);
    let pair = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let headers = vec![pair("host", "a"), pair("x-shop", "7")];
    assert_eq!(request.headers, headers);
}

/// Guards against calls that continue to run after their caller has disconnected.
#[test]
fn closed_connection_cancels_its_call() {
    let handler = serve(|address| {
        let mut stream = connect(address);
        stream
            .write_all(b"GET /wait/60000 HTTP/1.1\r\n\r\n")
            .unwrap();
        thread::sleep(Duration::from_millis(50));
        drop(stream);
    });
    // The server ends because the call was cancelled; otherwise it would wait for 60 s.
    assert_eq!(handler.cancelled.get(), 1);
}

/// Guards against a shutdown that interrupts running calls or waits for idle connections.
#[test]
fn shutdown_answers_running_calls() {
    let handler = Rc::new(EchoHandler::default());
    let calls: Rc<dyn CallHandler> = handler.clone();
    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, stop) = StopSignal::new();
        let thread = thread::spawn(move || {
            let mut idle = connect(address);
            let mut busy = connect(address);
            busy.write_all(b"GET /wait/200 HTTP/1.1\r\n\r\n").unwrap();
            thread::sleep(Duration::from_millis(50));
            drop(sender);
            assert_eq!(read_all(&mut idle), "");
            let response = read_all(&mut busy);
            assert!(response.contains("connection: close\r\n"), "{response:?}");
            assert!(response.ends_with("/wait/200="), "{response:?}");
            assert!(TcpStream::connect(address).is_err());
        });
        let limits = ServerLimits {
            idle_timeout: ClockTime(60_000),
            ..limits()
        };
        CallerServer::new(calls, limits).serve(listener, stop).await;
        thread.join().unwrap();
    });
    assert_eq!(handler.cancelled.get(), 0);
}

/// Guards against responses being sent to the wrong caller.
#[test]
fn interleaved_callers_get_their_own_responses() {
    serve(|address| {
        let callers: Vec<_> = (0..20)
            .map(|caller| {
                thread::spawn(move || {
                    let mut stream = connect(address);
                    for turn in 0..10 {
                        let delay_ms = (caller * 7 + turn * 3) % 11;
                        let body = format!("{caller:02}-{turn:02}");
                        let request = format!(
                            "POST /wait/{delay_ms} HTTP/1.1\r\ncontent-length: 5\r\n\r\n{body}"
                        );
                        stream.write_all(request.as_bytes()).unwrap();
                        let response = read_until(&mut stream, &format!("/wait/{delay_ms}="), 5);
                        assert!(response.ends_with(&body), "{response:?}");
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.join().unwrap();
        }
    });
}

fn read_until(stream: &mut TcpStream, mark: &str, after: usize) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some(position) = text.find(mark)
            && text.len() == position + mark.len() + after
        {
            return text.into_owned();
        }
    }
}

/// Guards against connections that exhaust the server without sending requests.
#[test]
fn connections_are_bounded_in_number_and_idle_time() {
    serve(|address| {
        let mut idle: Vec<TcpStream> = (0..64).map(|_| connect(address)).collect();
        thread::sleep(Duration::from_millis(50));
        let response = exchange(address, &[]);
        assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
        assert!(response.contains("x-outcome: not-run\r\n"), "{response:?}");
        for stream in &mut idle {
            assert_eq!(read_all(stream), "");
        }
        let response = exchange(address, &[b"GET /again HTTP/1.0\r\n\r\n"]);
        assert!(response.ends_with("/again="), "{response:?}");
    });
}

/// Guards against invalid data pipelined after a request affecting the response to that request.
#[test]
fn invalid_pipelined_data_is_rejected_after_the_response() {
    serve(|address| {
        let mut stream = connect(address);
        stream
            .write_all(b"GET /wait/30 HTTP/1.1\r\n\r\nnonsense\r\n\r\n")
            .unwrap();
        let response = read_all(&mut stream);
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response:?}");
        assert!(response.contains("HTTP/1.1 400 "), "{response:?}");
        let _ = stream.shutdown(Shutdown::Both);
    });
}

struct PageHandler;

impl AdminHandler for PageHandler {
    fn get(&self, path: &str, query: &str) -> AdminPage {
        match path {
            "/v1/explain" => AdminPage::json(200, format!("\"{query}\"")),
            "/large" => AdminPage::text(200, "x".repeat(2_000)),
            _ => AdminPage::text(404, "no such page\n"),
        }
    }
}

/// Guards against the loss of the status, the content type or the query of admin pages.
#[test]
fn admin_pages_reach_the_client() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, stop) = StopSignal::new();
        let server = monoio::spawn(async move {
            let server = AdminServer::new(Rc::new(PageHandler), limits());
            server.serve(listener, stop).await;
        });
        let client = AdminClient::new(ClockTime(1_000), ByteSize(1_000));
        let page = client.get(address, "/v1/explain?method=GET&path=/a").await;
        assert_eq!(page, Ok(AdminPage::json(200, "\"method=GET&path=/a\"")));
        let page = client.get(address, "/absent").await;
        assert_eq!(page, Ok(AdminPage::text(404, "no such page\n")));
        let error = client.get(address, "/large").await.unwrap_err();
        assert_eq!(error.code(), ResultCode::PeerProtocol);
        let error = client.get(address, "/a b").await.unwrap_err();
        assert_eq!(error.code(), ResultCode::MalformedRequest);
        let post = thread::spawn(move || {
            exchange(address, &[b"POST / HTTP/1.0\r\ncontent-length: 0\r\n\r\n"])
        });
        while !post.is_finished() {
            time::sleep(Duration::from_millis(5)).await;
        }
        assert!(post.join().unwrap().starts_with("HTTP/1.1 405 "));
        drop(sender);
        server.await;
        let error = client.get(address, "/absent").await.unwrap_err();
        assert_eq!(error.code(), ResultCode::PeerUnreachable);
    });
}
