//! Runs an example deployment on loopback, changes a route under load and prints a summary.

use std::error::Error;
use std::fs;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction};
use serde_json::Value;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, ProcessGuard, RunningFleet, process};

/// Time for all nodes to become ready, and for all processes to stop, in ms.
const FLEET_LIMIT_MS: u64 = 40_000;

/// Time for a manifest to be in force everywhere, in ms; the design aims at 7 s.
const FORCE_LIMIT_MS: u64 = 15_000;

/// Time for the load to end, in ms; the profiles of the examples take 9 s.
const LOAD_LIMIT_MS: u64 = 60_000;

/// Time from the start of the load to the change of the manifest.
const CHANGE_AFTER: Duration = Duration::from_secs(4);

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
                .help("Applies the latencies between callers, nodes and the platform"),
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
    .ok_or("the manifests differ in no route")?;

    let start = Instant::now();
    let mut fleet = RunningFleet::start(plan, &first, FLEET_LIMIT_MS)?;
    println!(
        "nodes ready: {} in {} ms",
        fleet.nodes.len(),
        start.elapsed().as_millis()
    );
    wait_in_force(&fleet, 1)?;

    let mut load = start_load(&fleet, example)?;
    thread::sleep(CHANGE_AFTER);
    let published = Instant::now();
    fleet.publish(&second)?;
    wait_in_force(&fleet, 2)?;
    let force_ms = published.elapsed().as_millis();
    let checked = check_route(&fleet, &change)?;
    let report: Value = serde_json::from_str(&load.last_line(LOAD_LIMIT_MS)?)?;
    println!("manifest 2 in force everywhere after {force_ms} ms");
    let (method, path, service) = &change;
    println!("{method} {path} answered by {service} at {checked} of {checked} nodes");
    print_load(&report);

    let repeated = repeated_keys(&fleet)?;
    let calls = fleet.platform_control().get("/counts")?.body_json();
    println!("keys that ran more than once: {repeated}");
    println!(
        "platform calls: {}, at most {} in one second",
        calls["calls_total"], calls["peak_calls_per_second"]
    );
    let codes = fleet.stop(FLEET_LIMIT_MS)?;
    let clean = codes.iter().filter(|code| **code == Some(0)).count();
    println!("nodes stopped with exit code 0: {clean} of {}", codes.len());
    if repeated > 0 || clean < codes.len() || report["wrong"] != 0 {
        return Err("the deployment broke a rule, see above".into());
    }
    Ok(())
}

/// Returns method, prefix and new service of the first route that differs.
fn changed_route(first: &Value, second: &Value) -> Option<(String, String, String)> {
    let old = first["routes"].as_array()?;
    let mut routes = second["routes"].as_array()?.iter();
    let route = routes.find(|route| !old.contains(route))?;
    let text = |key: &str| route[key].as_str().map(str::to_owned);
    Some((text("method")?, text("prefix")?, text("service")?))
}

fn wait_in_force(fleet: &RunningFleet, number: u32) -> DemoResult<()> {
    let mut command = Command::new(ProcessGuard::program_path("endivectl")?);
    command.arg("wait").arg(format!("--number={number}"));
    for admin in fleet.admin_addresses() {
        command.arg(format!("--admin={admin}"));
    }
    command.arg(format!("--timeout-ms={FORCE_LIMIT_MS}"));
    let output = command.stdin(Stdio::null()).output()?;
    if output.status.success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(format!("endivectl wait for {number}: {} {text}", output.status).into())
}

/// Calls the changed route at every node and returns the number of nodes.
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
            tally(&kind["refused"]),
            tally(&kind["failed"]),
            tally(&kind["unknown"]),
            kind["p50_ms"],
            kind["p99_ms"]
        );
    }
}

/// Shows a count, or counts by result code.
fn tally(value: &Value) -> String {
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
