use std::cell::Cell;

/// Counts the bytes of one connection in both directions.
///
/// The bytes are the payload of TCP: h2 preface, frame headers, settings, pings and the project's
/// own frames. TCP and IP headers and retransmissions are not included.
#[derive(Debug, Default)]
pub struct ByteCounter {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl ByteCounter {
    /// Returns the number of bytes handed to the socket.
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
