use std::collections::HashMap;

use crate::id::NodeAddress;
use crate::node::LinkHandle;
use crate::peer::ControlMessage;

/// The control links of a node: those that are established and those being opened.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    active: HashMap<NodeAddress, ActiveLink>,
    opening: HashMap<NodeAddress, u64>,
    /// Bytes of closed links that [`Self::take_bytes`] has not returned yet.
    closed_bytes: Vec<LinkBytes>,
}

/// Bytes transferred on a link to one peer.
#[derive(Debug)]
pub(crate) struct LinkBytes {
    pub(crate) peer: NodeAddress,
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// An established link, with the bytes that [`Self::take_bytes`] has returned so far.
#[derive(Debug)]
struct ActiveLink {
    handle: LinkHandle,
    sent: u64,
    received: u64,
}

impl ActiveLink {
    /// Returns the bytes transferred since the last call.
    fn take_bytes(&mut self) -> LinkBytes {
        let (sent, received) = (self.handle.counter.sent(), self.handle.counter.received());
        let bytes = LinkBytes {
            peer: self.handle.peer,
            sent: sent - self.sent,
            received: received - self.received,
        };
        (self.sent, self.received) = (sent, received);
        bytes
    }
}

impl LinkTable {
    /// Records that a link is being opened.
    pub(crate) fn start_opening(&mut self, peer: NodeAddress, link_id: u64) {
        self.opening.insert(peer, link_id);
    }

    /// Returns the number of established links.
    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns the bytes transferred on all links since the last call.
    pub(crate) fn take_bytes(&mut self) -> Vec<LinkBytes> {
        let mut bytes = std::mem::take(&mut self.closed_bytes);
        bytes.extend(self.active.values_mut().map(ActiveLink::take_bytes));
        bytes
    }

    /// Adds an established link. Returns false if it is rejected: either another link to the peer
    /// is kept, or the attempt to open this one has been abandoned.
    ///
    /// If both sides open a link at the same time, both keep the one opened by the node with the
    /// lower address.
    pub(crate) fn add(&mut self, handle: LinkHandle, own: NodeAddress) -> bool {
        let peer = handle.peer;
        if handle.opened_locally {
            let expected = self.opening.remove(&peer);
            if expected != Some(handle.link_id) {
                return false;
            }
        }
        if let Some(existing) = self.active.get(&peer)
            && existing.handle.opened_locally != handle.opened_locally
        {
            let keep_local = own < peer;
            if existing.handle.opened_locally == keep_local {
                return false;
            }
        }
        self.close_active(peer);
        self.active.insert(
            peer,
            ActiveLink {
                handle,
                sent: 0,
                received: 0,
            },
        );
        true
    }

    /// Returns whether this is the established link to the peer.
    pub(crate) fn is_active(&self, peer: NodeAddress, link_id: u64) -> bool {
        self.active
            .get(&peer)
            .is_some_and(|existing| existing.handle.link_id == link_id)
    }

    /// Removes a closed or failed link. Returns false if the peer has another established link or
    /// the link is not in the table.
    pub(crate) fn remove(&mut self, peer: NodeAddress, link_id: u64) -> bool {
        if self.opening.get(&peer) == Some(&link_id) {
            self.opening.remove(&peer);
            return !self.active.contains_key(&peer);
        }
        if self.is_active(peer, link_id) {
            self.close_active(peer);
            return true;
        }
        false
    }

    /// Closes the established link to a peer and abandons one that is being opened.
    pub(crate) fn close(&mut self, peer: NodeAddress) {
        self.close_active(peer);
        self.opening.remove(&peer);
    }

    /// Queues a message. Returns false if the link is closed or its send queue is full.
    ///
    /// A message to a peer without an established link is dropped and returns true.
    pub(crate) fn send(&mut self, to: NodeAddress, message: ControlMessage) -> bool {
        self.active
            .get_mut(&to)
            .is_none_or(|link| link.handle.send_queue.try_send(message).is_ok())
    }

    fn close_active(&mut self, peer: NodeAddress) {
        if let Some(mut link) = self.active.remove(&peer) {
            self.closed_bytes.push(link.take_bytes());
        }
    }
}
