use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::fleet::FleetPlan;
use crate::process::ProcessGuard;
use crate::wire::{HttpProbe, HttpResponse};

/// Processes of a fleet, which are killed when it is dropped.
#[derive(Debug)]
pub struct RunningFleet {
    /// Nodes in the order of the endpoints; `None` for those that are not running.
    pub nodes: Vec<Option<ProcessGuard>>,
    /// Backend servers, in the same order.
    pub backends: Vec<Option<ProcessGuard>>,
    /// Fault proxy, if the plan has mappings.
    pub proxy: Option<ProcessGuard>,
    /// Platform emulator, which serves the configuration and the instance list.
    pub platform: Option<ProcessGuard>,
    /// Plan of the fleet; declared last so that its ports are released after all processes have
    /// ended.
    pub plan: FleetPlan,
}

impl RunningFleet {
    /// Starts the platform emulator, publishes the instance list, and starts the fault proxy and
    /// the backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn start_backends(plan: FleetPlan) -> io::Result<RunningFleet> {
        let mut fleet = RunningFleet {
            nodes: plan.endpoints.iter().map(|_| None).collect(),
            backends: plan.endpoints.iter().map(|_| None).collect(),
            proxy: None,
            platform: None,
            plan,
        };
        fleet.start_platform()?;
        fleet.publish_instances(&fleet.plan.instance_list())?;
        if let Some(latencies) = &fleet.plan.proxy_plan {
            let proxy = ProcessGuard::start("fault-proxy", ["--control=127.0.0.1:0"])?;
            let probe = HttpProbe::new(proxy.address("control")?);
            let request = latencies.request().to_string();
            expect_ok(&probe.post("/mapping", request.as_bytes())?)?;
            fleet.proxy = Some(proxy);
        }
        for index in 0..fleet.backends.len() {
            let shared =
                index > 0 && fleet.plan.endpoints[index].backend == fleet.plan.endpoints[0].backend;
            if !shared {
                fleet.start_backend(index)?;
            }
        }
        Ok(fleet)
    }

    /// Starts all processes and waits until the nodes are ready; the manifest is published before
    /// the nodes start.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or a node is not ready within `limit_ms`.
    pub fn start(plan: FleetPlan, manifest: &[u8], limit_ms: u64) -> io::Result<RunningFleet> {
        let mut fleet = RunningFleet::start_backends(plan)?;
        fleet.publish(manifest)?;
        for index in 0..fleet.nodes.len() {
            fleet.start_node(index)?;
        }
        fleet.wait_ready(limit_ms)?;
        Ok(fleet)
    }

    /// Starts the platform emulator without published values.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start_platform(&mut self) -> io::Result<()> {
        let arguments = [
            format!("--config={}", self.plan.config),
            format!("--instances={}", self.plan.instances),
            format!("--control={}", self.plan.control),
        ];
        self.platform = Some(ProcessGuard::start("standin-config", arguments)?);
        Ok(())
    }

    /// Starts the backend server at the given index.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start_backend(&mut self, index: usize) -> io::Result<()> {
        let arguments = self.plan.backend_arguments(index);
        self.backends[index] = Some(ProcessGuard::start("standin-backend", arguments)?);
        Ok(())
    }

    /// Writes the settings of the node at the given index and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start_node(&mut self, index: usize) -> io::Result<()> {
        let path = self.plan.write_settings(index)?;
        let arguments = ["run".into(), "--settings".into(), path.into_os_string()];
        self.nodes[index] = Some(ProcessGuard::start("endive-node", arguments)?);
        Ok(())
    }

    /// Publishes a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform emulator rejects it.
    pub fn publish(&self, manifest: &[u8]) -> io::Result<()> {
        expect_ok(&self.platform_control().put("/manifest", manifest)?)
    }

    /// Publishes an instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform emulator rejects it.
    pub fn publish_instances(&self, list: &Value) -> io::Result<()> {
        let text = list.to_string();
        expect_ok(&self.platform_control().put("/instances", text.as_bytes())?)
    }

    /// Sets a fault of the platform emulator, given as the body of a `POST /fault` request.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform emulator rejects it.
    pub fn set_platform_fault(&self, fault: &Value) -> io::Result<()> {
        let text = fault.to_string();
        expect_ok(&self.platform_control().post("/fault", text.as_bytes())?)
    }

    /// Sets a fault of the fault proxy, given as the body of a `POST /fault` request.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy is not running or rejects the fault.
    pub fn set_proxy_fault(&self, fault: &Value) -> io::Result<()> {
        let text = fault.to_string();
        expect_ok(&self.proxy_control()?.post("/fault", text.as_bytes())?)
    }

    /// Sets a fault for the traffic between two locations, in both directions.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no mappings between the locations.
    pub fn set_fault_between(&self, mode: &str, first: &str, second: &str) -> io::Result<()> {
        let plan = self.plan.proxy_plan.iter();
        let names = plan.flat_map(|plan| {
            let mut names = plan.peer_mappings(first, second);
            names.extend(plan.peer_mappings(second, first));
            names
        });
        let names: Vec<String> = names.collect();
        if names.is_empty() {
            let text = format!("no proxy mappings between {first} and {second}");
            return Err(io::Error::other(text));
        }
        self.set_proxy_fault(&serde_json::json!({ "mode": mode, "mappings": names }))
    }

    /// Returns a probe for the control address of the fault proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy is not running.
    pub fn proxy_control(&self) -> io::Result<HttpProbe> {
        let proxy = self.proxy.as_ref();
        let proxy = proxy.ok_or_else(|| io::Error::other("fault proxy is not running"))?;
        Ok(HttpProbe::new(proxy.address("control")?))
    }

    /// Returns a probe for the control address of the platform emulator.
    #[must_use]
    pub fn platform_control(&self) -> HttpProbe {
        HttpProbe::new(self.plan.control)
    }

    /// Returns the admin addresses of all nodes.
    #[must_use]
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.plan
            .endpoints
            .iter()
            .map(|entry| entry.admin)
            .collect()
    }

    /// Waits until every running node reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a node is not ready within `limit_ms`.
    pub fn wait_ready(&self, limit_ms: u64) -> io::Result<()> {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        for (endpoint, node) in self.plan.endpoints.iter().zip(&self.nodes) {
            if node.is_some() {
                let rest = end.saturating_duration_since(Instant::now());
                let probe = HttpProbe::with_timeout(endpoint.admin, 1_000);
                probe.wait_for("/readyz", 200, rest.as_millis() as u64)?;
            }
        }
        Ok(())
    }

    /// Sends SIGTERM to every process, nodes first, and returns the exit codes of the nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is still running after `limit_ms`.
    pub fn stop(&mut self, limit_ms: u64) -> io::Result<Vec<Option<i32>>> {
        let mut nodes: Vec<ProcessGuard> = self.nodes.iter_mut().filter_map(Option::take).collect();
        let codes = stop_all(&mut nodes, limit_ms)?;
        let rest = self.backends.iter_mut().filter_map(Option::take);
        let mut rest: Vec<ProcessGuard> = rest.collect();
        rest.extend(self.proxy.take());
        rest.extend(self.platform.take());
        stop_all(&mut rest, limit_ms)?;
        Ok(codes)
    }
}

fn stop_all(processes: &mut [ProcessGuard], limit_ms: u64) -> io::Result<Vec<Option<i32>>> {
    for process in processes.iter_mut() {
        // This fails for a process that has already ended; its exit code is collected below.
        let _ = process.terminate();
    }
    let codes = processes.iter_mut().map(|process| process.wait(limit_ms));
    codes.map(|status| Ok(status?.code())).collect()
}

fn expect_ok(response: &HttpResponse) -> io::Result<()> {
    if response.status == 200 {
        return Ok(());
    }
    let text = format!(
        "request rejected with status {}: {}",
        response.status,
        response.text()
    );
    Err(io::Error::other(text))
}
