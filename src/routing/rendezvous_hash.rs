use crate::id::{NodeAddress, RequestKey};

/// Returns the rendezvous weight of an endpoint for a key; the endpoint with the largest weight is
/// chosen.
pub(super) fn weight(key: &RequestKey, address: NodeAddress) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(address.to_string().as_bytes());
    let mut prefix = [0; 8];
    hasher.finalize_xof().fill(&mut prefix);
    u64::from_le_bytes(prefix)
}
