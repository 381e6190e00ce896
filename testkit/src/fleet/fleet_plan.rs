use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use crate::fleet::{DeploymentPlan, EndpointPlan, PeerLinkScope, ProxyPlan, SettingsText};
use crate::port_range::PortRange;

/// Number of seed nodes per zone; with two, a failed seed does not make its zone unreachable.
const SEEDS_PER_ZONE: usize = 2;

/// Processes, addresses and settings of a deployment on loopback.
#[derive(Debug)]
pub struct FleetPlan {
    /// Planned deployment.
    pub deployment: DeploymentPlan,
    /// Endpoints, grouped by service.
    pub endpoints: Vec<EndpointPlan>,
    /// Settings that are added to those of every node and override them.
    pub common_settings: SettingsText,
    /// Additional arguments of every backend server.
    pub backend_arguments: Vec<String>,
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Control address of the platform emulator.
    pub control: SocketAddr,
    /// Mappings of the fault proxy, if any.
    pub proxy_plan: Option<ProxyPlan>,
    folder: PathBuf,
    ports: PortRange,
}

impl FleetPlan {
    /// Plans a deployment with direct connections; settings files are written to `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn new(deployment: DeploymentPlan, folder: &Path) -> io::Result<FleetPlan> {
        let mut ports = PortRange::claim()?;
        let [config, instances, control] = [ports.address()?, ports.address()?, ports.address()?];
        let mut endpoints = Vec::new();
        for (offset, service) in deployment.services.iter().enumerate() {
            for number in 0..service.endpoints {
                // The offset by service distributes the remainders of the round-robin over
                // different zones.
                let zone = &deployment.zones[(offset + number) % deployment.zones.len()];
                let caller = ports.address()?;
                endpoints.push(EndpointPlan {
                    name: format!("{}-{}", service.name, number + 1),
                    service: service.name.clone(),
                    zone: zone.name.clone(),
                    region: zone.region.clone(),
                    caller,
                    peer: ports.address()?,
                    admin: ports.address()?,
                    backend: ports.address()?,
                    control: ports.address()?,
                    entry: caller,
                    config,
                    instances,
                    dial: Vec::new(),
                });
            }
        }
        Ok(FleetPlan {
            deployment,
            endpoints,
            common_settings: SettingsText::default(),
            backend_arguments: Vec::new(),
            config,
            instances,
            control,
            proxy_plan: None,
            folder: folder.to_path_buf(),
            ports,
        })
    }

    /// Routes traffic from callers and to the platform through the fault proxy, with the latencies
    /// of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn apply_latencies(&mut self) -> io::Result<()> {
        let plan = ProxyPlan::build(&self.deployment, &mut self.endpoints, &mut self.ports)?;
        self.proxy_plan = Some(plan);
        Ok(())
    }

    /// Routes the traffic between nodes in different locations through the fault proxy, with the
    /// latencies of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn apply_peer_links(&mut self, scope: PeerLinkScope) -> io::Result<()> {
        if self.proxy_plan.is_none() {
            self.apply_latencies()?;
        }
        if let Some(plan) = &mut self.proxy_plan {
            plan.add_peers(
                &self.deployment,
                &mut self.endpoints,
                scope,
                &mut self.ports,
            )?;
        }
        Ok(())
    }

    /// Assigns the backend server of the first endpoint to every node, for runs without calls.
    pub fn share_backend(&mut self) {
        let first = self.endpoints.first().map(|entry| entry.backend);
        for (endpoint, backend) in self.endpoints.iter_mut().skip(1).zip(first.iter().cycle()) {
            endpoint.backend = *backend;
        }
    }

    /// Returns the instance list with every endpoint in state `live`.
    #[must_use]
    pub fn instance_list(&self) -> Value {
        let list = self
            .endpoints
            .iter()
            .map(|entry| entry.instance_entry("live"));
        json!({ "instances": list.collect::<Vec<Value>>() })
    }

    /// Returns the endpoints of a service.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointPlan> {
        self.endpoints
            .iter()
            .filter(move |entry| entry.service == service)
    }

    /// Returns the settings of the node at the given index.
    #[must_use]
    pub fn settings(&self, index: usize) -> SettingsText {
        let endpoint = &self.endpoints[index];
        let mut text = SettingsText::default();
        text.set("", "seeds", format!("{:?}", self.seeds(endpoint)));
        text.set("", "random_seed", (index + 1).to_string());
        text.set_text("placement", "service", &endpoint.service);
        text.set_text("placement", "zone", &endpoint.zone);
        text.set_text("placement", "region", &endpoint.region);
        text.set_text("listen", "caller", endpoint.caller);
        text.set_text("listen", "peer", endpoint.peer);
        text.set_text("listen", "admin", endpoint.admin);
        text.set_text("backend", "address", endpoint.backend);
        text.set_text("platform", "config", endpoint.config);
        text.set_text("platform", "instances", endpoint.instances);
        text.set_text("platform", "region", &self.deployment.platform_region);
        for (peer, address) in &endpoint.dial {
            text.set_text("dial", &format!("\"{peer}\""), address);
        }
        text.merge(&self.common_settings);
        text
    }

    /// Writes the settings file of the node at the given index and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_settings(&self, index: usize) -> io::Result<PathBuf> {
        fs::create_dir_all(&self.folder)?;
        let path = self
            .folder
            .join(format!("{}.toml", self.endpoints[index].name));
        fs::write(&path, self.settings(index).to_string())?;
        Ok(path)
    }

    /// Returns the command-line arguments of the backend server at the given index.
    #[must_use]
    pub fn backend_arguments(&self, index: usize) -> Vec<String> {
        let endpoint = &self.endpoints[index];
        let mut arguments = vec![
            format!("--listen={}", endpoint.backend),
            format!("--control={}", endpoint.control),
            format!("--name={}", endpoint.name),
            format!("--seed={}", index + 1),
        ];
        let mut services = self.deployment.services.iter();
        if let Some(service) = services.find(|entry| entry.name == endpoint.service) {
            arguments.push(format!("--slots={}", service.slots));
            let rules = service.work.iter();
            arguments
                .extend(rules.map(|work| format!("--work={}={}ms", work.prefix, work.time_ms)));
        }
        arguments.extend(self.backend_arguments.iter().cloned());
        arguments
    }

    fn seeds(&self, own: &EndpointPlan) -> Vec<String> {
        let mut seeds = Vec::new();
        for zone in &self.deployment.zones {
            let others = self.endpoints.iter().filter(|entry| entry.peer != own.peer);
            let in_zone = others.filter(|entry| entry.zone == zone.name);
            seeds.extend(
                in_zone
                    .take(SEEDS_PER_ZONE)
                    .map(|entry| entry.peer.to_string()),
            );
        }
        seeds
    }
}
