use std::collections::HashMap;
use std::str::FromStr;

use serde::Deserialize;
use serde_json::Number;
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::ServiceName;
use crate::manifest::manifest_limits;
use crate::manifest::{KindEntry, RouteEntry, ServiceEntry, ServicePiece};
use crate::size::SlotCount;

/// The published JSON document, before inheritance is resolved.
///
/// Numbers are kept in their JSON form, so that a number that does not fit its type is reported as
/// out of range and not as a syntax error.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawManifest {
    number: Number,
    services: Vec<RawService>,
    routes: Vec<RawRoute>,
}

/// A service of the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: String,
    #[serde(default)]
    inherits: Option<String>,
    #[serde(default)]
    protocol: Option<String>,
    #[serde(default)]
    slots: Option<Number>,
    #[serde(default)]
    connections: Option<Number>,
    #[serde(default)]
    kinds: Vec<RawKind>,
}

/// A kind of a service of the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKind {
    name: String,
    idempotent: bool,
    weight: Number,
    deadline_ms: Number,
    long: bool,
    objective: Number,
}

/// A route of the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    method: String,
    prefix: String,
    service: String,
    kind: String,
}

impl RawManifest {
    /// Parses a published manifest.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|error| {
            let message = error.to_string();
            // serde_json has no error category for these cases, so they are recognized by message.
            // Tests detect a change of the wording.
            let code = if message.starts_with("unknown field") {
                ResultCode::ManifestUnknownField
            } else if message.starts_with("number out of range") {
                ResultCode::ManifestOutOfRange
            } else {
                ResultCode::ManifestSyntax
            };
            Error::new(code, message)
        })
    }

    /// Returns the version number.
    pub(crate) fn number(&self) -> Result<u64> {
        let number = parse_u64("number", &self.number)?;
        manifest_limits::check_range("number", &number, &(1..=u64::MAX))?;
        Ok(number)
    }

    /// Resolves inheritance and groups the routes by service.
    pub(crate) fn into_pieces(self) -> Result<Vec<ServicePiece>> {
        manifest_limits::check_counts(self.services.len(), self.routes.len())?;
        let mut positions = HashMap::new();
        for (position, service) in self.services.iter().enumerate() {
            if positions.insert(service.name.as_str(), position).is_some() {
                return Err(manifest_limits::duplicate(format!(
                    "duplicate service {}",
                    service.name
                )));
            }
        }
        let mut pieces = Vec::with_capacity(self.services.len());
        for service in &self.services {
            let chain = inheritance_chain(&self.services, &positions, service)?;
            pieces.push(ServicePiece {
                service: resolve(&chain)?,
                routes: Vec::new(),
            });
        }
        for route in &self.routes {
            let position = positions.get(route.service.as_str()).ok_or_else(|| {
                missing_service(format!(
                    "route {} {} refers to service {}, which the manifest does not define",
                    route.method, route.prefix, route.service
                ))
            })?;
            pieces[*position].routes.push(RouteEntry {
                method: route.method.clone(),
                prefix: route.prefix.clone(),
                service: parse(&route.service)?,
                kind: route.kind.parse()?,
            });
        }
        for piece in &mut pieces {
            piece
                .routes
                .sort_by(|a, b| (&a.prefix, &a.method).cmp(&(&b.prefix, &b.method)));
        }
        Ok(pieces)
    }
}

/// Returns the service followed by its ancestors, nearest first.
fn inheritance_chain<'a>(
    services: &'a [RawService],
    positions: &HashMap<&str, usize>,
    service: &'a RawService,
) -> Result<Vec<&'a RawService>> {
    let mut chain = vec![service];
    let mut current = service;
    while let Some(parent) = &current.inherits {
        let position = positions.get(parent.as_str()).ok_or_else(|| {
            missing_service(format!(
                "service {} inherits from {parent}, which the manifest does not define",
                current.name
            ))
        })?;
        current = &services[*position];
        chain.push(current);
        // A chain longer than the number of services contains a cycle.
        if chain.len() > services.len() {
            return Err(Error::new(
                ResultCode::ManifestInheritanceCycle,
                format!(
                    "service {} inherits from itself or a cycle of services",
                    service.name
                ),
            ));
        }
    }
    Ok(chain)
}

fn resolve(chain: &[&RawService]) -> Result<ServiceEntry> {
    let name: ServiceName = parse(&chain[0].name)?;
    let missing_field = |field: &str| {
        Error::new(
            ResultCode::ManifestUnreachableService,
            format!("service {name} neither defines nor inherits {field}"),
        )
    };
    let protocol = chain.iter().find_map(|service| service.protocol.clone());
    let slots = chain.iter().find_map(|service| service.slots.as_ref());
    let connections = chain
        .iter()
        .find_map(|service| service.connections.as_ref());
    let mut kinds: SmallVec<[KindEntry; 4]> = SmallVec::new();
    for (depth, service) in chain.iter().enumerate() {
        let inherited = kinds.len();
        for raw in &service.kinds {
            let kind = raw.to_kind()?;
            // A kind replaces an inherited one of the same name. Duplicates within the service
            // itself are kept, so that validation reports them.
            let replaced = kinds[..inherited].iter().any(|own| own.name == kind.name);
            if depth == 0 || !replaced {
                kinds.push(kind);
            }
            manifest_limits::check_range(
                &format!("number of kinds of service {name}"),
                &kinds.len(),
                &(0..=manifest_limits::MAX_KINDS),
            )?;
        }
    }
    Ok(ServiceEntry {
        protocol: protocol.ok_or_else(|| missing_field("protocol"))?,
        slots: SlotCount(parse_u32(
            "slots",
            slots.ok_or_else(|| missing_field("slots"))?,
        )?),
        connections: parse_u32(
            "connections",
            connections.ok_or_else(|| missing_field("connections"))?,
        )?,
        kinds,
        name,
    })
}

impl RawKind {
    fn to_kind(&self) -> Result<KindEntry> {
        Ok(KindEntry {
            name: parse(&self.name)?,
            idempotent: self.idempotent,
            weight: parse_u32("weight", &self.weight)?,
            deadline: ClockTime(parse_u64("deadline_ms", &self.deadline_ms)?),
            long: self.long,
            objective: self.objective.as_f64().unwrap_or(f64::NAN),
        })
    }
}

fn missing_service(message: String) -> Error {
    Error::new(ResultCode::ManifestMissingService, message)
}

fn parse<Name>(text: &str) -> Result<Name>
where
    Name: FromStr<Err = Error>,
{
    text.parse()
}

fn parse_u64(field: &str, number: &Number) -> Result<u64> {
    number.as_u64().ok_or_else(|| {
        manifest_limits::out_of_range(format!(
            "{field} is {number}, expected a non-negative integer"
        ))
    })
}

fn parse_u32(field: &str, number: &Number) -> Result<u32> {
    u32::try_from(parse_u64(field, number)?).map_err(|_| {
        manifest_limits::out_of_range(format!("{field} is {number}, which is too large"))
    })
}
