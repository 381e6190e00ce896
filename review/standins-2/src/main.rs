//! Stand-ins and cases of the second review. `review-standins-2 CASE RECORD WORK`
//! plays a case: its record goes to the file RECORD, settings and logs of the nodes to WORK.

mod endpoint;
mod http;
mod memory;
mod node;
mod proxy;
mod record;
mod scene;
mod silence;
mod slow;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use scene::CasePaths;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let mut path = || PathBuf::from(arguments.next().unwrap_or_default());
    let paths = CasePaths {
        record: path(),
        work: path(),
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match case.as_str() {
        "memory" => memory::play(&paths, is_troubled),
        "silence" => silence::play(&paths, is_troubled),
        "slow" => slow::play(&paths, is_troubled),
        _ => Err(std::io::Error::other(format!("unknown case `{case}`"))),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
