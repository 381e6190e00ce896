use serde_json::Value;

use crate::fleet::{DeploymentPlan, ServiceEntry};
use crate::load::LoadProfile;

/// Upper bound of the throughput that the slots of a deployment allow, assuming no losses from
/// queueing or refusals.
#[derive(Debug)]
pub struct CapacityBound {
    services: Vec<ServiceLoad>,
}

#[derive(Debug)]
struct ServiceLoad {
    slots: f64,
    kinds: Vec<KindDemand>,
}

#[derive(Debug)]
struct KindDemand {
    name: String,
    deadline_seconds: f64,
    share: f64,
    weight: f64,
    service_seconds: f64,
}

impl CapacityBound {
    /// Determines the service and the service time of each kind of a profile.
    #[must_use]
    pub fn new(deployment: &DeploymentPlan, manifest: &Value, profile: &LoadProfile) -> Self {
        let total: f64 = profile.kinds.iter().map(|kind| kind.share).sum();
        let services = deployment.services.iter().map(|service| {
            let kinds = profile.kinds.iter().filter(|kind| {
                let mut routes = manifest["routes"].as_array().into_iter().flatten();
                routes.any(|route| {
                    route["service"] == service.name.as_str() && route["kind"] == kind.name.as_str()
                })
            });
            let kinds = kinds.map(|kind| KindDemand {
                name: kind.name.clone(),
                deadline_seconds: kind.deadline_ms as f64 / 1_000.0,
                share: kind.share / total,
                weight: kind.weight,
                service_seconds: service_seconds(service, &kind.path),
            });
            ServiceLoad {
                slots: (service.endpoints * service.slots) as f64,
                kinds: kinds.collect(),
            }
        });
        CapacityBound {
            services: services.collect(),
        }
    }

    /// Returns the rate in calls per second at which the first service runs out of slots.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rates = self.services.iter().map(|service| {
            let demand = service
                .kinds
                .iter()
                .map(|kind| kind.share * kind.service_seconds);
            service.slots / demand.sum::<f64>()
        });
        rates.fold(f64::INFINITY, f64::min)
    }

    /// Returns the maximum weighted goodput per second for the calls that a report counts as sent.
    ///
    /// Each service assigns its slots to the kinds in descending order of weight per slot time,
    /// from the start of the load to the latest deadline of its kinds.
    #[must_use]
    pub fn goodput(&self, report: &Value, seconds: f64) -> f64 {
        let mut weighted_goodput = 0.0;
        for service in &self.services {
            let latest = service.kinds.iter().map(|kind| kind.deadline_seconds);
            let latest = latest.fold(0.0, f64::max);
            let mut slot_seconds = service.slots * (seconds + latest);
            let mut kinds: Vec<_> = service.kinds.iter().collect();
            kinds.sort_by(|one, two| {
                let weight_per_second = |kind: &KindDemand| kind.weight / kind.service_seconds;
                weight_per_second(two).total_cmp(&weight_per_second(one))
            });
            for kind in kinds {
                let sent = report["kinds"][&kind.name]["sent"].as_f64().unwrap_or(0.0);
                let calls = sent.min(slot_seconds / kind.service_seconds);
                slot_seconds -= calls * kind.service_seconds;
                weighted_goodput += calls * kind.weight;
            }
        }
        weighted_goodput / seconds
    }
}

fn service_seconds(service: &ServiceEntry, path: &str) -> f64 {
    let matching = service
        .work
        .iter()
        .filter(|work| path.starts_with(&work.prefix));
    let work = matching.max_by_key(|work| work.prefix.len());
    work.map_or(1.0, |work| work.time_ms) / 1_000.0
}
