use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

use crate::peer::ByteCounter;

/// TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counter: Rc<ByteCounter>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, counter: Rc<ByteCounter>) -> Self {
        // Nagle's algorithm would delay small frames by up to 40 ms.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        Self { stream, counter }
    }
}

impl AsyncReadRent for CountedStream {
    async fn read<Buffer: IoBufMut>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        let (result, buffer) = self.stream.read(buffer).await;
        self.counter.add_received(*result.as_ref().unwrap_or(&0));
        (result, buffer)
    }

    async fn readv<Buffer: IoVecBufMut>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        let (result, buffer) = self.stream.readv(buffer).await;
        self.counter.add_received(*result.as_ref().unwrap_or(&0));
        (result, buffer)
    }
}

impl AsyncWriteRent for CountedStream {
    async fn write<Buffer: IoBuf>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        let (result, buffer) = self.stream.write(buffer).await;
        self.counter.add_sent(*result.as_ref().unwrap_or(&0));
        (result, buffer)
    }

    async fn writev<Buffer: IoVecBuf>(&mut self, buffer: Buffer) -> BufResult<usize, Buffer> {
        let (result, buffer) = self.stream.writev(buffer).await;
        self.counter.add_sent(*result.as_ref().unwrap_or(&0));
        (result, buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
