//! Read-only tool for operators that shows the state of a mesh as its nodes report it.

use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use endivelanding::clock::ClockTime;
use endivelanding::tool::{
    self, BurnSummary, FleetReader, FleetReport, ToolOutput, VersionWait, WaitTarget,
};
use endivelanding::{Result, event_loop};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Default timeout of `wait`, well above the 7 s within which a change should be in force
/// everywhere.
const DEFAULT_TIMEOUT_MS: &str = "30000";

fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints JSON on one line");
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDR")
        .required(true)
        .num_args(1..)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Admin address of a node, numeric with port; any that answers is enough");
    let file = |name: &'static str| {
        Arg::new(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("endivectl")
        .about("Shows what the nodes of a mesh know; changes nothing")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .after_help("Exit codes:\n  0 done or in force\n  2 wrong arguments or invalid file\n  3 refused or lost a conflict\n  4 timed out\n  5 no node reachable\n\nExamples:\n  endivectl check-manifest manifest.json\n  endivectl wait --manifest manifest.json --admin 10.0.0.1:7200 10.0.1.1:7200")
        .subcommand(
            Command::new("check-manifest")
                .about("Checks a manifest as the nodes do and prints its stamp")
                .arg(file("file").required(true).help("Manifest in JSON"))
                .arg(json.clone())
                .after_help("Examples:\n  endivectl check-manifest manifest.json\n  endivectl check-manifest manifest.json --json"),
        )
        .subcommand(
            Command::new("check-settings")
                .about("Checks settings files, also for an address that two of them use")
                .arg(file("files").required(true).num_args(1..).help("Settings files in TOML"))
                .after_help("Examples:\n  endivectl check-settings node-1.toml node-2.toml"),
        )
        .subcommand(
            Command::new("status")
                .about("Shows the version in force by zone, refusals, conflicts and stale reads")
                .arg(admin.clone())
                .arg(json.clone())
                .after_help("Examples:\n  endivectl status --admin 10.0.0.1:7200\n  endivectl status --admin 10.0.0.1:7200 10.0.1.1:7200 --json"),
        )
        .subcommand(
            Command::new("wait")
                .about("Waits until a version is in force at every live node")
                .arg(Arg::new("number").long("number").value_name("N").value_parser(value_parser!(u64).range(1..)).help("Number of the version"))
                .arg(file("manifest").long("manifest").help("Manifest; its content is compared too"))
                .group(ArgGroup::new("target").args(["number", "manifest"]).required(true))
                .arg(admin.clone())
                .arg(Arg::new("timeout").long("timeout-ms").value_name("T").default_value(DEFAULT_TIMEOUT_MS).value_parser(value_parser!(u64).range(1..=86_400_000)).help("Longest wait in ms"))
                .arg(json.clone())
                .after_help("Exit codes: 0 in force, 2 wrong arguments or invalid file, 3 refused or lost a conflict,\n4 timed out, 5 no node reachable\n\nExamples:\n  endivectl wait --number 7 --admin 10.0.0.1:7200\n  endivectl wait --manifest manifest.json --admin 10.0.0.1:7200 --timeout-ms 15000"),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows where a call would go from one node and why")
                .arg(admin.clone().num_args(1).action(ArgAction::Set).help("Admin address of the node"))
                .arg(Arg::new("method").value_name("METHOD").required(true).help("HTTP method"))
                .arg(Arg::new("path").value_name("PATH").required(true).help("Path of the request"))
                .arg(json.clone())
                .after_help("Examples:\n  endivectl explain --admin 10.0.0.1:7200 GET /price/42"),
        )
        .subcommand(
            Command::new("burn")
                .about("Sums the burn reports of up to three nodes of each zone")
                .arg(admin)
                .arg(Arg::new("all").long("all").action(ArgAction::SetTrue).help("Asks every live node"))
                .arg(json)
                .after_help("Examples:\n  endivectl burn --admin 10.0.0.1:7200\n  endivectl burn --admin 10.0.0.1:7200 --all --json"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let output = match matches.subcommand() {
        Some((name, arguments)) => run(name, arguments).unwrap_or_else(ToolOutput::from),
        None => ToolOutput::default(),
    };
    // Write errors are ignored, so that a closed pipe does not panic and change the exit code.
    let _ = io::stdout().write_all(output.text.as_bytes());
    for error in &output.errors {
        let _ = writeln!(io::stderr(), "endivectl: {error}");
    }
    ExitCode::from(output.exit_status().code())
}

fn run(name: &str, arguments: &ArgMatches) -> Result<ToolOutput> {
    let paths = |key: &str| -> Vec<PathBuf> {
        let values = arguments.get_many::<PathBuf>(key);
        values.into_iter().flatten().cloned().collect()
    };
    match name {
        "check-manifest" => Ok(paths("file")
            .first()
            .map_or_else(ToolOutput::default, |path| {
                tool::check_manifest(path, arguments.get_flag("json"))
            })),
        "check-settings" => Ok(tool::check_settings(&paths("files"))),
        _ => {
            // An invalid file is reported before any node is queried.
            let target = if name == "wait" {
                Some(wait_target(arguments)?)
            } else {
                None
            };
            event_loop::run(query_fleet(name, arguments, target))?
        }
    }
}

fn wait_target(arguments: &ArgMatches) -> Result<WaitTarget> {
    match arguments.get_one::<PathBuf>("manifest") {
        Some(path) => WaitTarget::load(path),
        None => Ok(WaitTarget::from_number(
            arguments.get_one("number").copied().unwrap_or_default(),
        )),
    }
}

async fn query_fleet(
    name: &str,
    arguments: &ArgMatches,
    target: Option<WaitTarget>,
) -> Result<ToolOutput> {
    let json = arguments.get_flag("json");
    let admins: Vec<SocketAddr> = arguments
        .get_many("admin")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let first = admins.first().copied();
    let mut reader = FleetReader::new(admins);
    let mut rng = StdRng::from_os_rng();
    if let Some(target) = target {
        let timeout = arguments.get_one("timeout").copied().unwrap_or_default();
        let wait = VersionWait {
            target,
            timeout: ClockTime(timeout),
        };
        let is_terminal = io::stderr().is_terminal();
        let result = wait
            .run(&mut reader, &mut rng, |have, live| {
                if is_terminal {
                    eprint!("\r\x1b[Kknown at {have} of {live} live nodes");
                }
            })
            .await;
        if is_terminal {
            eprint!("\r\x1b[K");
        }
        return Ok(result.output(&wait.target, json));
    }
    if let ("explain", Some(admin)) = (name, first) {
        let text = |key: &str| {
            arguments
                .get_one::<String>(key)
                .cloned()
                .unwrap_or_default()
        };
        let (method, path) = (text("method"), text("path"));
        return Ok(tool::explain(&reader, admin, &method, &path, json).await);
    }
    if name == "burn" {
        let all = arguments.get_flag("all");
        let summary = BurnSummary::read(&mut reader, all, &mut rng).await?;
        return Ok(if json {
            ToolOutput::json(&summary)
        } else {
            ToolOutput::success(summary.to_string())
        });
    }
    let report = FleetReport::new(&reader.read_snapshot(&mut rng).await?);
    Ok(if json {
        ToolOutput::json(&report)
    } else {
        ToolOutput::success(report.to_string())
    })
}
