//! Entries of endpoints expire during an outage of the store and are written again after it.
//!
//! In steady state, the operator then adds a route to the service that is served least, and the
//! requests on that route are compared with those on the first routes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use standins::client::Client;
use standins::deployment::{self, Answer, Deployment, Route};
use standins::record::Record;

/// Deployments that run side by side, and outages of each.
const PARALLEL: u8 = 10;
const OUTAGES: usize = 11;
const MACHINES: usize = 18;
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Longer than three heartbeats, after which entries expire.
const OUTAGE: Duration = Duration::from_millis(3_400);
const STEADY: Duration = Duration::from_millis(3_000);
/// Time after the outage until the fleet is in steady state again: about two seconds for the
/// endpoints to register, and `contact`.
const SETTLING: Duration = Duration::from_millis(4_000);
const MEASURED: Duration = Duration::from_millis(1_200);
/// `config-apply`, and a margin.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const INTERVAL: Duration = Duration::from_millis(100);
/// Requests on the added route from each machine.
const ADDED_REQUESTS: usize = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: lost_registration PROGRAM FOLDER RECORD");
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
    let trials: Vec<_> = (0..PARALLEL)
        .map(|index| {
            let (program, folder) = (program.clone(), folder.clone());
            let record = Arc::clone(&record);
            thread::spawn(move || run(101 + index, has_trouble, &program, &folder, &record))
        })
        .collect();
    let results: Vec<_> = trials
        .into_iter()
        .map(|trial| {
            trial
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("panicked")))
        })
        .collect();
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

/// Runs one deployment; returns whether the rule was broken.
fn run(
    number: u8,
    has_trouble: bool,
    program: &Path,
    folder: &Path,
    record: &Arc<Record>,
) -> io::Result<bool> {
    let zones = ["bangna", "ladkrabang"];
    let services: Vec<String> = (0..MACHINES)
        .map(|index| format!("service-{index:02}"))
        .collect();
    let places: Vec<(String, &'static str)> = services
        .iter()
        .enumerate()
        .map(|(index, service)| (service.clone(), zones[index % zones.len()]))
        .collect();
    let mut routes: Vec<Route> = services
        .iter()
        .map(|service| Route {
            prefix: format!("/{service}/"),
            service: service.clone(),
        })
        .collect();
    let mut deployment =
        Deployment::start(number, HEARTBEAT, &places, &routes, program, folder, record)?;
    let paths: Vec<String> = routes
        .iter()
        .map(|route| format!("{}item", route.prefix))
        .collect();
    deployment.start_clients(&paths, INTERVAL);
    thread::sleep(STEADY);
    for count in 1..=OUTAGES {
        if has_trouble {
            deployment.store.set_down(true);
        }
        thread::sleep(OUTAGE);
        if has_trouble {
            deployment.store.set_down(false);
        }
        thread::sleep(SETTLING);
        let measured_from = record.now();
        thread::sleep(MEASURED);
        if !deployment.all_run() {
            return Err(io::Error::other("a node process ended"));
        }
        let answers = deployment.answers_since(measured_from);
        let (least, worst) = least_served(&answers);
        let endpoint = &deployment.endpoints[worst];
        record.note(&format!(
            "deployment {number}, outage {count}: {:.2} served in steady state; least {least:.2}, {}; \
             its endpoint {} has an entry: {}",
            share(&answers),
            services[worst],
            endpoint.id,
            deployment.store.has_entry(&endpoint.id)
        ));
        if least >= 0.25 && count < OUTAGES {
            continue;
        }
        // The operator adds a route to that service.
        routes.push(Route {
            prefix: "/added/".to_owned(),
            service: services[worst].clone(),
        });
        deployment.store.put_config(&deployment::config(2, &routes));
        return compare(number, &deployment, worst, record);
    }
    Ok(false)
}

/// Sends requests on the added route and compares them with those on the first routes; returns
/// whether the rule is broken.
fn compare(
    number: u8,
    deployment: &Deployment,
    service: usize,
    record: &Arc<Record>,
) -> io::Result<bool> {
    thread::sleep(CONFIG_APPLY);
    let added_from = record.now();
    let mut added = Vec::new();
    for count in 0..ADDED_REQUESTS {
        for index in 0..MACHINES {
            let mut client = Client::new(deployment.client_address(index));
            let id = format!("added-{number}-{index}-{count}");
            let sent_at = record.now();
            let status = client.get(record, deployment::HOST, "/added/item", &id);
            added.push(Answer {
                sent_at,
                path: MACHINES,
                status,
            });
        }
        thread::sleep(Duration::from_millis(300));
    }
    let first = share(&deployment.answers_since(added_from));
    let added_share = share(&added);
    // The endpoint itself still serves.
    let machine = &deployment.nodes[service].machine;
    let mut direct = Client::new(SocketAddr::new(machine.ip, deployment.ports.app));
    let direct = direct.get(
        record,
        deployment::HOST,
        "/check",
        &format!("check-{number}"),
    );
    let is_broken = added_share < first / 4.0;
    record.note(&format!(
        "deployment {number}: first routes served {first:.2}, added route {added_share:.2} of {} requests; \
         endpoint asked directly: {direct}; broken: {is_broken}",
        added.len()
    ));
    Ok(is_broken)
}

/// Returns the least share of served requests of a path, and the path.
fn least_served(answers: &[Answer]) -> (f64, usize) {
    let mut least = (f64::MAX, 0);
    for path in 0..MACHINES {
        let of_path: Vec<Answer> = answers
            .iter()
            .filter(|answer| answer.path == path)
            .copied()
            .collect();
        let served = share(&of_path);
        if served < least.0 {
            least = (served, path);
        }
    }
    least
}

/// Returns the share of answers that are a success.
fn share(answers: &[Answer]) -> f64 {
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    served as f64 / answers.len().max(1) as f64
}
