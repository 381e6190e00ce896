//! Command line program that runs a node of the mesh next to a backend server.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use endivelanding::node;
use endivelanding::settings::NodeSettings;

/// Exit code for invalid settings and for a node that fails to run.
const EXIT_FAILURE: u8 = 2;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in TOML; docs/settings.md lists the keys");
    Command::new("endive-node")
        .about("Runs one node of the mesh beside a backend server")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs the node until SIGTERM; a second SIGTERM ends it at once")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks the settings and starts nothing")
                .arg(settings),
        )
        .after_help(
            "Examples:\n  endive-node check --settings node.toml\n  endive-node run --settings node.toml",
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, arguments)) = matches.subcommand() else {
        return ExitCode::from(EXIT_FAILURE);
    };
    let Some(path) = arguments.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_FAILURE);
    };
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("endive-node: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    if name == "check" {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match node::run(settings) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(error) => {
            eprintln!("endive-node: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
