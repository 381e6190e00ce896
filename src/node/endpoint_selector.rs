use std::cell::RefCell;
use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::clock::{ClockTime, SystemClock};
use crate::id::{KindName, NodeAddress, RegionName, RequestKey, ServiceName, ZoneName};
use crate::manifest::Manifest;
use crate::membership::{MemberSnapshot, MemberState};
use crate::routing::{
    CallCompletion, CompletionStatus, EndpointEntry, EndpointPolicy, EndpointTable, KeyOwner,
    RoundRobin,
};
use crate::size::SlotCount;
use crate::status::EndpointView;

/// Slots per endpoint assumed for a service whose manifest entry sets none.
const DEFAULT_SLOTS: SlotCount = SlotCount(1);

/// Selector of endpoints for calls, with one policy for each service in the manifest.
pub(crate) struct EndpointSelector {
    clock: SystemClock,
    zone: ZoneName,
    region: RegionName,
    plain_policy: bool,
    rng: RefCell<StdRng>,
    policies: RefCell<HashMap<ServiceName, Box<dyn EndpointPolicy>>>,
}

impl EndpointSelector {
    pub(crate) fn new(
        clock: SystemClock,
        zone: ZoneName,
        region: RegionName,
        plain_policy: bool,
        seed: u64,
    ) -> Self {
        Self {
            clock,
            zone,
            region,
            plain_policy,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            policies: RefCell::default(),
        }
    }

    /// Applies a changed manifest or member list.
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

    /// Chooses the endpoint for an idempotency key by hash.
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

    /// Returns the endpoint to which the first attempt with a key is sent.
    pub(crate) fn owner(
        &self,
        service: &ServiceName,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<KeyOwner> {
        let policies = self.policies.borrow();
        policies.get(service)?.owner(key, exclude)
    }

    /// Records the start of a call. The returned guard records its end.
    pub(crate) fn start(
        &self,
        service: &ServiceName,
        kind: &KindName,
        address: NodeAddress,
    ) -> OutstandingCall<'_> {
        let now = self.clock.now();
        if let Some(policy) = self.policies.borrow_mut().get_mut(service) {
            policy.call_started(now, address, kind);
        }
        OutstandingCall {
            selector: self,
            service: service.clone(),
            kind: kind.clone(),
            address,
            started: now,
            started_ms: self.clock.elapsed_ms(),
            status: CompletionStatus::Cancelled,
            load: None,
        }
    }

    /// Returns the state of each endpoint of a service, for the admin pages.
    pub(crate) fn explain(&self, service: &ServiceName) -> Vec<EndpointView> {
        self.policies
            .borrow()
            .get(service)
            .map(|policy| policy.explain(self.clock.now()))
            .unwrap_or_default()
    }

    fn new_policy(&self) -> Box<dyn EndpointPolicy> {
        if self.plain_policy {
            Box::new(RoundRobin::default())
        } else {
            Box::new(EndpointTable::new(self.zone.clone(), self.region.clone()))
        }
    }
}

/// Guard that reports the end of a call to its policy when dropped: as cancelled unless
/// [`finish`](Self::finish) was called.
pub(crate) struct OutstandingCall<'a> {
    selector: &'a EndpointSelector,
    service: ServiceName,
    kind: KindName,
    address: NodeAddress,
    started: ClockTime,
    started_ms: f64,
    status: CompletionStatus,
    load: Option<u32>,
}

impl OutstandingCall<'_> {
    /// Ends the call with a status and the load reported in the response, and returns the latency
    /// in ms.
    pub(crate) fn finish(mut self, status: CompletionStatus, load: Option<u32>) -> f64 {
        self.status = status;
        self.load = load;
        self.latency_ms()
    }

    fn latency_ms(&self) -> f64 {
        self.selector.clock.elapsed_ms() - self.started_ms
    }
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        let completion = CallCompletion {
            address: self.address,
            kind: self.kind.clone(),
            started: self.started,
            status: self.status,
            latency_ms: self.latency_ms(),
            load: self.load,
        };
        if let Some(policy) = self.selector.policies.borrow_mut().get_mut(&self.service) {
            policy.call_finished(self.selector.clock.now(), &completion);
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
