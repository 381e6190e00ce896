//! A deployment: a store, endpoints, the nodes beside them, and clients.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::client::Client;
use crate::endpoint::Endpoint;
use crate::fleet::{self, Machine, Node, Ports};
use crate::record::Record;
use crate::store::{Entry, Store};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Time that an endpoint works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Time for all nodes to become ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A running deployment. Dropping it ends its clients, endpoints and node processes.
pub struct Deployment {
    pub store: Store,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub nodes: Vec<Node>,
    pub ports: Ports,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Answer>>>,
    record: Arc<Record>,
}

/// What a client got.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// Time at which the request was sent, in ms of the record.
    pub sent_at: u64,
    /// Index of the path among those that the clients request.
    pub path: usize,
    pub status: u16,
}

/// A route of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub prefix: String,
    pub service: String,
}

/// Returns a configuration with idempotent routes.
pub fn config(version: u32, routes: &[Route]) -> String {
    let mut route_texts = Vec::new();
    let mut services: Vec<String> = Vec::new();
    for (index, route) in routes.iter().enumerate() {
        route_texts.push(format!(
            "\"r-{index:02}\":{{\"host\":\"{HOST}\",\"path-prefix\":\"{}\",\
             \"kind\":\"idempotent\",\"timeout\":\"1500ms\",\"target-latency\":\"400ms\",\
             \"priority\":1,\"service\":\"{}\",\"max-attempts\":3}}",
            route.prefix, route.service
        ));
        let service = format!("\"{}\":{{\"health-path\":\"/healthz\"}}", route.service);
        if !services.contains(&service) {
            services.push(service);
        }
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\
         \"max-header-bytes\":8192,\"max-body-bytes\":65536,\"header-timeout\":\"3s\",\
         \"idle-timeout\":\"15s\"}}}}",
        route_texts.join(","),
        services.join(",")
    )
}

impl Deployment {
    /// Starts a deployment with one machine for each of `places`, which are service and zone, and
    /// waits until all nodes are ready. Endpoints report to the store at each `heartbeat`.
    pub fn start(
        number: u8,
        heartbeat: Duration,
        places: &[(String, &'static str)],
        routes: &[Route],
        program: &Path,
        folder: &Path,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let ports = fleet::free_ports(fleet::machine_ip(number, 0))?;
        let store_address = SocketAddr::new(fleet::loopback(number, 1), ports.store);
        let store = Store::start(store_address, heartbeat, Arc::clone(record))?;
        store.put_config(&config(1, routes));
        let machines: Vec<Machine> = places
            .iter()
            .enumerate()
            .map(|(index, (service, zone))| Machine {
                name: format!("sidecar-{number}-{index}"),
                ip: fleet::machine_ip(number, index),
                zone,
                service: service.clone(),
            })
            .collect();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut endpoints = Vec::new();
        for (index, machine) in machines.iter().enumerate() {
            let entry = Entry {
                id: format!("i-{number}-{index:02}"),
                address: SocketAddr::new(machine.ip, ports.app),
                service: machine.service.clone(),
                zone: machine.zone.to_owned(),
                capacity: 6,
                born: now.as_millis() as u64,
                sequence: 0,
                state: "ready",
            };
            let (store, record) = (store.clone(), Arc::clone(record));
            endpoints.push(Endpoint::start(entry, store, record, heartbeat, WORK)?);
            // The heartbeats of the endpoints are spread over the interval.
            thread::sleep(heartbeat / machines.len() as u32);
        }
        let seeds: Vec<IpAddr> = machines.iter().take(3).map(|machine| machine.ip).collect();
        let mut nodes = Vec::new();
        for machine in &machines {
            let settings = fleet::settings(machine, ports, store_address, &seeds, heartbeat);
            let node = Node::start(program, folder, machine, &settings)?;
            record.line(&format!(
                "process {} started for {}",
                node.process_id(),
                machine.name
            ));
            nodes.push(node);
        }
        if !fleet::wait_ready(&nodes, ports.ready, START_LIMIT) {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the nodes are not ready",
            ));
        }
        record.note(&format!(
            "deployment {number}: all {} nodes are ready",
            nodes.len()
        ));
        Ok(Self {
            store,
            endpoints,
            nodes,
            ports,
            stop: Arc::new(AtomicBool::new(false)),
            clients: Vec::new(),
            answers: Arc::default(),
            record: Arc::clone(record),
        })
    }

    /// Returns the address for clients of a machine.
    pub fn client_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[index].machine.ip, self.ports.outbound)
    }

    /// Starts a client on each machine, which sends a request to each path in turn at an interval.
    pub fn start_clients(&mut self, paths: &[String], interval: Duration) {
        for index in 0..self.nodes.len() {
            let mut client = Client::new(self.client_address(index));
            let name = self.nodes[index].machine.name.clone();
            let (record, stop) = (Arc::clone(&self.record), Arc::clone(&self.stop));
            let answers = Arc::clone(&self.answers);
            let paths = paths.to_vec();
            self.clients.push(thread::spawn(move || {
                for count in index.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let path = count % paths.len();
                    let sent_at = record.now();
                    let id = format!("{name}-{count}");
                    let status = client.get(&record, HOST, &paths[path], &id);
                    let answer = Answer {
                        sent_at,
                        path,
                        status,
                    };
                    answers
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(answer);
                    thread::sleep(interval);
                }
            }));
        }
    }

    /// Returns what the clients got for requests sent from `start` on.
    pub fn answers_since(&self, start: u64) -> Vec<Answer> {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers
            .iter()
            .filter(|answer| answer.sent_at >= start)
            .copied()
            .collect()
    }

    /// Returns whether all node processes run.
    pub fn all_run(&mut self) -> bool {
        self.nodes.iter_mut().all(Node::is_running)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        for endpoint in &self.endpoints {
            endpoint.end();
        }
        self.nodes.clear();
    }
}
