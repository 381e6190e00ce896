use std::fmt::Write;
use std::net::SocketAddr;

use crate::admin::PageQuery;
use crate::error::ResultCode;
use crate::status::CallExplanation;
use crate::tool::{FleetReader, ToolOutput};

/// Queries the node at `admin` for the endpoints that a call would be routed to and formats the
/// answer.
pub async fn explain(
    reader: &FleetReader,
    admin: SocketAddr,
    method: &str,
    path: &str,
    json: bool,
) -> ToolOutput {
    let query = PageQuery::default()
        .with_field("method", method)
        .with_field("path", path);
    let page = format!("/v1/explain?{}", query.encode());
    match reader.page::<CallExplanation>(admin, &page).await {
        Ok(explanation) if json => {
            let mut page = serde_json::json!(explanation);
            page["stamp"] = explanation.stamp.to_string().into();
            ToolOutput::json(&page)
        }
        Ok(explanation) => ToolOutput::success(format_explanation(method, path, &explanation)),
        Err(error) => ToolOutput::from(error),
    }
}

fn format_explanation(method: &str, path: &str, explanation: &CallExplanation) -> String {
    let mut text = format!("{method} {path} by version {}\n", explanation.stamp);
    let (Some(prefix), Some(service), Some(kind)) =
        (&explanation.prefix, &explanation.service, &explanation.kind)
    else {
        let code = ResultCode::NoRoute;
        text += &format!("{} (code {})\n", code.meaning(), code.number());
        return text;
    };
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "route {prefix} to service {service}, kind {kind}");
    if explanation.endpoints.is_empty() {
        let code = ResultCode::NoEndpoint;
        let _ = writeln!(text, "{} (code {})", code.meaning(), code.number());
        return text;
    }
    let _ = writeln!(
        text,
        "{:<22} {:<16} {:>9} {:>6} {:>8}  state",
        "endpoint", "zone", "in flight", "load", "slowness"
    );
    for endpoint in &explanation.endpoints {
        let zone = endpoint.zone.as_ref().map_or("-", |zone| zone.as_str());
        let _ = writeln!(
            text,
            "{:<22} {:<16} {:>9} {:>6.2} {:>8.2}  {}",
            endpoint.address.to_string(),
            zone,
            endpoint.in_flight,
            f64::from(endpoint.load) / 1_000.0,
            endpoint.slowness,
            endpoint.state
        );
    }
    text
}
