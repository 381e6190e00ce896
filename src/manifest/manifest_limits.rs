use std::collections::HashSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::error::{Error, Result, ResultCode};
use crate::manifest::{KindEntry, RouteEntry, ServiceEntry, ServicePiece};

/// Maximum size of a published manifest, in bytes. The configuration service stores values of up to
/// 1 MB.
pub const MAX_MANIFEST_BYTES: usize = 1_024 * 1_024;
/// Maximum number of services.
pub(crate) const MAX_SERVICES: usize = 2_000;
/// Maximum number of kinds per service.
pub(crate) const MAX_KINDS: usize = 16;
/// Maximum number of routes.
pub(crate) const MAX_ROUTES: usize = 20_000;
/// Maximum length of a path prefix, which bounds the cost of a route lookup.
pub(crate) const MAX_PREFIX_BYTES: usize = 256;
/// Maximum length of an HTTP method.
const MAX_METHOD_BYTES: usize = 16;

/// Checks that a value is within its allowed range.
pub(crate) fn check_range<Value>(
    field: &str,
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
        "{field} is {value}, expected {} to {}",
        range.start(),
        range.end()
    )))
}

/// Validates a single piece: numeric ranges, duplicate kinds, and references from its routes.
pub(crate) fn check_piece(piece: &ServicePiece) -> Result<()> {
    let service = &piece.service;
    check_service(service)?;
    for route in &piece.routes {
        check_route(route, service)?;
    }
    Ok(())
}

/// Checks the numbers of services and routes.
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
                "service {name} has unknown protocol `{}`, expected `http1`",
                service.protocol
            ),
        ));
    }
    let field = |member: &str| format!("{member} of service {name}");
    check_range(&field("slots"), &service.slots.0, &(1..=1_024))?;
    check_range(&field("connections"), &service.connections, &(1..=65_535))?;
    let kinds = service.kinds.len();
    check_range(&field("number of kinds"), &kinds, &(0..=MAX_KINDS))?;
    let mut names = HashSet::new();
    for kind in &service.kinds {
        if !names.insert(&kind.name) {
            return Err(duplicate(format!(
                "duplicate kind {} of service {name}",
                kind.name
            )));
        }
        check_kind(kind, service)?;
    }
    Ok(())
}

fn check_kind(kind: &KindEntry, service: &ServiceEntry) -> Result<()> {
    let field =
        |member: &str| format!("{member} of kind {} of service {}", kind.name, service.name);
    check_range(&field("weight"), &kind.weight, &(1..=1_000))?;
    check_range(&field("deadline_ms"), &kind.deadline.0, &(1..=600_000))?;
    check_range(&field("objective"), &kind.objective, &(0.5..=0.99999))
}

fn check_route(route: &RouteEntry, service: &ServiceEntry) -> Result<()> {
    if route.service != service.name {
        return Err(Error::new(
            ResultCode::ManifestMissingService,
            format!(
                "route {} {} in the piece of service {} refers to service {}",
                route.method, route.prefix, service.name, route.service
            ),
        ));
    }
    let all_uppercase = route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !all_uppercase || route.method.is_empty() || route.method.len() > MAX_METHOD_BYTES {
        return Err(out_of_range(format!(
            "invalid method `{}`: expected 1 to {MAX_METHOD_BYTES} upper-case letters",
            route.method
        )));
    }
    check_prefix(&route.prefix)?;
    if service.kind(&route.kind).is_none() {
        return Err(Error::new(
            ResultCode::ManifestMissingKind,
            format!(
                "route {} {} refers to kind {}, which service {} does not define",
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
    let normalized = prefix == "/" || (!prefix.ends_with('/') && !prefix.contains("//"));
    if prefix.starts_with('/') && visible && normalized && prefix.len() <= MAX_PREFIX_BYTES {
        return Ok(());
    }
    Err(out_of_range(format!(
        "invalid prefix `{prefix}`: expected `/` or non-empty segments that each follow a `/`, \
         at most {MAX_PREFIX_BYTES} visible ASCII characters without `?` and `#`"
    )))
}

/// Creates the error for a duplicate name or route.
pub(crate) fn duplicate(message: String) -> Error {
    Error::new(ResultCode::ManifestDuplicateName, message)
}

/// Creates the error for a value outside its allowed range.
pub(crate) fn out_of_range(message: String) -> Error {
    Error::new(ResultCode::ManifestOutOfRange, message)
}
