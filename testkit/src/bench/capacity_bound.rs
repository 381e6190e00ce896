use serde_json::Value;

use crate::fleet::{DeploymentPlan, ServiceEntry};
use crate::load::LoadProfile;

/// Works out what the slots of a deployment allow, without queues, refusals or other losses.
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
    deadline: f64,
    share: f64,
    weight: f64,
    seconds: f64,
}

impl CapacityBound {
    /// Finds the service and the service time of each kind of a profile.
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
                deadline: kind.deadline_ms as f64 / 1_000.0,
                share: kind.share / total,
                weight: kind.weight,
                seconds: seconds_of(service, &kind.path),
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

    /// Returns the rate in calls per second at which the first service has no slot left.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rates = self.services.iter().map(|service| {
            let demand = service.kinds.iter().map(|kind| kind.share * kind.seconds);
            service.slots / demand.sum::<f64>()
        });
        rates.fold(f64::INFINITY, f64::min)
    }

    /// Returns the largest weighted goodput per second of the calls that a report counts as sent.
    ///
    /// Each service fills its slots with the kinds of the most weight per slot time first, from
    /// the start of the load to the latest deadline of its kinds.
    #[must_use]
    pub fn goodput(&self, report: &Value, seconds: f64) -> f64 {
        let mut value = 0.0;
        for service in &self.services {
            let latest = service.kinds.iter().map(|kind| kind.deadline);
            let latest = latest.fold(0.0, f64::max);
            let mut slots = service.slots * (seconds + latest);
            let mut kinds: Vec<_> = service.kinds.iter().collect();
            kinds.sort_by(|one, two| {
                let worth = |kind: &KindDemand| kind.weight / kind.seconds;
                worth(two).total_cmp(&worth(one))
            });
            for kind in kinds {
                let sent = report["kinds"][&kind.name]["sent"].as_f64().unwrap_or(0.0);
                let calls = sent.min(slots / kind.seconds);
                slots -= calls * kind.seconds;
                value += calls * kind.weight;
            }
        }
        value / seconds
    }
}

fn seconds_of(service: &ServiceEntry, path: &str) -> f64 {
    let matching = service
        .work
        .iter()
        .filter(|work| path.starts_with(&work.prefix));
    let work = matching.max_by_key(|work| work.prefix.len());
    work.map_or(1.0, |work| work.time_ms) / 1_000.0
}
