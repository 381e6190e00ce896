use std::collections::HashMap;
use std::sync::Arc;

use crate::error::{Error, Result, ResultCode};
use crate::mesh::{ClientLimits, ConfigDelta, ConfigSnapshot, ConfigVersion, RouteRule};

/// Is one whole, validated configuration.
#[derive(Debug)]
pub struct MeshConfig {
    version: ConfigVersion,
    limits: ClientLimits,
    hosts: HostTable,
}

/// Routes by host and path prefix.
type HostTable = HashMap<String, HashMap<String, Arc<RouteRule>>>;

impl MeshConfig {
    /// Builds a configuration from its routes.
    ///
    /// # Errors
    ///
    /// `ManifestDuplicateName` if two routes have the same host and prefix,
    /// `ManifestOutOfRange` for a prefix without slashes or a route without a weighted target.
    pub fn new(
        version: ConfigVersion,
        limits: ClientLimits,
        routes: Vec<RouteRule>,
    ) -> Result<Self> {
        let mut hosts = HostTable::new();
        for route in routes {
            check_route(&route)?;
            let name = route.name.clone();
            let rules = hosts.entry(route.host.clone()).or_default();
            let replaced = rules.insert(route.prefix.clone(), Arc::new(route));
            if replaced.is_some() {
                return Err(Error::new(
                    ResultCode::ManifestDuplicateName,
                    format!("route {name}: host and prefix occur twice"),
                ));
            }
        }
        Ok(Self {
            version,
            limits,
            hosts,
        })
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits for clients.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Builds a configuration from its content.
    ///
    /// # Errors
    ///
    /// As for [`MeshConfig::new`].
    pub fn from_snapshot(content: ConfigSnapshot) -> Result<Self> {
        Self::new(content.version, content.limits, content.routes)
    }

    /// Returns the content for another node.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            limits: self.limits.clone(),
            routes: self.rules().map(|rule| rule.as_ref().clone()).collect(),
        }
    }

    /// Builds the configuration that a delta leads to.
    ///
    /// # Errors
    ///
    /// `ManifestOutOfRange` if the delta applies to another version or names a route as in
    /// [`MeshConfig::new`].
    pub fn with_delta(&self, delta: ConfigDelta) -> Result<Self> {
        if delta.base != self.version {
            return Err(Error::new(
                ResultCode::ManifestOutOfRange,
                format!("a delta of version {} for {}", delta.base, self.version),
            ));
        }
        let mut hosts = self.hosts.clone();
        for key in &delta.removed {
            if let Some(rules) = hosts.get_mut(&key.host) {
                rules.remove(&key.prefix);
            }
        }
        for route in delta.changed {
            check_route(&route)?;
            let rules = hosts.entry(route.host.clone()).or_default();
            rules.insert(route.prefix.clone(), Arc::new(route));
        }
        Ok(Self {
            version: delta.version,
            limits: delta.limits,
            hosts,
        })
    }

    /// Returns all routes.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the route of a host and a path prefix.
    #[must_use]
    pub fn rule(&self, host: &str, prefix: &str) -> Option<&Arc<RouteRule>> {
        self.hosts.get(host)?.get(prefix)
    }

    /// Finds the route with the longest prefix for a host and a path.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.hosts.get(host)?;
        let slashes = path.match_indices('/').map(|(index, _)| index);
        slashes.rev().find_map(|index| rules.get(&path[..=index]))
    }
}

fn check_route(route: &RouteRule) -> Result<()> {
    let weights: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let framed = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let what = match (framed, weights) {
        (false, _) => "the prefix must begin and end with a slash",
        (_, 0) => "no target has a weight",
        _ => return Ok(()),
    };
    Err(Error::new(
        ResultCode::ManifestOutOfRange,
        format!("route {}: {what}", route.name),
    ))
}
