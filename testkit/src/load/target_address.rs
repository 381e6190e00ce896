use std::net::SocketAddr;
use std::str::FromStr;

/// Target address of calls, in the form `[kind=]address`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAddress {
    /// Kind of the calls sent to the address; all kinds if absent.
    pub kind: Option<String>,
    /// Address of a node or a backend server.
    pub address: SocketAddr,
}

impl FromStr for TargetAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<TargetAddress, String> {
        let (kind, address) = match text.split_once('=') {
            Some((kind, address)) => (Some(kind.to_owned()), address),
            None => (None, text),
        };
        let address = address
            .parse()
            .map_err(|_| format!("invalid address {address}"))?;
        Ok(TargetAddress { kind, address })
    }
}
