use rand::RngCore;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey};
use crate::routing::{CallCompletion, EndpointChoice, EndpointEntry};
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

    /// Records that a call was sent.
    fn call_started(&mut self, now: ClockTime, address: NodeAddress, kind: &KindName);

    /// Returns the state of every endpoint for diagnostics.
    fn explain(&self, now: ClockTime) -> Vec<EndpointView>;

    /// Records that a call ended; must be called exactly once per `call_started`.
    fn call_finished(&mut self, now: ClockTime, completion: &CallCompletion);
}
