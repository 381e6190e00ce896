use std::cell::Cell;

/// Byte counts of one connection in both directions.
///
/// The counts cover the TCP payload: the HTTP/2 preface and every HTTP/2 frame with its header. TCP
/// and IP headers and retransmissions are not included.
#[derive(Debug, Default)]
pub struct ByteCounter {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl ByteCounter {
    /// Returns the number of bytes written to the socket.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Returns the number of bytes read from the socket.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    pub(crate) fn add_sent(&self, count: usize) {
        self.sent.set(self.sent.get() + count as u64);
    }

    pub(crate) fn add_received(&self, count: usize) {
        self.received.set(self.received.get() + count as u64);
    }
}
