use std::collections::HashSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::error::{Error, Result, ResultCode};
use crate::manifest::{KindEntry, RouteEntry, ServiceEntry, ServicePiece};

/// Largest published manifest, in bytes; the configuration service holds values up to 1 MB.
pub const MAX_MANIFEST_BYTES: usize = 1_024 * 1_024;
/// Largest number of services.
pub(crate) const MAX_SERVICES: usize = 2_000;
/// Largest number of kinds of one service.
pub(crate) const MAX_KINDS: usize = 16;
/// Largest number of routes.
pub(crate) const MAX_ROUTES: usize = 20_000;
/// Longest path prefix, in bytes; it bounds the work of one lookup.
pub(crate) const MAX_PREFIX: usize = 256;
/// Longest HTTP method, in bytes.
const MAX_METHOD: usize = 16;

/// Checks that a value lies in a range.
pub(crate) fn check_range<Value>(
    what: &str,
    value: &Value,
    range: &RangeInclusive<Value>,
) -> Result<()>
where
    Value: PartialOrd + Display,
{
    if range.contains(value) {
        return Ok(());
    }
    Err(out_of_range(format!(
        "{what} is {value}, allowed is {} to {}",
        range.start(),
        range.end()
    )))
}

/// Checks one piece by itself: numbers, duplicate kinds, and that its routes name its own kinds.
pub(crate) fn check_piece(piece: &ServicePiece) -> Result<()> {
    let service = &piece.service;
    check_service(service)?;
    for route in &piece.routes {
        check_route(route, service)?;
    }
    Ok(())
}

/// Checks the number of services and routes.
pub(crate) fn check_counts(services: usize, routes: usize) -> Result<()> {
    check_range("number of services", &services, &(0..=MAX_SERVICES))?;
    check_range("number of routes", &routes, &(0..=MAX_ROUTES))
}

fn check_service(service: &ServiceEntry) -> Result<()> {
    let name = &service.name;
    if service.protocol != "http1" {
        return Err(Error::new(
            ResultCode::ManifestUnreachableService,
            format!(
                "service {name} has protocol `{}`, known is http1",
                service.protocol
            ),
        ));
    }
    let what = |field: &str| format!("{field} of service {name}");
    check_range(&what("slots"), &service.slots.0, &(1..=1_024))?;
    check_range(&what("connections"), &service.connections, &(1..=65_535))?;
    let kinds = service.kinds.len();
    check_range(&what("number of kinds"), &kinds, &(0..=MAX_KINDS))?;
    let mut names = HashSet::new();
    for kind in &service.kinds {
        if !names.insert(&kind.name) {
            return Err(duplicate(format!(
                "kind {} of service {name} occurs twice",
                kind.name
            )));
        }
        check_kind(kind, service)?;
    }
    Ok(())
}

fn check_kind(kind: &KindEntry, service: &ServiceEntry) -> Result<()> {
    let what = |field: &str| format!("{field} of kind {} of service {}", kind.name, service.name);
    check_range(&what("weight"), &kind.weight, &(1..=1_000))?;
    check_range(&what("deadline_ms"), &kind.deadline.0, &(1..=600_000))?;
    check_range(&what("objective"), &kind.objective, &(0.5..=0.99999))
}

fn check_route(route: &RouteEntry, service: &ServiceEntry) -> Result<()> {
    if route.service != service.name {
        return Err(Error::new(
            ResultCode::ManifestMissingService,
            format!(
                "route {} {} of service {} names service {}",
                route.method, route.prefix, service.name, route.service
            ),
        ));
    }
    let upper = route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !upper || route.method.is_empty() || route.method.len() > MAX_METHOD {
        return Err(out_of_range(format!(
            "method `{}` must be 1 to {MAX_METHOD} upper-case letters",
            route.method
        )));
    }
    check_prefix(&route.prefix)?;
    if service.kind(&route.kind).is_none() {
        return Err(Error::new(
            ResultCode::ManifestMissingKind,
            format!(
                "route {} {} names kind {}, which service {} does not have",
                route.method, route.prefix, route.kind, service.name
            ),
        ));
    }
    Ok(())
}

fn check_prefix(prefix: &str) -> Result<()> {
    let visible = prefix
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'?' && byte != b'#');
    let whole = prefix == "/" || (!prefix.ends_with('/') && !prefix.contains("//"));
    if prefix.starts_with('/') && visible && whole && prefix.len() <= MAX_PREFIX {
        return Ok(());
    }
    Err(out_of_range(format!(
        "prefix `{prefix}` must be `/` or non-empty segments that each follow a `/`, \
         at most {MAX_PREFIX} visible ASCII characters without `?` and `#`"
    )))
}

/// Creates the error for a name or route that occurs twice.
pub(crate) fn duplicate(message: String) -> Error {
    Error::new(ResultCode::ManifestDuplicateName, message)
}

/// Creates the error for a value outside its range.
pub(crate) fn out_of_range(message: String) -> Error {
    Error::new(ResultCode::ManifestOutOfRange, message)
}
