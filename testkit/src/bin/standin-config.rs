//! Emulates the platform's configuration service and instance list.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use testkit::platform::{ConfigService, PlatformFault};
use testkit::signal;
use testkit::wire::{BlockingServer, HandlerReply, HttpHandler, HttpRequest, HttpResponse};

/// Interval at which the servers are opened or closed according to the active faults.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

struct ControlHandler {
    service: Arc<ConfigService>,
    servers: [BlockingServer; 2],
}

impl ControlHandler {
    /// Opens or closes the servers according to the active faults.
    fn update_servers(&self) {
        let (manifest, instances) = self.service.reachability();
        self.servers[0].set_open(manifest);
        self.servers[1].set_open(instances);
    }
}

impl HttpHandler for ControlHandler {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        let published = match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/manifest") => self.service.publish_manifest(request.body.clone()),
            ("PUT", "/instances") => self.service.publish_instances(&request.body),
            ("GET", "/counts") => {
                return HandlerReply::Respond(HttpResponse::json(&self.service.report()));
            }
            ("POST", "/fault") => {
                return match serde_json::from_slice::<PlatformFault>(&request.body) {
                    Ok(fault) => {
                        self.service.set_fault(&fault);
                        self.update_servers();
                        HandlerReply::Respond(HttpResponse::new(200, ""))
                    }
                    Err(error) => HandlerReply::Respond(HttpResponse::new(400, error.to_string())),
                };
            }
            _ => Err(HttpResponse::new(404, "no such path")),
        };
        HandlerReply::Respond(match published {
            Ok(revision) => {
                HttpResponse::new(200, "").with_header("x-revision", revision.to_string())
            }
            Err(response) => response,
        })
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let address = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
    };
    let matches = Command::new("standin-config")
        .about("Serves a manifest and an instance list with injectable faults")
        .arg(address("config").help("Address of the configuration service"))
        .arg(address("instances").help("Address of the instance list"))
        .arg(address("control").help("Control address for tests"))
        .get_matches();
    let bound = |name: &str| *matches.get_one::<SocketAddr>(name).expect("has a default");
    signal::exit_on_term()?;
    let service = Arc::new(ConfigService::default());
    let config = BlockingServer::start(bound("config"), service.clone())?;
    let instances = BlockingServer::start(bound("instances"), service.clone())?;
    let handler = Arc::new(ControlHandler {
        service,
        servers: [config.clone(), instances.clone()],
    });
    let control = BlockingServer::start(bound("control"), handler.clone())?;
    let [config, instances, control] = [&config, &instances, &control].map(BlockingServer::address);
    println!("ready config={config} instances={instances} control={control}");
    loop {
        std::thread::sleep(UPDATE_INTERVAL);
        handler.update_servers();
    }
}
