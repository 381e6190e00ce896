use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use crate::error::{Error, ResultCode};
use crate::settings::NodeSettings;
use crate::tool::ToolOutput;

/// Validates settings files and reports every address that two of them share.
#[must_use]
pub fn check_settings(paths: &[PathBuf]) -> ToolOutput {
    let mut output = ToolOutput::default();
    let mut valid = Vec::new();
    for path in paths {
        match NodeSettings::load(path) {
            Ok(settings) => valid.push((path.as_path(), settings)),
            Err(error) => output.errors.push(error),
        }
    }
    for (index, (path, settings)) in valid.iter().enumerate() {
        let mut unique = true;
        for (other_path, other) in &valid[..index] {
            let errors = shared_addresses(path, settings, other_path, other);
            unique &= errors.is_empty();
            output.errors.extend(errors);
        }
        if unique {
            // Writing to a `String` cannot fail.
            let _ = writeln!(output.text, "{}: valid", path.display());
        }
    }
    output
}

fn shared_addresses(
    path: &Path,
    settings: &NodeSettings,
    other_path: &Path,
    other: &NodeSettings,
) -> Vec<Error> {
    // Loopback and unspecified addresses collide only on the same machine, which the IP address of
    // the peer listener identifies.
    let same_machine = settings.listen.peer.ip() == other.listen.peer.ip();
    let mut errors = Vec::new();
    for (key, address) in configured_addresses(settings) {
        for (other_key, other_address) in configured_addresses(other) {
            if address == other_address && (same_machine || !is_local(address.ip())) {
                errors.push(Error::new(
                    ResultCode::SettingsDuplicateAddress,
                    format!(
                        "{}: key `{key}` repeats the address {address} of key `{other_key}` in {}",
                        path.display(),
                        other_path.display()
                    ),
                ));
            }
        }
    }
    errors
}

fn configured_addresses(settings: &NodeSettings) -> [(&'static str, SocketAddr); 4] {
    [
        ("listen.caller", settings.listen.caller),
        ("listen.peer", settings.listen.peer),
        ("listen.admin", settings.listen.admin),
        ("backend.address", settings.backend.address),
    ]
}

fn is_local(address: IpAddr) -> bool {
    address.is_loopback() || address.is_unspecified()
}
