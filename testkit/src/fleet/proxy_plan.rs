use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::fleet::{DeploymentPlan, EndpointPlan, PeerLinkScope};
use crate::port_range::PortRange;

/// Collects the mappings of the fault proxy that give a fleet its latencies.
///
/// Callers reach each node through a mapping, and the nodes of each region reach the platform
/// through one; those of other regions share the bandwidth of the link. Nodes reach each other
/// directly until peer mappings are added, which each node learns from its table `[dial]`.
#[derive(Debug, Clone, Default)]
pub struct ProxyPlan {
    mappings: Vec<Value>,
    groups: Vec<Value>,
}

impl ProxyPlan {
    /// Returns the body of the `POST /mapping` request to the fault proxy.
    #[must_use]
    pub fn request(&self) -> Value {
        json!({ "groups": self.groups, "mappings": self.mappings })
    }

    /// Returns the names of the mappings from one place to another; the scope of the peer mappings
    /// tells whether a place is a region, a zone or a node.
    #[must_use]
    pub fn peer_mappings(&self, from: &str, to: &str) -> Vec<String> {
        let prefix = format!("peer {from}>{to} ");
        let names = self
            .mappings
            .iter()
            .filter_map(|entry| entry["name"].as_str());
        names
            .filter(|name| name.starts_with(&prefix))
            .map(str::to_owned)
            .collect()
    }

    /// Adds a mapping from each place to every node of each other place, with the latency of the
    /// deployment; those between regions share the bandwidth of the link.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub(super) fn add_peers(
        &mut self,
        deployment: &DeploymentPlan,
        endpoints: &mut [EndpointPlan],
        scope: PeerLinkScope,
        ports: &mut PortRange,
    ) -> io::Result<()> {
        let targets = endpoints.to_vec();
        let mut mapped = BTreeMap::<String, SocketAddr>::new();
        for endpoint in endpoints {
            for target in &targets {
                let (from, to) = (scope.place(endpoint), scope.place(target));
                if from == to {
                    continue;
                }
                let (group, latency) = if endpoint.region != target.region {
                    (Some("link"), deployment.latency.region_ms)
                } else if endpoint.zone != target.zone {
                    (None, deployment.latency.zone_ms)
                } else {
                    (None, 0.0)
                };
                let name = format!("peer {from}>{to} {}", target.name);
                let address = match mapped.get(&name) {
                    Some(address) => *address,
                    None => self.add(&name, target.peer, group, latency, ports)?,
                };
                mapped.insert(name, address);
                endpoint.dial.push((target.peer, address));
            }
        }
        Ok(())
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
    ) -> io::Result<ProxyPlan> {
        let mut plan = ProxyPlan::default();
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
