//! Emulates a backend server.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use testkit::backend::{BackendServer, BackendSettings, NestedCallRule, ServiceTimeRule};
use testkit::signal;
use testkit::wire::{BlockingServer, HandlerReply, HttpHandler, HttpRequest, HttpResponse};

struct ControlHandler {
    backend: Arc<BackendServer>,
    server: BlockingServer,
}

impl HttpHandler for ControlHandler {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        HandlerReply::Respond(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/runs") => HttpResponse::json(&self.backend.runs()),
            ("GET", "/counts") => {
                HttpResponse::json(&self.backend.report(self.server.connections_peak()))
            }
            ("POST", "/fault") => match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.backend.set_fault(fault);
                    HttpResponse::new(200, "")
                }
                Err(error) => HttpResponse::new(400, error.to_string()),
            },
            _ => HttpResponse::new(404, "no such path"),
        })
    }
}

fn command() -> Command {
    let value = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let address =
        |name, help| value(name, "127.0.0.1:0", help).value_parser(value_parser!(SocketAddr));
    let number = |name, default, help| value(name, default, help).value_parser(value_parser!(u64));
    let factor = |name, default, help| value(name, default, help).value_parser(value_parser!(f64));
    Command::new("standin-backend")
        .about("Emulates a backend server that serves any path after a configured service time")
        .arg(address("listen", "Address of the backend server"))
        .arg(address("control", "Control address for tests"))
        .arg(value("name", "backend", "Instance name in responses"))
        .arg(number(
            "slots",
            "6",
            "Maximum number of concurrently executing requests",
        ))
        .arg(
            Arg::new("work")
                .long("work")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<ServiceTimeRule>())
                .help("Mean service time of a path prefix, such as /price=3ms"),
        )
        .arg(
            Arg::new("nest")
                .long("nest")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<NestedCallRule>())
                .help("Nested call made by requests, in the form [/prefix=]http://address/path"),
        )
        .arg(factor(
            "spread",
            "0.2",
            "Maximum deviation of service times from their mean, as a fraction",
        ))
        .arg(number("seed", "1", "Seed of the service time deviations"))
        .arg(number(
            "load-lag-ms",
            "500",
            "Delay of the values reported by /load",
        ))
        .arg(number(
            "cold-ms",
            "0",
            "Duration of the cold phase after the start",
        ))
        .arg(factor(
            "cold-factor",
            "3",
            "Factor applied to service times in the cold phase",
        ))
        .arg(number(
            "starting-ms",
            "0",
            "Time after the start in which /health reports starting",
        ))
        .arg(number(
            "answer-bytes",
            "64",
            "Number of padding bytes in each response",
        ))
}

fn get<T>(matches: &ArgMatches, name: &str) -> T
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).cloned().expect("has a default")
}

fn get_all<T>(matches: &ArgMatches, name: &str) -> Vec<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_many::<T>(name)
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    signal::exit_on_term()?;
    let backend = Arc::new(BackendServer::new(BackendSettings {
        name: get(&matches, "name"),
        slots: usize::try_from(get::<u64>(&matches, "slots"))?,
        service_times: get_all(&matches, "work"),
        nested_calls: get_all(&matches, "nest"),
        spread: get::<f64>(&matches, "spread").clamp(0.0, 1.0),
        seed: get(&matches, "seed"),
        load_lag_ms: get(&matches, "load-lag-ms"),
        cold_ms: get(&matches, "cold-ms"),
        cold_factor: get(&matches, "cold-factor"),
        starting_ms: get(&matches, "starting-ms"),
        padding_bytes: usize::try_from(get::<u64>(&matches, "answer-bytes"))?,
    }));
    let server = BlockingServer::start(get(&matches, "listen"), backend.clone())?;
    let listen = server.address();
    let handler = Arc::new(ControlHandler { backend, server });
    let control = BlockingServer::start(get(&matches, "control"), handler)?.address();
    println!("ready listen={listen} control={control}");
    loop {
        std::thread::park();
    }
}
