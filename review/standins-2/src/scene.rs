//! A small deployment: a store, nodes and an endpoint beside each of them.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::http::Connection;
use crate::node::{self, Node};
use crate::proxy::Proxy;
use crate::record::{self, Record};
use crate::store::Store;

/// Slots of an endpoint, as on the sheets of the small deployments.
const CAPACITY: u32 = 6;
/// Interval at which an endpoint writes its entry, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The file of the record of a case, and the folder of the settings and logs of the nodes.
pub struct CasePaths {
    pub record: PathBuf,
    pub work: PathBuf,
}

pub struct Scene {
    pub record: Arc<Record>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub proxy: Option<Arc<Proxy>>,
}

/// One machine: its zone, the service of its endpoint, and the work of a request there in ms.
pub struct Place {
    pub zone: &'static str,
    pub service: &'static str,
    pub work_ms: u64,
    /// Size of an answer.
    pub answer_bytes: usize,
}

/// Returns a configuration with the routes `/NAME/` of the host `mesh.example`, each with its kind, its
/// service and its timeout in ms.
pub fn config(version: u32, routes: &[(&str, &str, &str, u32)]) -> String {
    let mut route_texts = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for (name, kind, service, timeout) in routes {
        route_texts.push(format!(
            "\"r-{name}\":{{\"host\":\"mesh.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout\":\"{timeout}ms\",\"target-latency\":\"2000ms\",\"priority\":1,\
             \"service\":\"{service}\",\"max-attempts\":2}}"
        ));
        if !services.contains(service) {
            services.push(service);
        }
    }
    let service_texts: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "\"{service}\":{{\"health-path\":\"/healthz\",\"max-connections\":130,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\
         \"idle-timeout\":\"15000ms\"}}}}",
        route_texts.join(","),
        service_texts.join(",")
    )
}

/// Returns the entry that an endpoint writes.
pub fn entry(endpoint: &Endpoint, place: &Place, state: &str, born: u64, sequence: u64) -> String {
    format!(
        "{{\"born\":{born},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
         \"zone\":\"{}\",\"capacity\":{}}},\"status\":{{\"state\":\"{state}\",\
         \"sequence\":{sequence},\"cold-remaining\":\"0ms\"}}}}",
        endpoint.address, place.service, place.zone, endpoint.capacity
    )
}

impl Scene {
    /// Starts the store, the endpoints and the nodes, and waits until all nodes are ready. Endpoints
    /// write their entries at each heartbeat. The port at which the node `proxied` serves other nodes
    /// lies behind a proxy.
    pub fn start(
        paths: &CasePaths,
        config: &str,
        places: &'static [Place],
        memory_mb: u64,
        proxied: Option<usize>,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::create(&paths.record)?);
        let store = Store::default();
        let store_address = store.listen(node::socket(node::loopback(250), node::STORE_PORT))?;
        store.put("op/config", config);
        let mut scene = Self {
            record,
            store,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            proxy: None,
        };
        for (index, place) in places.iter().enumerate() {
            let number = index as u8 + 1;
            let mut node = Node::new(
                number,
                place.zone,
                place.service,
                store_address,
                &paths.work,
            );
            node.memory_mb = memory_mb;
            if proxied == Some(index) {
                node.outer_ip = node::loopback(number + 100);
                let to = node::socket(node.ip, node::PORTS[1]);
                scene.proxy = Some(Proxy::start(
                    node::socket(node.outer_ip, node::PORTS[1]),
                    to,
                )?);
            }
            let id = format!("i-{number:08x}");
            let address = node.endpoint_address();
            let endpoint = Endpoint::start(
                address,
                &id,
                CAPACITY,
                place.work_ms,
                place.answer_bytes,
                &scene.record,
            )?;
            scene.nodes.push(node);
            scene.endpoints.push(endpoint);
        }
        let born = record::unix_ms();
        for (index, place) in places.iter().enumerate() {
            let endpoint = Arc::clone(&scene.endpoints[index]);
            let key = format!("servers/{}", endpoint.id);
            let first = entry(&endpoint, place, "ready", born, 1);
            scene.store.put(&key, &first);
            let store = scene.store.clone();
            thread::spawn(move || {
                for sequence in 2.. {
                    thread::sleep(HEARTBEAT);
                    store.put(&key, &entry(&endpoint, place, "ready", born, sequence));
                }
            });
        }
        for node in &mut scene.nodes {
            node.start()?;
        }
        for node in &scene.nodes {
            node.wait_ready()?;
        }
        scene.record.line("all nodes are ready");
        Ok(scene)
    }

    /// Sends a request on a connection of its own and returns the status.
    pub fn ask(&self, index: usize, method: &str, path: &str, id: &str) -> io::Result<u16> {
        let address = self.nodes[index].client_address();
        let mut connection = Connection::connect(address, Duration::from_secs(4))?;
        connection.write(request(method, path, id, "").as_bytes())?;
        let answer = connection.read()?;
        Ok(answer.map_or(0, |answer| answer.status()))
    }

    /// Waits until a request to each of the paths succeeds at a node.
    pub fn wait_served(&self, index: usize, method: &str, paths: &[&str]) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        for path in paths {
            for number in 0.. {
                let id = format!("first-{index}{}-{number}", path.replace('/', "-"));
                if self.ask(index, method, path, &id)? == 200 {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{path} is not served")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// Encodes a request without a body; `headers` are further lines.
pub fn request(method: &str, path: &str, id: &str, headers: &str) -> String {
    let length = if method == "GET" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 3000\r\n{headers}{length}\r\n"
    )
}
