//! Forwards TCP connections with configurable latency, bandwidth limits and faults.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::{Arg, Command, value_parser};
use testkit::proxy::ProxyServer;
use testkit::signal;
use testkit::wire::BlockingServer;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("fault-proxy")
        .about("Forwards TCP connections with configurable latency, bandwidth limits and faults")
        .arg(
            Arg::new("control")
                .long("control")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Control address for tests"),
        )
        .get_matches();
    let address = matches
        .get_one::<SocketAddr>("control")
        .expect("has a default");
    signal::exit_on_term()?;
    let control = BlockingServer::start(*address, Arc::new(ProxyServer::default()))?;
    println!("ready control={}", control.address());
    loop {
        std::thread::park();
    }
}
