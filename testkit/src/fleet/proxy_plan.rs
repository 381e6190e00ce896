use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::fleet::{DeploymentPlan, EndpointPlan, PeerLinkScope};
use crate::port_range::PortRange;

/// Mappings of the fault proxy that apply the latencies of a deployment.
///
/// Callers reach each node through a mapping of its own. The nodes of a region share one mapping to
/// each platform service; mappings from regions without the platform share the bandwidth of the
/// link. Nodes connect to each other directly unless peer mappings are added, which are passed to
/// each node in the `[dial]` table of its settings.
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

    /// Returns the names of the mappings from one location to another; the scope of the peer
    /// mappings determines whether a location is a region, a zone or a node.
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

    /// Adds a mapping from each location to every node in each other location, with the latency of
    /// the deployment; mappings between regions share the bandwidth of the link.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
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
                let (from, to) = (scope.location(endpoint), scope.location(target));
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
                    None => self.add_mapping(&name, target.peer, group, latency, ports)?,
                };
                mapped.insert(name, address);
                endpoint.dial.push((target.peer, address));
            }
        }
        Ok(())
    }

    /// Creates mappings for the caller and platform addresses of the endpoints and replaces these
    /// addresses by those of the mappings.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
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
            let has_platform = region == deployment.platform_region;
            let (group, latency) = if has_platform {
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
                        let config =
                            plan.add_mapping(&name, endpoint.config, group, latency, ports)?;
                        let name = format!("instances-{region}");
                        let target = endpoint.instances;
                        (
                            config,
                            plan.add_mapping(&name, target, group, latency, ports)?,
                        )
                    }
                };
                mapped = Some((config, instances));
                (endpoint.config, endpoint.instances) = (config, instances);
            }
        }
        for endpoint in endpoints {
            let name = format!("caller-{}", endpoint.name);
            let latency = deployment.latency.client_ms;
            endpoint.entry = plan.add_mapping(&name, endpoint.caller, None, latency, ports)?;
        }
        Ok(plan)
    }

    fn add_mapping(
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
