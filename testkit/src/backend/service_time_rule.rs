use std::str::FromStr;

/// Service time of paths with a prefix, in the form `/price=3ms`.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTimeRule {
    /// Path prefix of the requests that take this time.
    pub prefix: String,
    /// Mean service time in ms.
    pub time_ms: f64,
}

impl FromStr for ServiceTimeRule {
    type Err = String;

    fn from_str(text: &str) -> Result<ServiceTimeRule, String> {
        let (prefix, time) = text
            .split_once('=')
            .ok_or("service time is not of the form /prefix=3ms")?;
        let digits = time.strip_suffix("ms").unwrap_or(time);
        let time_ms: f64 = digits
            .parse()
            .map_err(|_| format!("invalid service time {time}"))?;
        if !time_ms.is_finite() || time_ms < 0.0 {
            return Err(format!("invalid service time {time}"));
        }
        Ok(ServiceTimeRule {
            prefix: prefix.to_owned(),
            time_ms,
        })
    }
}
