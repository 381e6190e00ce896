//! Endpoints leave shortly before an outage of the store, and serve on.
//!
//! Counts the requests that reach them later than `drain` after the store has accepted that they
//! leave, from `contact` after the end of the outage on.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use standins::deployment::{Deployment, Route};
use standins::record::Record;

/// Deployments that run side by side, and how often they are started anew.
const PARALLEL: u8 = 4;
const ROUNDS: u8 = 6;
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Allowance for the clocks of the threads of this program.
const MARGIN_MS: u64 = 50;
/// Time between two endpoints that leave, and between the last of them and the outage. Nodes read
/// the store twice a second, or at once if nothing has changed in the last half second.
const GAP: Duration = Duration::from_millis(60);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const OUTAGE: Duration = Duration::from_millis(4_000);
const STEADY: Duration = Duration::from_millis(3_500);
const OBSERVED: Duration = Duration::from_millis(4_200);
const INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: drain_after_outage PROGRAM FOLDER RECORD");
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
        "DRAIN broken in {failed} of {} deployments",
        results.len()
    ));
    record.flush();
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
    let services = ["rollcheck", "salesdesk"];
    let places = [
        ("rollcheck", "bangna"),
        ("rollcheck", "hangdong"),
        ("rollcheck", "ladkrabang"),
        ("salesdesk", "bangna"),
        ("salesdesk", "sansai"),
    ]
    .map(|(service, zone)| (service.to_owned(), zone));
    let routes = services.map(|service| Route {
        prefix: format!("/{service}/"),
        service: service.to_owned(),
    });
    let mut deployment =
        Deployment::start(number, HEARTBEAT, &places, &routes, program, folder, record)?;
    let paths = services.map(|service| format!("/{service}/item"));
    deployment.start_clients(&paths, INTERVAL);
    thread::sleep(STEADY);
    // Two of the three endpoints of a service leave, one after the other.
    let mut leaving = Vec::new();
    for endpoint in deployment.endpoints.iter().take(2) {
        if !endpoint.leave() {
            return Err(io::Error::other("the store did not accept the removal"));
        }
        leaving.push((Arc::clone(endpoint), record.now()));
        thread::sleep(GAP);
    }
    if has_trouble {
        deployment.store.set_down(true);
    }
    thread::sleep(OUTAGE);
    let mut in_touch_from = 0;
    if has_trouble {
        deployment.store.set_down(false);
        in_touch_from = record.now() + CONTACT_MS;
    }
    thread::sleep(OBSERVED);
    if !deployment.all_run() {
        return Err(io::Error::other("a node process ended"));
    }
    let mut is_broken = false;
    for (endpoint, left_at) in leaving {
        let bound = (left_at + DRAIN_MS).max(in_touch_from) + MARGIN_MS;
        let runs = endpoint.run_times();
        let late = runs.iter().filter(|at| **at > bound).count();
        let last = runs.last().copied().unwrap_or(left_at);
        is_broken |= late > 0;
        record.note(&format!(
            "deployment {number}: {} left at {left_at}; {late} requests reached it after {bound}; \
             the last one at {last}, {} ms after it left",
            endpoint.id,
            last.saturating_sub(left_at),
        ));
    }
    Ok(is_broken)
}
