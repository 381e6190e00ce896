use std::collections::HashMap;

use crate::id::NodeAddress;
use crate::node::LinkHandle;
use crate::peer::ControlMessage;

/// Holds the links that are up, and those being opened.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    up: HashMap<NodeAddress, ActiveLink>,
    opening: HashMap<NodeAddress, u64>,
    /// Bytes of links that ended since they were last counted.
    ended: Vec<LinkBytes>,
}

/// Counts bytes on the links to one peer.
#[derive(Debug)]
pub(crate) struct LinkBytes {
    pub(crate) peer: NodeAddress,
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

#[derive(Debug)]
struct ActiveLink {
    handle: LinkHandle,
    sent: u64,
    received: u64,
}

impl ActiveLink {
    /// Returns the bytes since the last call of this function.
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
    pub(crate) fn start_opening(&mut self, peer: NodeAddress, link: u64) {
        self.opening.insert(peer, link);
    }

    /// Returns the number of links that are up.
    pub(crate) fn len(&self) -> usize {
        self.up.len()
    }

    /// Returns the bytes on all links since the last call of this function.
    pub(crate) fn take_bytes(&mut self) -> Vec<LinkBytes> {
        let mut bytes = std::mem::take(&mut self.ended);
        bytes.extend(self.up.values_mut().map(ActiveLink::take_bytes));
        bytes
    }

    /// Adds a link that came up; returns false if another link to the peer is kept instead.
    ///
    /// When both sides open a link at the same time, both keep the one opened by the side with
    /// the lower address.
    pub(crate) fn add(&mut self, handle: LinkHandle, own: NodeAddress) -> bool {
        let peer = handle.peer;
        if handle.opened_locally {
            let expected = self.opening.remove(&peer);
            if expected != Some(handle.link) {
                return false;
            }
        }
        if let Some(held) = self.up.get(&peer)
            && held.handle.opened_locally != handle.opened_locally
        {
            let keep_own = own < peer;
            if held.handle.opened_locally == keep_own {
                return false;
            }
        }
        self.end(peer);
        self.up.insert(
            peer,
            ActiveLink {
                handle,
                sent: 0,
                received: 0,
            },
        );
        true
    }

    /// Returns whether this link is the one that is up to the peer.
    pub(crate) fn is_up(&self, peer: NodeAddress, link: u64) -> bool {
        self.up
            .get(&peer)
            .is_some_and(|held| held.handle.link == link)
    }

    /// Removes a link that ended; returns false if the peer has another one.
    pub(crate) fn remove(&mut self, peer: NodeAddress, link: u64) -> bool {
        if self.opening.get(&peer) == Some(&link) {
            self.opening.remove(&peer);
            return !self.up.contains_key(&peer);
        }
        if self.is_up(peer, link) {
            self.end(peer);
            return true;
        }
        false
    }

    /// Closes the link to a peer, or gives up opening it.
    pub(crate) fn close(&mut self, peer: NodeAddress) {
        self.end(peer);
        self.opening.remove(&peer);
    }

    /// Queues a message; returns false if the link does not take it.
    pub(crate) fn send(&mut self, to: NodeAddress, message: ControlMessage) -> bool {
        self.up
            .get_mut(&to)
            .is_none_or(|link| link.handle.send_queue.try_send(message).is_ok())
    }

    fn end(&mut self, peer: NodeAddress) {
        if let Some(mut link) = self.up.remove(&peer) {
            self.ended.push(link.take_bytes());
        }
    }
}
