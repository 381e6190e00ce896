use std::hash::{DefaultHasher, Hash, Hasher};

use smallvec::SmallVec;

/// Maximum number of refused requests that one connection records.
const MAX_REFUSED_COUNT: usize = 64;

/// Record of the requests that were refused on one connection.
///
/// A late copy of a refusal carries the identifier of its request, so only a request with another
/// identifier can be distinguished from it.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    /// Hashes of the identifiers. Equal hashes of two identifiers only cost a new connection.
    hashes: SmallVec<[u64; 4]>,
}

impl RefusedRequests {
    /// Records a refused request; returns false if no more can be recorded.
    pub(crate) fn record(&mut self, id: &str) -> bool {
        if self.hashes.len() >= MAX_REFUSED_COUNT {
            return false;
        }
        self.hashes.push(hash(id));
        true
    }

    /// Returns whether a request with this identifier was refused.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash(id))
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
