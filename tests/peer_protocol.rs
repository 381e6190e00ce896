//! Tests of the protocol between nodes over loopback sockets.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use endivelanding::ResultCode;
use endivelanding::clock::{ClockTime, SystemClock};
use endivelanding::id::NodeAddress;
use endivelanding::peer::{
    CallCodec, CallHeader, CallResponseHeader, ControlCodec, ControlLink, ControlMessage,
    FenceRequest, FenceResponse, PeerCaller, PeerHandler, PeerPool, PeerServer, PinnedStream,
};
use endivelanding::version::VersionStamp;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder, time};
use proptest::prelude::{ProptestConfig, any, prop, proptest};
use proptest::test_runner::RngSeed;

const BODY_LIMIT: usize = 1 << 20;

fn run<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(test);
}

fn pool() -> PeerPool {
    PeerPool::new(SystemClock::new(), BODY_LIMIT)
}

fn server(handler: &Rc<EchoHandler>) -> PeerServer {
    let address = "127.0.0.1:0".parse().expect("address");
    let handler: Rc<dyn PeerHandler> = Rc::<EchoHandler>::clone(handler);
    PeerServer::bind(address, handler, BODY_LIMIT, SystemClock::new()).expect("bind")
}

fn listener() -> (TcpListener, NodeAddress) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = NodeAddress(listener.local_addr().expect("address"));
    (listener, address)
}

fn header(remaining: u64) -> CallHeader {
    CallHeader {
        sender: "127.0.0.1:1".parse().unwrap(),
        elapsed: ClockTime(0),
        service: "ratecard".parse().expect("service"),
        kind: "price".parse().expect("kind"),
        weight: 1,
        long: false,
        idempotent: true,
        method: "GET".to_owned(),
        path: "/price/7".to_owned(),
        headers: vec![("accept".to_owned(), "text/plain".to_owned())],
        key: None,
        generated_key: false,
        token: 0,
        remaining: ClockTime(remaining),
        stamp: VersionStamp::default(),
        depth: 0,
        attempt: 0,
        body_length: 0,
    }
}

fn reply(length: u64) -> CallResponseHeader {
    CallResponseHeader {
        code: ResultCode::Ok,
        status: 200,
        headers: Vec::new(),
        retry_after: None,
        load: 0,
        stamp: VersionStamp::default(),
        body_length: length,
    }
}

/// Echoes calls after `delay_ms` and counts them.
#[derive(Default)]
struct EchoHandler {
    delay_ms: u64,
    started: Cell<u32>,
    finished: Cell<u32>,
    cancelled: Rc<Cell<u32>>,
    messages: RefCell<Vec<ControlMessage>>,
}

/// Counts a call as cancelled if it is dropped before its flag is set.
struct CancelCounter(Rc<Cell<u32>>, bool);

impl Drop for CancelCounter {
    fn drop(&mut self) {
        if !self.1 {
            self.0.set(self.0.get() + 1);
        }
    }
}

impl PeerHandler for EchoHandler {
    fn call(
        &self,
        _header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, (CallResponseHeader, Bytes)> {
        async move {
            self.started.set(self.started.get() + 1);
            let mut mark = CancelCounter(Rc::clone(&self.cancelled), false);
            if self.delay_ms > 0 {
                time::sleep(Duration::from_millis(self.delay_ms)).await;
            }
            mark.1 = true;
            self.finished.set(self.finished.get() + 1);
            (reply(0), body)
        }
        .boxed_local()
    }

    fn fence(&self, _request: FenceRequest) -> LocalBoxFuture<'_, FenceResponse> {
        async { FenceResponse::Running }.boxed_local()
    }

    fn control(&self, mut link: ControlLink) -> LocalBoxFuture<'_, ()> {
        async move {
            while let Ok(Some(message)) = link.receive().await {
                self.messages.borrow_mut().push(message.clone());
                if link.send(&message).await.is_err() {
                    return;
                }
            }
        }
        .boxed_local()
    }
}

/// Guards against lost or mixed-up bodies of sizes below and above the flow-control windows.
#[test]
fn echoes_calls_and_fences() {
    run(async {
        let handler = Rc::new(EchoHandler::default());
        let server = server(&handler);
        let pool = pool();
        for length in [0, 1, 65_535, 300_000, BODY_LIMIT] {
            let body = Bytes::from(vec![7; length]);
            let response = pool
                .call(server.address(), header(5_000), body.clone())
                .await;
            let (reply, echoed) = response.expect("response");
            assert_eq!(
                (reply.code, reply.body_length),
                (ResultCode::Ok, length as u64)
            );
            assert!(echoed == body, "body of {length} bytes");
        }
        let over = Bytes::from(vec![7; BODY_LIMIT + 1]);
        let response = pool.call(server.address(), header(5_000), over).await;
        assert_eq!(
            response.expect("response").0.code,
            ResultCode::RequestTooLarge
        );
        let request = FenceRequest {
            service: "ratecard".parse().expect("service"),
            key: "k-1".parse().expect("key"),
            token: 9,
            age: ClockTime(10),
        };
        let response = pool
            .fence(server.address(), request, ClockTime(1_000))
            .await;
        assert_eq!(response, Ok(FenceResponse::Running));
        assert_eq!(pool.connection_count(), 1);
        pool.close().await;
        assert_eq!(server.shutdown(ClockTime(1_000)).await, 0);
    });
}

/// Guards against links that carry messages in one direction only and against uncounted bytes, with
/// a message larger than the HTTP/2 flow-control windows.
#[test]
fn carries_control_both_ways() {
    run(async {
        let handler = Rc::new(EchoHandler::default());
        let server = server(&handler);
        let pool = pool();
        let link = pool.open_control(server.address()).await.expect("link");
        let counter = link.counter();
        let (mut sender, mut receiver) = link.split();
        let service: endivelanding::id::ServiceName = "ratecard".parse().expect("service");
        let blob = endivelanding::peer::PieceBlob {
            service,
            bytes: vec![3; 1 << 20],
        };
        for message in [
            ControlMessage::MembersRequest,
            ControlMessage::Pieces(vec![blob]),
        ] {
            sender.send(&message).await.expect("send");
            assert_eq!(receiver.receive().await, Ok(Some(message)));
        }
        assert!(counter.sent() > 1 << 20 && counter.received() > 1 << 20);
        let ended = server.shutdown(ClockTime(2_000)).await;
        assert_eq!(ended, 0);
        assert_eq!(receiver.receive().await, Ok(None));
        drop((sender, receiver));
        pool.close().await;
    });
}

/// Guards against frames that cause unbounded allocation or are decoded incorrectly.
#[test]
fn refuses_invalid_frames() {
    let frame = |length: u32, version: u8, body: &[u8]| {
        let mut frame = BytesMut::new();
        frame.put_u32(length);
        frame.put_u8(version);
        frame.put_slice(body);
        frame
    };
    let table = [
        ("oversize", frame(u32::MAX, 1, &[])),
        ("version", frame(1, 2, &[7])),
        ("trailing bytes", frame(2, 1, &[7, 0])),
        ("empty", frame(0, 1, &[])),
    ];
    for (name, mut buffer) in table {
        let error = ControlCodec::decode::<ControlMessage>(&mut buffer).expect_err(name);
        assert_eq!(error.code(), ResultCode::PeerProtocol, "{name}");
    }
    let mut partial = frame(9, 1, &[5]);
    assert_eq!(
        ControlCodec::decode::<ControlMessage>(&mut partial),
        Ok(None)
    );
    let error = ControlCodec::check_complete(&partial).expect_err("truncated");
    assert_eq!(error.code(), ResultCode::PeerProtocol);
    let error = CallCodec::encode(&vec![0_u8; 65 << 10]).expect_err("oversize");
    assert_eq!(error.code(), ResultCode::PeerProtocol);
}

/// Guards against the execution of calls whose request is invalid or incomplete.
#[test]
fn server_resets_invalid_requests() {
    let mut call_header = header(5_000);
    call_header.body_length = 3;
    let head = CallCodec::encode(&call_header).expect("frame");
    let with_body = |body: &[u8]| [&head[..], body].concat();
    let table = [
        ("oversize", "/call/1", vec![0, 2, 0, 0, 1, 0]),
        ("version", "/call/1", vec![0, 0, 0, 1, 2, 0]),
        ("truncated head", "/fence/1", head[..9].to_vec()),
        ("no head", "/call/1", Vec::new()),
        ("short body", "/call/1", with_body(b"ab")),
        ("long body", "/call/1", with_body(b"abcd")),
        ("unknown path", "/call/2", with_body(b"abc")),
    ];
    run(async {
        let handler = Rc::new(EchoHandler::default());
        let server = server(&handler);
        let stream = TcpStream::connect_addr(server.address().0)
            .await
            .expect("connect");
        let (mut sender, channel) = h2::client::handshake(PinnedStream::new(stream))
            .await
            .expect("handshake");
        let driver = monoio::spawn(async move {
            let _ = channel.await;
        });
        for (name, path, bytes) in table {
            sender = sender.ready().await.expect("ready");
            let request = http::Request::post(format!("http://node{path}"))
                .body(())
                .expect("request");
            let (response, mut stream) = sender.send_request(request, false).expect("stream");
            stream.send_data(Bytes::from(bytes), true).expect("data");
            let error = response.await.expect_err(name);
            assert_eq!(error.reason(), Some(h2::Reason::PROTOCOL_ERROR), "{name}");
        }
        assert_eq!(handler.started.get(), 0);
        drop(sender);
        driver.await;
        server.shutdown(ClockTime(1_000)).await;
    });
}

/// Guards against unbounded buffering for a peer that does not read.
#[test]
fn control_send_waits_for_capacity() {
    run(async {
        let server = server(&Rc::new(EchoHandler::default()));
        let pool = pool();
        let mut link = pool.open_control(server.address()).await.expect("link");
        let blob = endivelanding::peer::PieceBlob {
            service: "ratecard".parse().expect("service"),
            bytes: vec![3; 256 << 10],
        };
        let message = ControlMessage::Pieces(vec![blob]);
        // The echoed messages are never read, so that the peer stops reading too.
        let mut count = 0;
        while let Ok(sent) = time::timeout(Duration::from_millis(500), link.send(&message)).await {
            sent.expect("send");
            count += 1;
            assert!(count < 16, "{count} messages were accepted");
        }
        drop(link);
        pool.close().await;
        server.shutdown(ClockTime(1_000)).await;
    });
}

/// Fault that a test peer injects into its first stream.
#[derive(Clone, Copy)]
enum PeerFault {
    Truncate,
    Lengthen,
    Refuse,
    Disconnect,
    Freeze,
}

/// Serves one connection, injects a fault into its first stream and returns when the client has
/// closed the connection.
async fn serve_with_fault(listener: TcpListener, fault: PeerFault) {
    let (stream, _) = listener.accept().await.expect("accept");
    let mut channel = h2::server::handshake(PinnedStream::new(stream))
        .await
        .expect("handshake");
    let (_request, mut respond) = channel.accept().await.expect("open").expect("stream");
    let length = match fault {
        PeerFault::Truncate => 5,
        PeerFault::Lengthen => 3,
        PeerFault::Refuse => {
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            while channel.accept().await.is_some() {}
            return;
        }
        PeerFault::Disconnect => return,
        PeerFault::Freeze => {
            time::sleep(Duration::from_secs(6)).await;
            return;
        }
    };
    let head = CallCodec::encode(&reply(length)).expect("frame");
    let mut stream = respond
        .send_response(http::Response::new(()), false)
        .expect("response");
    stream.send_data(head, false).expect("head");
    stream
        .send_data(Bytes::from_static(b"four"), true)
        .expect("body");
    while channel.accept().await.is_some() {}
}

/// Guards against result codes that wrongly state whether a call may have run.
#[test]
fn maps_peer_faults_to_result_codes() {
    let table = [
        ("truncated", PeerFault::Truncate, ResultCode::ConnectionLost),
        ("longer", PeerFault::Lengthen, ResultCode::ConnectionLost),
        ("refused", PeerFault::Refuse, ResultCode::PeerUnreachable),
        ("killed", PeerFault::Disconnect, ResultCode::ConnectionLost),
        ("silent", PeerFault::Freeze, ResultCode::ConnectionLost),
    ];
    run(async {
        for (name, fault, code) in table {
            let (listener, address) = listener();
            let peer = monoio::spawn(serve_with_fault(listener, fault));
            let pool = pool();
            let start = Instant::now();
            let response = pool
                .call(address, header(20_000), Bytes::from_static(b"body"))
                .await;
            assert_eq!(response.expect_err(name).code(), code, "{name}");
            assert!(start.elapsed() < Duration::from_secs(5), "{name}");
            pool.close().await;
            peer.await;
        }
    });
}

/// Guards against reporting the outcome as unknown when no part of the call was written.
#[test]
fn reports_unwritten_calls_as_not_run() {
    run(async {
        let (closed, refusing) = listener();
        drop(closed);
        let (_held, silent) = listener();
        let table = [
            (
                "refused connect",
                refusing,
                5_000,
                ResultCode::PeerUnreachable,
            ),
            ("never responds", silent, 5_000, ResultCode::PeerUnreachable),
            ("short deadline", silent, 50, ResultCode::DeadlineTooShort),
            ("no time left", refusing, 0, ResultCode::DeadlineTooShort),
        ];
        for (name, address, remaining, code) in table {
            let pool = pool();
            let response = pool.call(address, header(remaining), Bytes::new()).await;
            assert_eq!(response.expect_err(name).code(), code, "{name}");
            pool.close().await;
        }
    });
}

/// Guards against a sender that is paused past its deadline and writes the call after it resumes.
#[test]
fn paused_sender_writes_nothing_after_its_deadline() {
    run(async {
        let handler = Rc::new(EchoHandler::default());
        let server = server(&handler);
        for reused in [false, true] {
            let pool = pool();
            if reused {
                let response = pool
                    .call(server.address(), header(5_000), Bytes::new())
                    .await;
                assert!(response.is_ok());
            }
            handler.started.set(0);
            let body = Bytes::from(vec![7; BODY_LIMIT]);
            let call = pool.call(server.address(), header(200), body);
            // The futures are polled in turn, so that the pause follows the first poll of the call.
            let pause = async { std::thread::sleep(Duration::from_millis(400)) };
            let (response, ()) = futures_util::future::join(call, pause).await;
            let code = response.expect_err("late").code();
            let expected = if reused {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::DeadlineTooShort
            };
            assert_eq!(code, expected, "reused connection: {reused}");
            time::sleep(Duration::from_millis(200)).await;
            assert_eq!(handler.started.get(), 0, "reused connection: {reused}");
            pool.close().await;
        }
        server.shutdown(ClockTime(1_000)).await;
    });
}

/// Guards against cancelled calls that continue to run, and against late responses.
#[test]
fn cancels_dropped_and_expired_calls() {
    run(async {
        let handler = Rc::new(EchoHandler {
            delay_ms: 10_000,
            ..EchoHandler::default()
        });
        let server = server(&handler);
        let pool = pool();
        let call = pool.call(server.address(), header(8_000), Bytes::new());
        assert!(
            time::timeout(Duration::from_millis(300), call)
                .await
                .is_err()
        );
        let expired = pool.call(server.address(), header(300), Bytes::new()).await;
        assert_eq!(
            expired.expect_err("expired").code(),
            ResultCode::DeadlinePassed
        );
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!((handler.started.get(), handler.cancelled.get()), (2, 2));
        assert_eq!(handler.finished.get(), 0);
        pool.close().await;
        server.shutdown(ClockTime(1_000)).await;
    });
}

/// Guards against a shutdown that interrupts a running call, and against new calls after it.
#[test]
fn shutdown_finishes_running_calls() {
    run(async {
        let handler = Rc::new(EchoHandler {
            delay_ms: 500,
            ..EchoHandler::default()
        });
        let server = server(&handler);
        let address = server.address();
        let pool = Rc::new(pool());
        let caller = Rc::clone(&pool);
        let call =
            monoio::spawn(async move { caller.call(address, header(5_000), Bytes::new()).await });
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(handler.started.get(), 1);
        assert_eq!(server.shutdown(ClockTime(3_000)).await, 0);
        assert!(call.await.is_ok());
        let late = pool.call(address, header(1_000), Bytes::new()).await;
        assert_eq!(late.expect_err("late").code(), ResultCode::PeerUnreachable);
        pool.close().await;
    });
}

/// Guards against an unbounded number of connections, a second connection to the same peer, and the
/// use of a connection that ended when the peer was restarted.
#[test]
fn pool_shares_evicts_and_replaces_connections() {
    run(async {
        let handler = Rc::new(EchoHandler {
            delay_ms: 50,
            ..EchoHandler::default()
        });
        let servers = [server(&handler), server(&handler), server(&handler)];
        let pool = pool().with_connection_limit(2);
        let call = |index: usize| pool.call(servers[index].address(), header(5_000), Bytes::new());
        let (first, second) = futures_util::future::join(call(0), call(0)).await;
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(pool.connection_count(), 1);
        let responses = futures_util::future::join3(call(0), call(1), call(2)).await;
        assert!(responses.0.is_ok() && responses.1.is_ok());
        let full = responses.2.expect_err("both connections are in use");
        assert_eq!(full.code(), ResultCode::PeerUnreachable);
        for index in [2, 1, 0] {
            call(index).await.expect("response after an eviction");
            assert_eq!(pool.connection_count(), 2);
        }
        let [stopped, ..] = servers;
        let address = stopped.address();
        stopped.shutdown(ClockTime(1_000)).await;
        let handler: Rc<dyn PeerHandler> = handler;
        let restarted = PeerServer::bind(address, handler, BODY_LIMIT, SystemClock::new());
        let restarted = restarted.expect("bind again");
        let response = pool.call(address, header(5_000), Bytes::new()).await;
        assert!(response.is_ok(), "{response:?}");
        pool.close().await;
        restarted.shutdown(ClockTime(1_000)).await;
    });
}

/// Guards against a reconnection storm that occupies the thread with handshakes.
#[test]
fn closes_connections_above_the_handshake_rate() {
    run(async {
        let server = server(&Rc::new(EchoHandler::default()));
        let mut streams = Vec::new();
        for _ in 0..60 {
            streams.push(
                TcpStream::connect_addr(server.address().0)
                    .await
                    .expect("connect"),
            );
        }
        let mut closed = 0;
        for mut stream in streams {
            let buffer = vec![0; 64];
            let read = monoio::io::AsyncReadRent::read(&mut stream, buffer);
            // An accepted connection starts with the server's SETTINGS frame.
            if !matches!(
                time::timeout(Duration::from_secs(1), read).await,
                Ok((Ok(1..), _))
            ) {
                closed += 1;
            }
        }
        assert_eq!(closed, 10);
        server.shutdown(ClockTime(100)).await;
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(603),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics of the decoder on arbitrary bytes.
    #[test]
    fn decoder_tolerates_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let mut raw = BytesMut::from(&bytes[..]);
        let _ = ControlCodec::decode::<ControlMessage>(&mut raw);
        let mut framed = BytesMut::new();
        framed.put_u32(bytes.len() as u32);
        framed.put_u8(1);
        framed.put_slice(&bytes);
        let _ = ControlCodec::decode::<ControlMessage>(&mut framed.clone());
        let _ = CallCodec::decode::<CallHeader>(&mut framed.clone());
        let _ = CallCodec::decode::<FenceRequest>(&mut framed);
    }
}
