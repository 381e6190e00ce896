//! Benchmarks the distribution of versions in fleets on loopback and prints one JSON line per
//! measurement.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use serde_json::{Value, json};
use testkit::measure::{FleetBenchmark, FleetFault, ManifestGenerator};
use testkit::{DeploymentPlan, FleetPlan, PeerLinkScope, RunningFleet, process};

/// Time limit for all nodes to become ready, in ms.
const READY_TIMEOUT_MS: u64 = 90_000;
/// Maximum number of nodes of one fleet, to keep benchmarks below a few hundred processes.
const MAX_NODES: u64 = 200;

type BenchResult<T> = Result<T, Box<dyn Error>>;

fn number(name: &'static str, default: &'static str, max: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64).range(0..=max))
}

fn list(name: &'static str, default: &'static str, max: u64) -> Arg {
    number(name, default, max).value_delimiter(',')
}

fn main() -> BenchResult<()> {
    let names: Vec<&str> = FleetFault::ALL.iter().map(|(name, _)| *name).collect();
    let matches = clap::Command::new("fleet-bench")
        .about("Benchmarks the distribution of versions in fleets on loopback")
        .arg(list("nodes", "17", MAX_NODES).help("Numbers of nodes of the fleets"))
        .arg(list("services", "4", 400).help("Numbers of services of the manifests"))
        .arg(number("changes", "10", 1_000).help("Number of changes measured without faults"))
        .arg(number("idle-s", "10", 300).help("Duration of the measurement without changes, in s"))
        .arg(number("seed", "1", u64::MAX - 1).help("Seed of the intervals between changes"))
        .arg(
            number("listed", "0", 5_500)
                .help("Number of instances that are listed but do not run, to measure memory"),
        )
        .arg(
            Arg::new("plain")
                .long("plain")
                .action(ArgAction::SetTrue)
                .help("Let every node watch the configuration service"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_delimiter(',')
                .value_parser(value_parser!(FleetFault))
                .help(format!(
                    "Faults, measured after the other parts: {}",
                    names.join(", ")
                )),
        )
        .get_matches();
    process::kill_all_on_term()?;
    println!("ready");
    for nodes in matches.get_many::<u64>("nodes").into_iter().flatten() {
        for services in matches.get_many::<u64>("services").into_iter().flatten() {
            let folder = std::env::temp_dir().join(format!("fleet-bench-{}", std::process::id()));
            let result = measure(&matches, *nodes as usize, *services as usize, &folder);
            let _ = fs::remove_dir_all(&folder);
            result?;
        }
    }
    Ok(())
}

fn measure(matches: &ArgMatches, nodes: usize, services: usize, folder: &Path) -> BenchResult<()> {
    let get = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let plain = matches.get_flag("plain");
    let mut deployment = DeploymentPlan::example("siam-markwell")?;
    let service_count = deployment.services.len();
    for (index, service) in deployment.services.iter_mut().enumerate() {
        service.endpoints = nodes / service_count + usize::from(index < nodes % service_count);
    }
    let mut plan = FleetPlan::new(deployment, folder)?;
    plan.share_backend();
    plan.apply_peer_links(PeerLinkScope::Regions)?;
    plan.common_settings.set_text("", "log_level", "off");
    plan.common_settings
        .set("platform", "every_node_watches", plain.to_string());
    let mut manifests = ManifestGenerator::new(services);
    let text = manifests.next_manifest();
    let start = Instant::now();
    let fleet = RunningFleet::start(plan, text.as_bytes(), READY_TIMEOUT_MS)?;
    let counts = fleet.platform_control().get("/counts")?.body_json();
    let mut benchmark = FleetBenchmark::new(fleet, manifests, get("seed"));
    let print = |part: &str, value: Value| {
        let line = json!({
            "part": part,
            "nodes": nodes,
            "services": services,
            "manifest_bytes": text.len(),
            "plain": plain,
            "seed": get("seed"),
            "result": value,
        });
        println!("{line}");
    };
    print(
        "start",
        json!({
            "all_ready_ms": start.elapsed().as_millis() as u64,
            "platform_calls": counts["calls_total"],
            "platform_calls_peak_second": counts["peak_calls_per_second"],
        }),
    );
    let listed = get("listed") as usize;
    if listed > 0 {
        let mut list = benchmark.fleet.plan.instance_list();
        let entries = (0..listed).map(|index| absent_instance(index, services));
        if let Some(instances) = list["instances"].as_array_mut() {
            instances.extend(entries);
        }
        benchmark.fleet.publish_instances(&list)?;
    }
    // Wait for the start-up traffic to end: nodes exchange member tables and close the links used
    // only during start-up.
    std::thread::sleep(Duration::from_secs(8));
    print("idle", benchmark.idle(Duration::from_secs(get("idle-s")))?);
    print("changes", benchmark.changes(get("changes") as usize)?);
    let faults = matches.get_many::<FleetFault>("faults");
    for fault in faults.into_iter().flatten() {
        print("fault", benchmark.fault(*fault)?);
    }
    Ok(())
}

/// Returns the entry of an instance that is listed but does not run, in a separate region.
fn absent_instance(index: usize, services: usize) -> Value {
    let host = format!("127.9.{}.{}", index / 250, index % 250 + 1);
    json!({
        "address": format!("{host}:9"),
        "admin": format!("{host}:10"),
        "service": format!("service-{}", index % services.max(1)),
        "zone": format!("absent-{}", index % 4),
        "region": "absent",
        "state": "live",
    })
}
