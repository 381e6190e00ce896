use rand::RngCore;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey};
use crate::membership::MemberState;
use crate::routing::rendezvous_hash;
use crate::routing::{
    CallCompletion, EndpointChoice, EndpointEntry, EndpointPolicy, EndpointTier, KeyOwner,
};
use crate::status::EndpointView;

/// Round-robin policy that ignores load, latency and locality; serves as a baseline for comparison.
#[derive(Debug, Default)]
pub struct RoundRobin {
    addresses: Vec<NodeAddress>,
    position: usize,
}

impl EndpointPolicy for RoundRobin {
    fn update(&mut self, _now: ClockTime, entries: &[EndpointEntry]) {
        let entries = entries.iter();
        let live = entries.filter(|entry| entry.state == MemberState::Live);
        self.addresses = live.map(|entry| entry.address).collect();
    }

    fn choose(
        &mut self,
        _now: ClockTime,
        _rng: &mut dyn RngCore,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice> {
        for _ in 0..self.addresses.len() {
            self.position = (self.position + 1) % self.addresses.len();
            let address = self.addresses[self.position];
            if !exclude.contains(&address) {
                return Some(choice_of(address));
            }
        }
        None
    }

    fn choose_by_hash(
        &self,
        _now: ClockTime,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice> {
        let addresses = self.addresses.iter().copied();
        addresses
            .filter(|address| !exclude.contains(address))
            .max_by_key(|address| rendezvous_hash::weight(key, *address))
            .map(choice_of)
    }

    fn owner(&self, key: &RequestKey, exclude: &[NodeAddress]) -> Option<KeyOwner> {
        let choice = self.choose_by_hash(ClockTime(0), key, exclude)?;
        Some(KeyOwner {
            address: choice.address,
            suspected: false,
        })
    }

    fn explain(&self, _now: ClockTime) -> Vec<EndpointView> {
        self.addresses
            .iter()
            .map(|address| EndpointView {
                address: *address,
                zone: None,
                state: "live".to_owned(),
                in_flight: 0,
                load: 0,
                slowness: 1.0,
            })
            .collect()
    }

    fn call_started(&mut self, _now: ClockTime, _address: NodeAddress, _kind: &KindName) {}

    fn call_finished(&mut self, _now: ClockTime, _completion: &CallCompletion) {}
}

fn choice_of(address: NodeAddress) -> EndpointChoice {
    EndpointChoice {
        address,
        tier: EndpointTier::Zone,
    }
}
