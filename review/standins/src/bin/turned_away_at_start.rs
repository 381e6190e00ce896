//! The store turns a third of the machines away from shortly after the start of the fleet on.
//!
//! A route is moved to another service meanwhile. Counts the requests on it that the old service
//! runs later than `config-apply` and `max-stretch` after the store has accepted the move.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use standins::client::Client;
use standins::deployment::{self, Route};
use standins::endpoint::Endpoint;
use standins::fleet::{self, Machine, Node};
use standins::record::Record;
use standins::store::{Entry, Store};

/// Deployments that run side by side, and how often they are started anew.
const PARALLEL: u8 = 8;
const ROUNDS: u8 = 4;
/// Machines, of which the first ones are turned away.
const MACHINES: usize = 9;
const TURNED_AWAY: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(20);
/// Times from the start of the first machines on.
const TURNED_AWAY_FROM: Duration = Duration::from_millis(200);
const OTHERS_START: Duration = Duration::from_millis(250);
const MOVED: Duration = Duration::from_millis(1_500);
const TURNED_AWAY_UNTIL: Duration = Duration::from_millis(9_200);
/// `config-apply` and `max-stretch`, and an allowance for the clocks of this program's threads.
const CONFIG_APPLY_MS: u64 = 2_000;
const MAX_STRETCH_MS: u64 = 5_000;
const MARGIN_MS: u64 = 50;
/// Time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: turned_away_at_start PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let trials: Vec<_> = (0..PARALLEL)
            .map(|index| {
                let number = 1 + round * PARALLEL + index;
                let (program, folder) = (program.clone(), folder.clone());
                let record = Arc::clone(&record);
                thread::spawn(move || run(number, has_trouble, &program, &folder, &record))
            })
            .collect();
        for trial in trials {
            results.push(
                trial
                    .join()
                    .unwrap_or_else(|_| Err(io::Error::other("panicked"))),
            );
        }
    }
    let failed = results
        .iter()
        .filter(|result| matches!(result, Ok(true)))
        .count();
    let errors: Vec<_> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    for error in &errors {
        record.note(&format!("a trial could not run: {error}"));
    }
    record.note(&format!(
        "CONFIG broken in {failed} of {} deployments",
        results.len()
    ));
    match (failed, errors.is_empty()) {
        (0, true) => ExitCode::SUCCESS,
        (0, false) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
}

fn route(service: &str) -> Vec<Route> {
    // The route /moved/ goes to `service`; the other routes stay.
    [
        ("/moved/", service),
        ("/old/", "rollcheck"),
        ("/new/", "salesdesk"),
    ]
    .map(|(prefix, service)| Route {
        prefix: prefix.to_owned(),
        service: service.to_owned(),
    })
    .to_vec()
}

/// Runs one deployment; returns whether the rule was broken.
fn run(
    number: u8,
    has_trouble: bool,
    program: &Path,
    folder: &Path,
    record: &Arc<Record>,
) -> io::Result<bool> {
    let ports = fleet::free_ports(fleet::machine_ip(number, 0))?;
    let addresses = [1, 2].map(|host| SocketAddr::new(fleet::loopback(number, host), ports.store));
    let store = Store::start(addresses[0], HEARTBEAT, Arc::clone(record))?;
    let turns_away = Arc::new(AtomicBool::new(false));
    store.serve_at(addresses[1], Arc::clone(&turns_away))?;
    store.put_config(&deployment::config(1, &route("rollcheck")));
    let zones = ["bangna", "ladkrabang"];
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let start = Instant::now();
    let mut endpoints = Vec::new();
    let mut nodes = Vec::new();
    for index in 0..MACHINES {
        let is_turned_away = index < TURNED_AWAY;
        if index == TURNED_AWAY {
            sleep_until(start + TURNED_AWAY_FROM);
            turns_away.store(has_trouble, Ordering::SeqCst);
            sleep_until(start + OTHERS_START);
        }
        let machine = Machine {
            name: format!("sidecar-{number}-{index}"),
            ip: fleet::machine_ip(number, index),
            zone: zones[index % zones.len()],
            service: if is_turned_away {
                "rollcheck"
            } else {
                "salesdesk"
            }
            .to_owned(),
        };
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
        let of_endpoint = (store.clone(), Arc::clone(record));
        endpoints.push(Endpoint::start(
            entry,
            of_endpoint.0,
            of_endpoint.1,
            HEARTBEAT,
            WORK,
        )?);
        let address = addresses[usize::from(is_turned_away)];
        let settings = fleet::settings(&machine, ports, address, &[], HEARTBEAT);
        nodes.push(Node::start(program, folder, &machine, &settings)?);
    }
    let started = start.elapsed().as_millis();
    sleep_until(start + MOVED);
    store.put_config(&deployment::config(2, &route("salesdesk")));
    let moved_at = record.now();
    let bound = moved_at + CONFIG_APPLY_MS + MAX_STRETCH_MS + MARGIN_MS;
    if !fleet::wait_ready(&nodes, ports.ready, Duration::from_secs(5)) {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the nodes are not ready",
        ));
    }
    // Requests sent after the bound, to the machines that are turned away.
    thread::sleep(Duration::from_millis(
        (bound + 1).saturating_sub(record.now()),
    ));
    let mut clients: Vec<Client> = nodes
        .iter()
        .take(TURNED_AWAY)
        .map(|node| Client::new(SocketAddr::new(node.machine.ip, ports.outbound)))
        .collect();
    let mut count = 0;
    while start.elapsed() + INTERVAL < TURNED_AWAY_UNTIL {
        for client in &mut clients {
            let id = format!("moved-{number}-{count}");
            client.get(record, deployment::HOST, "/moved/item", &id);
            count += 1;
        }
        thread::sleep(INTERVAL);
    }
    // Only these requests are sent, and only endpoints of the old service count.
    let runs: usize = endpoints
        .iter()
        .take(TURNED_AWAY)
        .map(|one| one.run_times().len())
        .sum();
    let all_run = nodes.iter_mut().all(Node::is_running);
    for endpoint in &endpoints {
        endpoint.end();
    }
    if !all_run || count == 0 {
        return Err(io::Error::other(
            "a node process ended, or no request was sent",
        ));
    }
    record.note(&format!(
        "deployment {number}: machines started within {started} ms; route moved at {moved_at}; of {count} \
         requests sent after {bound}, the old service ran {runs}"
    ));
    Ok(runs > 0)
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
