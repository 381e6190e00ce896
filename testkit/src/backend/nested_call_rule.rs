use std::net::SocketAddr;
use std::str::FromStr;

/// Gives the call that work makes first, in the form `[/prefix=]http://address/path`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NestedCallRule {
    /// Path prefix of the work that makes the call.
    pub prefix: String,
    /// Address of the called node.
    pub address: SocketAddr,
    /// Called path.
    pub path: String,
}

impl FromStr for NestedCallRule {
    type Err = String;

    fn from_str(text: &str) -> Result<NestedCallRule, String> {
        let (prefix, target) = text.split_once("http://").ok_or("no http:// in it")?;
        let (address, path) = target.split_once('/').ok_or("no path in it")?;
        Ok(NestedCallRule {
            prefix: prefix.strip_suffix('=').unwrap_or("/").to_owned(),
            address: address
                .parse()
                .map_err(|_| format!("bad address {address}"))?,
            path: format!("/{path}"),
        })
    }
}
