use std::cell::RefCell;
use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::clock::{ClockTime, SystemClock};
use crate::id::{KindName, NodeAddress, RegionName, RequestKey, ServiceName, ZoneName};
use crate::manifest::Manifest;
use crate::membership::{MemberSnapshot, MemberState};
use crate::routing::{
    CallFinish, CallVerdict, EndpointEntry, EndpointPolicy, EndpointTable, RoundRobin,
};
use crate::size::SlotCount;
use crate::status::EndpointView;

/// Slots assumed for a service that the version in force does not have.
const DEFAULT_SLOTS: SlotCount = SlotCount(1);

/// Holds the endpoint policy of each service that this node calls.
pub(crate) struct LoadBalancer {
    clock: SystemClock,
    zone: ZoneName,
    region: RegionName,
    plain: bool,
    rng: RefCell<StdRng>,
    policies: RefCell<HashMap<ServiceName, Box<dyn EndpointPolicy>>>,
}

impl LoadBalancer {
    pub(crate) fn new(
        clock: SystemClock,
        zone: ZoneName,
        region: RegionName,
        plain: bool,
        seed: u64,
    ) -> Self {
        Self {
            clock,
            zone,
            region,
            plain,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            policies: RefCell::default(),
        }
    }

    /// Takes over changed members and slots.
    pub(crate) fn update(&self, manifest: &Manifest, members: &MemberSnapshot) {
        let now = self.clock.now();
        let mut policies = self.policies.borrow_mut();
        policies.retain(|name, _| manifest.service(name).is_some());
        for service in manifest.services() {
            let entries = endpoint_entries(members, &service.name, service.slots);
            policies
                .entry(service.name.clone())
                .or_insert_with(|| self.new_policy())
                .update(now, &entries);
        }
    }

    /// Chooses an endpoint by load and latency.
    pub(crate) fn choose(
        &self,
        service: &ServiceName,
        exclude: &[NodeAddress],
    ) -> Option<NodeAddress> {
        let mut policies = self.policies.borrow_mut();
        let policy = policies.get_mut(service)?;
        let choice = policy.choose(self.clock.now(), &mut *self.rng.borrow_mut(), exclude)?;
        Some(choice.address)
    }

    /// Chooses the endpoint of a key.
    pub(crate) fn choose_by_hash(
        &self,
        service: &ServiceName,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<NodeAddress> {
        let policies = self.policies.borrow();
        let choice = policies
            .get(service)?
            .choose_by_hash(self.clock.now(), key, exclude)?;
        Some(choice.address)
    }

    /// Records the start of a call; the returned guard records its end.
    pub(crate) fn start(
        &self,
        service: &ServiceName,
        kind: &KindName,
        address: NodeAddress,
    ) -> OutstandingCall<'_> {
        let now = self.clock.now();
        if let Some(policy) = self.policies.borrow_mut().get_mut(service) {
            policy.started(now, address, kind);
        }
        OutstandingCall {
            set: self,
            service: service.clone(),
            kind: kind.clone(),
            address,
            started: now,
            precise_start: self.clock.precise_now(),
            verdict: CallVerdict::Cancelled,
            load: None,
        }
    }

    /// Shows the endpoints of a service as they are seen now.
    pub(crate) fn explain(&self, service: &ServiceName) -> Vec<EndpointView> {
        self.policies
            .borrow()
            .get(service)
            .map(|policy| policy.explain(self.clock.now()))
            .unwrap_or_default()
    }

    fn new_policy(&self) -> Box<dyn EndpointPolicy> {
        if self.plain {
            Box::new(RoundRobin::default())
        } else {
            Box::new(EndpointTable::new(self.zone.clone(), self.region.clone()))
        }
    }
}

/// Reports the end of a call to its policy when dropped: cancelled, unless told otherwise.
pub(crate) struct OutstandingCall<'a> {
    set: &'a LoadBalancer,
    service: ServiceName,
    kind: KindName,
    address: NodeAddress,
    started: ClockTime,
    precise_start: f64,
    verdict: CallVerdict,
    load: Option<u32>,
}

impl OutstandingCall<'_> {
    /// Ends the record with a verdict and the load that the reply carried; returns the latency in ms.
    pub(crate) fn finish(mut self, verdict: CallVerdict, load: Option<u32>) -> f64 {
        self.verdict = verdict;
        self.load = load;
        self.latency_ms()
    }

    fn latency_ms(&self) -> f64 {
        self.set.clock.precise_now() - self.precise_start
    }
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        let finish = CallFinish {
            address: self.address,
            kind: self.kind.clone(),
            started: self.started,
            verdict: self.verdict,
            latency_ms: self.latency_ms(),
            load: self.load,
        };
        if let Some(policy) = self.set.policies.borrow_mut().get_mut(&self.service) {
            policy.finished(self.set.clock.now(), &finish);
        }
    }
}

fn endpoint_entries(
    members: &MemberSnapshot,
    service: &ServiceName,
    slots: SlotCount,
) -> Vec<EndpointEntry> {
    let slots = if slots.0 == 0 { DEFAULT_SLOTS } else { slots };
    members
        .members(service)
        .iter()
        .filter(|view| view.entry.state != MemberState::Gone)
        .map(|view| EndpointEntry {
            address: view.entry.address,
            incarnation: view.entry.incarnation,
            zone: view.entry.zone.clone(),
            region: view.entry.region.clone(),
            state: view.entry.state,
            suspected: view.suspected,
            slots,
        })
        .collect()
}
