//! Runs an example deployment on loopback, changes a route under load and prints a summary.

use std::error::Error;
use std::fs;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction};
use serde_json::Value;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, ProcessGuard, RunningFleet, process};

/// Time limit for all nodes to become ready and for all processes to stop, in ms.
const FLEET_TIMEOUT_MS: u64 = 40_000;

/// Time limit for all nodes to serve a manifest, in ms; the design target is 7 s.
const CONVERGENCE_TIMEOUT_MS: u64 = 15_000;

/// Time limit for the load generator to exit, in ms; the profiles of the examples take 9 s.
const LOAD_TIMEOUT_MS: u64 = 60_000;

/// Delay from the start of the load to the publication of the second manifest.
const CHANGE_DELAY: Duration = Duration::from_secs(4);

type DemoResult<T> = Result<T, Box<dyn Error>>;

fn main() -> DemoResult<()> {
    let matches = clap::Command::new("demo")
        .about("Runs an example deployment and changes a route under load")
        .arg(
            Arg::new("example")
                .long("example")
                .default_value("siam-markwell")
                .help("Folder in examples/"),
        )
        .arg(
            Arg::new("latencies")
                .long("latencies")
                .action(ArgAction::SetTrue)
                .help("Apply the latencies between callers, nodes and the platform"),
        )
        .get_matches();
    let example = matches.get_one::<String>("example").expect("has a default");
    process::kill_all_on_term()?;
    println!("ready example={example}");
    let folder = std::env::temp_dir().join(format!("endive-demo-{}", std::process::id()));
    let mut plan = FleetPlan::new(DeploymentPlan::example(example)?, &folder)?;
    plan.common_settings.set_text("", "log_level", "warn");
    if matches.get_flag("latencies") {
        plan.apply_latencies()?;
    }
    let result = run(plan, example);
    let _ = fs::remove_dir_all(&folder);
    result
}

fn run(plan: FleetPlan, example: &str) -> DemoResult<()> {
    let read = |file: &str| fs::read(DeploymentPlan::example_path(example, file));
    let (first, second) = (read("manifest.json")?, read("manifest-2.json")?);
    let change = changed_route(
        &serde_json::from_slice(&first)?,
        &serde_json::from_slice(&second)?,
    )
    .ok_or("the manifests of the example have the same routes")?;

    let start = Instant::now();
    let mut fleet = RunningFleet::start(plan, &first, FLEET_TIMEOUT_MS)?;
    println!(
        "nodes ready: {} in {} ms",
        fleet.nodes.len(),
        start.elapsed().as_millis()
    );
    wait_for_version(&fleet, 1)?;

    let mut load = start_load(&fleet, example)?;
    thread::sleep(CHANGE_DELAY);
    let published = Instant::now();
    fleet.publish(&second)?;
    wait_for_version(&fleet, 2)?;
    let convergence_ms = published.elapsed().as_millis();
    let node_count = check_route(&fleet, &change)?;
    let report: Value = serde_json::from_str(&load.last_line(LOAD_TIMEOUT_MS)?)?;
    println!("manifest 2 in force everywhere after {convergence_ms} ms");
    let (method, path, service) = &change;
    println!("{method} {path} answered by {service} at {node_count} of {node_count} nodes");
    print_load(&report);

    let repeated = repeated_keys(&fleet)?;
    let calls = fleet.platform_control().get("/counts")?.body_json();
    println!("keys that ran more than once: {repeated}");
    println!(
        "platform calls: {}, at most {} in one second",
        calls["calls_total"], calls["peak_calls_per_second"]
    );
    let codes = fleet.stop(FLEET_TIMEOUT_MS)?;
    let clean = codes.iter().filter(|code| **code == Some(0)).count();
    println!("nodes stopped with exit code 0: {clean} of {}", codes.len());
    if repeated > 0 || clean < codes.len() || report["wrong"] != 0 {
        return Err("the deployment violated an invariant; see the summary above".into());
    }
    Ok(())
}

/// Returns the method, prefix and new service of the first route that differs between the
/// manifests.
fn changed_route(first: &Value, second: &Value) -> Option<(String, String, String)> {
    let old = first["routes"].as_array()?;
    let mut routes = second["routes"].as_array()?.iter();
    let route = routes.find(|route| !old.contains(route))?;
    let text = |key: &str| route[key].as_str().map(str::to_owned);
    Some((text("method")?, text("prefix")?, text("service")?))
}

fn wait_for_version(fleet: &RunningFleet, number: u32) -> DemoResult<()> {
    let mut command = Command::new(ProcessGuard::program_path("endivectl")?);
    command.arg("wait").arg(format!("--number={number}"));
    for admin in fleet.admin_addresses() {
        command.arg(format!("--admin={admin}"));
    }
    command.arg(format!("--timeout-ms={CONVERGENCE_TIMEOUT_MS}"));
    let output = command.stdin(Stdio::null()).output()?;
    if output.status.success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(format!(
        "endivectl wait for version {number} failed: {} {text}",
        output.status
    )
    .into())
}

/// Calls the changed route through every node and returns the number of nodes.
///
/// Returns an error if a response does not come from the new service.
fn check_route(fleet: &RunningFleet, change: &(String, String, String)) -> DemoResult<usize> {
    let (method, path, service) = change;
    for endpoint in &fleet.plan.endpoints {
        let response = HttpProbe::new(endpoint.entry).call(method, path, &[], &[])?;
        let value = response.body_json();
        let instance = value["instance"].as_str().unwrap_or_default();
        if !instance.starts_with(&format!("{service}-")) {
            let (name, status) = (&endpoint.name, response.status);
            let text = format!("{method} {path} at {name}: status {status}, instance {instance:?}");
            return Err(text.into());
        }
    }
    Ok(fleet.plan.endpoints.len())
}

fn start_load(fleet: &RunningFleet, example: &str) -> DemoResult<ProcessGuard> {
    let profile = DeploymentPlan::example_path(example, "load.toml");
    let mut arguments = vec![format!("--profile={}", profile.display())];
    let endpoints = fleet.plan.endpoints.iter();
    arguments.extend(endpoints.map(|endpoint| format!("--target={}", endpoint.entry)));
    Ok(ProcessGuard::start("load-gen", arguments)?)
}

fn print_load(report: &Value) {
    println!(
        "load: {} completed in time, {} wrong, weighted goodput {:.0} per second",
        report["completed"],
        report["wrong"],
        report["weighted_goodput_per_second"]
            .as_f64()
            .unwrap_or(0.0)
    );
    for (name, kind) in report["kinds"].as_object().into_iter().flatten() {
        println!(
            "  {name}: sent {}, in time {}, late {}, refused {}, failed {}, unknown {}, \
             p50 {} ms, p99 {} ms",
            kind["sent"],
            kind["completed"],
            kind["late"],
            format_counts(&kind["refused"]),
            format_counts(&kind["failed"]),
            format_counts(&kind["unknown"]),
            kind["p50_ms"],
            kind["p99_ms"]
        );
    }
}

/// Formats a count, or counts by result code.
fn format_counts(value: &Value) -> String {
    let Some(codes) = value.as_object() else {
        return value.to_string();
    };
    let counts: Vec<String> = codes
        .iter()
        .map(|(code, count)| format!("{code}:{count}"))
        .collect();
    if counts.is_empty() {
        "0".to_owned()
    } else {
        counts.join(" ")
    }
}

/// Returns the number of idempotency keys that were executed more than once.
fn repeated_keys(fleet: &RunningFleet) -> DemoResult<usize> {
    let mut counts = std::collections::HashMap::<String, u64>::new();
    for endpoint in &fleet.plan.endpoints {
        let runs = HttpProbe::new(endpoint.control).get("/runs")?.body_json();
        for (key, count) in runs.as_object().into_iter().flatten() {
            *counts.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    Ok(counts.values().filter(|count| **count > 1).count())
}
