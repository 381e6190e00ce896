use std::future;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::memory::{ClaimId, MemoryAccount};

/// Bytes that a message holds, released on drop.
///
/// ```
/// use endivelanding::clock::SystemClock;
/// use endivelanding::memory::MemoryAccount;
/// use endivelanding::size::ByteSize;
///
/// let account = MemoryAccount::new(SystemClock::new(), ByteSize(1_000_000));
/// let claim = account.claim(900_000).expect("room");
/// assert!(account.claim(900_000).is_none());
/// drop(claim);
/// assert_eq!(account.used(), 0);
/// ```
#[derive(Debug)]
pub struct MemoryClaim {
    account: Rc<MemoryAccount>,
    id: ClaimId,
    /// Receiver of the eviction, while the message is incomplete.
    eviction: Option<oneshot::Receiver<()>>,
}

impl MemoryClaim {
    pub(super) fn new(account: Rc<MemoryAccount>, id: ClaimId) -> Self {
        Self {
            account,
            id,
            eviction: None,
        }
    }

    /// Changes the size; returns false, and keeps the size, if there is no room.
    #[must_use]
    pub fn resize(&self, size: u64) -> bool {
        self.account.resize(self.id, size)
    }

    /// Marks the message as incomplete: it gives way to others if it is stalled.
    pub fn begin(&mut self) {
        if self.eviction.is_none() {
            self.eviction = Some(self.account.begin(self.id));
        }
    }

    /// Records that more of an incomplete message has arrived or was sent.
    pub fn record_progress(&self) {
        if self.eviction.is_some() {
            self.account.record_progress(self.id);
        }
    }

    /// Marks the message as complete.
    pub fn complete(&mut self) {
        if self.eviction.take().is_some() {
            self.account.complete(self.id);
        }
    }

    /// Moves bytes to a claim of a complete message.
    #[must_use]
    pub fn split(&self, size: u64) -> Self {
        let id = self.account.split(self.id, size);
        Self::new(Rc::clone(&self.account), id)
    }

    /// Waits until an incomplete message gives way to others.
    pub async fn evicted(&mut self) {
        match &mut self.eviction {
            // The account drops the sender only together with the claim, or sends.
            Some(eviction) => {
                let _ = eviction.await;
            }
            None => future::pending().await,
        }
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        self.account.close(self.id);
    }
}
