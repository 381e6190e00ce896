use std::net::IpAddr;

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Number of nodes that are remembered.
const PEER_LIMIT: usize = 8;

/// The nodes whose views were the freshest, as told by the messages received from them.
///
/// A node whose usual sources fail asks these nodes first: each node talks to many others, so it
/// usually knows one whose view has been refreshed since.
#[derive(Debug, Default)]
pub struct FreshPeers {
    /// Time up to which the view of each node matched the registry, the latest first.
    peers: SmallVec<[(ClockTime, IpAddr); PEER_LIMIT]>,
}

impl FreshPeers {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the view of `node` matched the registry at `read_at`, on the local clock.
    pub fn record(&mut self, node: IpAddr, read_at: ClockTime) {
        match self.peers.iter().position(|(_, peer)| *peer == node) {
            Some(index) if self.peers[index].0 >= read_at => return,
            Some(index) => {
                self.peers.remove(index);
            }
            None => {}
        }
        let place = self.peers.partition_point(|(other, _)| *other > read_at);
        if place >= PEER_LIMIT {
            return;
        }
        self.peers.truncate(PEER_LIMIT - 1);
        self.peers.insert(place, (read_at, node));
    }

    /// Removes a node that did not respond.
    pub fn remove(&mut self, node: IpAddr) {
        self.peers.retain(|(_, peer)| *peer != node);
    }

    /// Returns the nodes whose views are fresher than `read_at`, the freshest first.
    pub fn fresher_than(&self, read_at: ClockTime) -> impl Iterator<Item = IpAddr> + '_ {
        self.peers
            .iter()
            .take_while(move |(other, _)| *other > read_at)
            .map(|(_, peer)| *peer)
    }
}
