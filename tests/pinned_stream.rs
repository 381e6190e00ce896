//! Tests of the stream that HTTP/2 connections between nodes use.

use std::cell::Cell;
use std::future;
use std::io::Write;
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use endivelanding::peer::PinnedStream;
use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;
use tokio::io::{AsyncRead, ReadBuf};

#[path = "support/test_loop.rs"]
mod test_loop;

type Connection = PinnedStream<TallyStream>;

/// Stream that adds up the bytes received, after each read.
struct TallyStream {
    stream: TcpStream,
    received: Rc<Cell<usize>>,
}

impl AsyncReadRent for TallyStream {
    async fn read<Buffer: IoBufMut>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        let (result, buffer) = self.stream.read(buffer).await;
        let count = *result.as_ref().unwrap_or(&0);
        self.received.set(self.received.get() + count);
        (result, buffer)
    }

    async fn readv<Buffer: IoVecBufMut>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        self.stream.readv(buffer).await
    }
}

async fn connect(listener: &StdListener) -> (Connection, StdStream, Rc<Cell<usize>>) {
    let address: SocketAddr = listener.local_addr().expect("address");
    let stream = TcpStream::connect_addr(address).await.expect("connect");
    let (peer, _) = listener.accept().expect("accept");
    let received = Rc::new(Cell::new(0));
    let stream = TallyStream {
        stream,
        received: Rc::clone(&received),
    };
    (PinnedStream::new(stream), peer, received)
}

/// Polls one read; returns the received text, or `None` if the read is pending.
async fn read_once(connection: &mut Connection) -> Option<String> {
    future::poll_fn(|context| Poll::Ready(poll_text(connection, context))).await
}

async fn read(connection: &mut Connection) -> String {
    future::poll_fn(|context| match poll_text(connection, context) {
        Some(text) => Poll::Ready(text),
        None => Poll::Pending,
    })
    .await
}

fn poll_text(connection: &mut Connection, context: &mut Context<'_>) -> Option<String> {
    let mut bytes = [0; 64];
    let mut buffer = ReadBuf::new(&mut bytes);
    match Pin::new(connection).poll_read(context, &mut buffer) {
        Poll::Ready(result) => {
            result.expect("read");
            Some(String::from_utf8_lossy(buffer.filled()).into_owned())
        }
        Poll::Pending => None,
    }
}

/// Guards against a pending read that points to the place where its connection was before it was
/// moved. A second connection takes that place, so such a read counts the bytes for the second.
#[test]
fn a_pending_read_follows_its_connection_when_that_moves() {
    test_loop::block_on(async {
        let listener = StdListener::bind("127.0.0.1:0").expect("bind");
        let (first, mut first_peer, first_count) = connect(&listener).await;
        let (second, mut second_peer, second_count) = connect(&listener).await;
        let mut place = Box::new(Some(first));
        assert_eq!(
            read_once(place.as_mut().as_mut().expect("first")).await,
            None
        );
        let mut first = place.replace(second).expect("first");
        first_peer.write_all(b"for the first").expect("write");
        second_peer.write_all(b"for the second").expect("write");
        assert_eq!(read(&mut first).await, "for the first");
        let second = place.as_mut().as_mut().expect("second");
        assert_eq!(read(second).await, "for the second");
        assert_eq!((first_count.get(), second_count.get()), (13, 14));
    });
}
