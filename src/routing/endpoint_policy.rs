use rand::RngCore;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey};
use crate::routing::{CallCompletion, EndpointChoice, EndpointEntry};
use crate::status::EndpointView;

/// Chooses endpoints of one service and learns from the calls sent to them.
pub trait EndpointPolicy {
    /// Replaces the known endpoints; what was learned of endpoints that stay is kept.
    fn update(&mut self, now: ClockTime, entries: &[EndpointEntry]);

    /// Returns an endpoint for a call without a key, or `None` if there is none besides `exclude`.
    fn choose(
        &mut self,
        now: ClockTime,
        rng: &mut dyn RngCore,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice>;

    /// Returns the endpoint of a key by rendezvous hash.
    ///
    /// Nodes with different views may choose differently, so at-most-once does not rest on this
    /// choice but on fences.
    fn choose_by_hash(
        &self,
        now: ClockTime,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice>;

    /// Records that a call was sent.
    fn call_started(&mut self, now: ClockTime, address: NodeAddress, kind: &KindName);

    /// Shows every endpoint as the policy sees it, for operators.
    fn explain(&self, now: ClockTime) -> Vec<EndpointView>;

    /// Records that a call ended; every `call_started` needs exactly one `call_finished`.
    fn call_finished(&mut self, now: ClockTime, finish: &CallCompletion);
}
