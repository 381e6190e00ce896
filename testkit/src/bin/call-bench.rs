//! Benchmarks the call path on small fleets and prints one JSON line per measurement.

use std::error::Error;

use clap::{Arg, Command, value_parser};
use serde_json::{Value, json};
use testkit::bench::{BenchPlan, LoadBenchmark, OverheadBenchmark, RemovalBenchmark};
use testkit::process;

/// Benchmarks that `--part` accepts.
const PARTS: [&str; 6] = ["goodput", "blocking", "slowed", "leave", "added", "hops"];

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let argument = Arg::new(name).long(name).default_value(default).help(help);
        argument.value_parser(value_parser!(u64).range(1..=1_000))
    };
    Command::new("call-bench")
        .about("Benchmarks goodput, latencies and costs of calls with real processes on loopback")
        .arg(
            Arg::new("part")
                .long("part")
                .required(true)
                .value_parser(PARTS)
                .help("Benchmark to run"),
        )
        .arg(
            Arg::new("example")
                .long("example")
                .default_value("siam-markwell")
                .value_parser(["siam-markwell", "timbre-listo"])
                .help("Folder in examples/"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value("both")
                .value_parser(["own", "plain", "both"])
                .help("Call policy of the nodes"),
        )
        .arg(number("seed", "7", "Seed of the random arrivals"))
        .arg(number(
            "repeat",
            "1",
            "Number of runs; the seed is incremented for each run",
        ))
        .arg(number("seconds", "6", "Duration of each load"))
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    process::kill_all_on_term()?;
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (part, example, policy) = (text("part"), text("example"), text("policy"));
    let policies: &[bool] = match policy.as_str() {
        "own" => &[false],
        "plain" => &[true],
        _ => &[false, true],
    };
    for run in 0..number("repeat") {
        let seed = number("seed") + run;
        for plain in policies {
            let plan = BenchPlan::new(&example, *plain);
            let value = run_part(&part, plan, seed, number("seconds") as f64)?;
            let line = json!({ "part": part, "example": example, "seed": seed, "result": value });
            println!("{line}");
        }
    }
    Ok(())
}

fn run_part(
    part: &str,
    mut plan: BenchPlan,
    seed: u64,
    seconds: f64,
) -> Result<Value, Box<dyn Error>> {
    let siam = plan.example == "siam-markwell";
    let load = LoadBenchmark { seed, seconds };
    let overhead = OverheadBenchmark { seed, seconds };
    let (service, kind, path, route) = if siam {
        ("ratecard", "price", "/price", "method=GET&path=/price")
    } else {
        (
            "catalogo",
            "availability",
            "/availability",
            "method=GET&path=/availability",
        )
    };
    Ok(match part {
        "goodput" => {
            // With these factors, four times the capacity is about 2,000 calls per second.
            plan.time_factor = if siam { 4.0 } else { 12.0 };
            plan.latencies = true;
            load.goodput(&plan, &[0.5, 1.0, 2.0, 4.0])?
        }
        "blocking" => {
            plan = BenchPlan {
                example: "siam-markwell".to_owned(),
                ..plan
            };
            load.blocking(&plan, "job-status", "print-job")?
        }
        "slowed" => {
            plan.endpoints = Some(1);
            plan.endpoint_overrides.push((service.to_owned(), 4));
            load.slowed(&plan, service, kind)?
        }
        "leave" => {
            plan.endpoints = Some(1);
            plan.endpoint_overrides.push((service.to_owned(), 3));
            let removal = RemovalBenchmark { seed };
            let mut rows = Vec::new();
            for end in ["leaving", "draining", "killed", "silent"] {
                rows.push(removal.measure(&plan, service, (kind, route), end)?);
            }
            Value::Array(rows)
        }
        "added" => {
            plan.endpoints = Some(1);
            plan.spread = 0.0;
            overhead.latency(&plan, service, kind)?
        }
        _ => {
            plan.endpoints = Some(1);
            plan.slots = Some(64);
            plan.time_factor = 0.1;
            overhead.hop_cost(&plan, service, path)?
        }
    })
}
