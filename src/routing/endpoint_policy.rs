use rand::RngCore;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey};
use crate::routing::{CallCompletion, EndpointChoice, EndpointEntry, KeyOwner};
use crate::status::EndpointView;

/// Load-balancing policy for the endpoints of one service.
///
/// The policy adapts to the results of the calls that are reported to it.
pub trait EndpointPolicy {
    /// Replaces the known endpoints; the statistics of endpoints that remain are kept.
    fn update(&mut self, now: ClockTime, entries: &[EndpointEntry]);

    /// Chooses an endpoint for a call without a key, or returns `None` if all are in `exclude`.
    fn choose(
        &mut self,
        now: ClockTime,
        rng: &mut dyn RngCore,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice>;

    /// Chooses the endpoint of a key by rendezvous hashing, regardless of load and failures.
    ///
    /// Nodes with different member tables may choose different endpoints. At-most-once execution
    /// therefore does not depend on this choice; fencing ensures it.
    fn choose_by_hash(
        &self,
        now: ClockTime,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice>;

    /// Returns the endpoint to which the first attempt with a key is sent, by rendezvous hashing.
    ///
    /// Only the member list decides, not what this node has seen of the endpoints: two first
    /// attempts at the same time are not fenced and must reach the same endpoint.
    fn owner(&self, key: &RequestKey, exclude: &[NodeAddress]) -> Option<KeyOwner>;

    /// Records that a call was sent.
    fn call_started(&mut self, now: ClockTime, address: NodeAddress, kind: &KindName);

    /// Returns the state of every endpoint for diagnostics.
    fn explain(&self, now: ClockTime) -> Vec<EndpointView>;

    /// Records that a call ended; must be called exactly once per `call_started`.
    fn call_finished(&mut self, now: ClockTime, completion: &CallCompletion);
}
