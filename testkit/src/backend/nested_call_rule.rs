use std::net::SocketAddr;
use std::str::FromStr;

/// Nested call made while a request is executed, in the form `[/prefix=]http://address/path`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NestedCallRule {
    /// Path prefix of the requests that make the call.
    pub prefix: String,
    /// Address of the called node.
    pub address: SocketAddr,
    /// Path of the call.
    pub path: String,
}

impl FromStr for NestedCallRule {
    type Err = String;

    fn from_str(text: &str) -> Result<NestedCallRule, String> {
        let (prefix, target) = text
            .split_once("http://")
            .ok_or("nested call has no http:// address")?;
        let (address, path) = target.split_once('/').ok_or("nested call has no path")?;
        Ok(NestedCallRule {
            prefix: prefix.strip_suffix('=').unwrap_or("/").to_owned(),
            address: address
                .parse()
                .map_err(|_| format!("invalid address {address}"))?,
            path: format!("/{path}"),
        })
    }
}
