use std::net::SocketAddr;
use std::str::FromStr;

/// Gives the service time of paths with a prefix, in the form `/price=3ms`.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRule {
    /// Path prefix.
    pub prefix: String,
    /// Mean service time in ms.
    pub time_ms: f64,
}

impl FromStr for WorkRule {
    type Err = String;

    fn from_str(text: &str) -> Result<WorkRule, String> {
        let (prefix, time) = text.split_once('=').ok_or("not of the form /prefix=3ms")?;
        let digits = time.strip_suffix("ms").unwrap_or(time);
        let time_ms: f64 = digits.parse().map_err(|_| format!("bad time {time}"))?;
        if !time_ms.is_finite() || time_ms < 0.0 {
            return Err(format!("bad time {time}"));
        }
        Ok(WorkRule {
            prefix: prefix.to_owned(),
            time_ms,
        })
    }
}

/// Gives the call that work makes first, in the form `[/prefix=]http://address/path`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NestRule {
    /// Path prefix of the work that makes the call.
    pub prefix: String,
    /// Address of the called node.
    pub address: SocketAddr,
    /// Called path.
    pub path: String,
}

impl FromStr for NestRule {
    type Err = String;

    fn from_str(text: &str) -> Result<NestRule, String> {
        let (prefix, target) = text.split_once("http://").ok_or("no http:// in it")?;
        let (address, path) = target.split_once('/').ok_or("no path in it")?;
        Ok(NestRule {
            prefix: prefix.strip_suffix('=').unwrap_or("/").to_owned(),
            address: address
                .parse()
                .map_err(|_| format!("bad address {address}"))?,
            path: format!("/{path}"),
        })
    }
}
