//! Generates an open-loop load on nodes or backend servers and prints a report.

use std::error::Error;
use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use testkit::load::{LoadProfile, LoadRun, TargetAddress};
use testkit::signal;

fn command() -> Command {
    let target = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::Append)
            .value_parser(|text: &str| text.parse::<TargetAddress>())
            .help(help)
    };
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("load-gen")
        .about("Generates an open-loop load and prints a JSON report")
        .arg(file("profile", "TOML or JSON file with the load profile").required(true))
        .arg(file(
            "keys-file",
            "File to which a JSON object of idempotency keys and results is written",
        ))
        .arg(target(
            "target",
            "Caller address of a node, in the form [kind=]address",
        ))
        .arg(target(
            "direct",
            "Address of a backend server, in the form [kind=]address",
        ))
        .group(
            ArgGroup::new("targets")
                .args(["target", "direct"])
                .required(true),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed of the random arrivals, overriding that of the profile"),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .default_value("1")
                .value_parser(value_parser!(f64))
                .help("Factor applied to all rates"),
        )
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    signal::exit_on_term()?;
    let path = matches.get_one::<PathBuf>("profile").expect("is required");
    let mut profile = LoadProfile::load(path)?;
    if let Some(seed) = matches.get_one("seed") {
        profile.seed = *seed;
    }
    let scale = *matches.get_one::<f64>("scale").expect("has a default");
    for step in &mut profile.steps {
        step.rate *= scale;
        step.rates.values_mut().for_each(|rate| *rate *= scale);
    }
    let nodes = matches.get_many::<TargetAddress>("target");
    let servers = matches.get_many::<TargetAddress>("direct");
    let targets = nodes
        .into_iter()
        .flatten()
        .chain(servers.into_iter().flatten());
    let targets: Vec<_> = targets.cloned().collect();
    let count = targets.len();
    let run = LoadRun::new(profile, targets)?;
    println!("ready targets={count}");
    let report = run.execute();
    if let Some(path) = matches.get_one::<PathBuf>("keys-file") {
        fs::write(path, run.keys().to_string())?;
    }
    println!("{report}");
    Ok(())
}
