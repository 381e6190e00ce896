use std::io;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::fleet::{DeploymentPlan, EndpointPlan};
use crate::port_range::PortRange;

/// Collects the mappings of the fault proxy that give a fleet its latencies.
///
/// Callers reach each node through a mapping, and the nodes of each region reach the platform
/// through one; those of other regions share the bandwidth of the link. Nodes reach each other
/// directly: for that, each node would need a different address of every peer in another zone.
#[derive(Debug, Clone, Default)]
pub struct LatencyPlan {
    mappings: Vec<Value>,
    groups: Vec<Value>,
}

impl LatencyPlan {
    /// Returns the body of the `POST /mapping` request to the fault proxy.
    #[must_use]
    pub fn request(&self) -> Value {
        json!({ "groups": self.groups, "mappings": self.mappings })
    }

    /// Moves the entries and the platform addresses of the endpoints to mappings.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub(super) fn build(
        deployment: &DeploymentPlan,
        endpoints: &mut [EndpointPlan],
        ports: &mut PortRange,
    ) -> io::Result<LatencyPlan> {
        let mut plan = LatencyPlan::default();
        let link = deployment.link.bits_per_second;
        plan.groups
            .push(json!({ "name": "link", "bits_per_second": link }));
        let mut regions: Vec<&str> = Vec::new();
        for zone in &deployment.zones {
            if !regions.contains(&zone.region.as_str()) {
                regions.push(&zone.region);
            }
        }
        for region in regions {
            let near = region == deployment.platform_region;
            let (group, latency) = if near {
                (None, deployment.latency.zone_ms)
            } else {
                (Some("link"), deployment.latency.region_ms)
            };
            let mut mapped = None;
            for endpoint in endpoints.iter_mut().filter(|entry| entry.region == region) {
                let (config, instances) = match mapped {
                    Some(pair) => pair,
                    None => {
                        let name = format!("config-{region}");
                        let config = plan.add(&name, endpoint.config, group, latency, ports)?;
                        let name = format!("instances-{region}");
                        let target = endpoint.instances;
                        (config, plan.add(&name, target, group, latency, ports)?)
                    }
                };
                mapped = Some((config, instances));
                (endpoint.config, endpoint.instances) = (config, instances);
            }
        }
        for endpoint in endpoints {
            let name = format!("caller-{}", endpoint.name);
            let latency = deployment.latency.client_ms;
            endpoint.entry = plan.add(&name, endpoint.caller, None, latency, ports)?;
        }
        Ok(plan)
    }

    fn add(
        &mut self,
        name: &str,
        target: SocketAddr,
        group: Option<&str>,
        latency: f64,
        ports: &mut PortRange,
    ) -> io::Result<SocketAddr> {
        let listen = ports.address()?;
        self.mappings.push(json!({
            "name": name,
            "listen": listen,
            "target": target,
            "group": group,
            "latency_ms": latency,
        }));
        Ok(listen)
    }
}
