use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::error::{Error, Result, ResultCode};
use crate::id::ServiceName;
use crate::mesh::{
    ClientLimits, ConfigDelta, ConfigSnapshot, ConfigVersion, RouteRule, ServiceSpec,
};

/// A complete, validated configuration.
#[derive(Debug)]
pub struct MeshConfig {
    version: ConfigVersion,
    limits: ClientLimits,
    hosts: HostTable,
    services: ServiceTable,
}

/// Services by name.
type ServiceTable = BTreeMap<ServiceName, ServiceSpec>;

/// Route rules by host and path prefix.
type HostTable = HashMap<String, HashMap<String, Arc<RouteRule>>>;

impl MeshConfig {
    /// Builds a configuration from its version, client limits and route rules.
    ///
    /// # Errors
    ///
    /// `ManifestDuplicateName` if two routes have the same host and prefix; `ManifestOutOfRange` if
    /// a prefix does not begin and end with a slash or a route has no target with a positive
    /// weight.
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
                    format!("route {name}: another route has the same host and prefix"),
                ));
            }
        }
        Ok(Self {
            version,
            limits,
            hosts,
            services: ServiceTable::new(),
        })
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services<Services>(mut self, services: Services) -> Self
    where
        Services: IntoIterator<Item = ServiceSpec>,
    {
        let named = services.into_iter().map(|spec| (spec.name.clone(), spec));
        self.services = named.collect();
        self
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns the limits for client connections.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Builds a configuration from its full content.
    ///
    /// # Errors
    ///
    /// As for [`MeshConfig::new`].
    pub fn from_snapshot(content: ConfigSnapshot) -> Result<Self> {
        let config = Self::new(content.version, content.limits, content.routes)?;
        Ok(config.with_services(content.services))
    }

    /// Returns the full content, for transfer to another node.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            limits: self.limits.clone(),
            routes: self.rules().map(|rule| rule.as_ref().clone()).collect(),
            services: self.services().cloned().collect(),
        }
    }

    /// Builds the configuration that results from applying a delta.
    ///
    /// # Errors
    ///
    /// `ManifestOutOfRange` if the delta applies to another version or contains a route that
    /// [`MeshConfig::new`] rejects.
    pub fn with_delta(&self, delta: ConfigDelta) -> Result<Self> {
        if delta.base != self.version {
            return Err(Error::new(
                ResultCode::ManifestOutOfRange,
                format!(
                    "configuration delta applies to version {}, but version {} is installed",
                    delta.base, self.version
                ),
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
        let config = Self {
            version: delta.version,
            limits: delta.limits,
            hosts,
            services: ServiceTable::new(),
        };
        Ok(config.with_services(delta.services))
    }

    /// Returns the rules of all routes.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the rule of the route with exactly this host and path prefix.
    #[must_use]
    pub fn rule(&self, host: &str, prefix: &str) -> Option<&Arc<RouteRule>> {
        self.hosts.get(host)?.get(prefix)
    }

    /// Returns the rule of the route of a host whose prefix is the longest match for a path.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.hosts.get(host)?;
        let slashes = path.match_indices('/').map(|(index, _)| index);
        slashes.rev().find_map(|index| rules.get(&path[..=index]))
    }
}

fn check_route(route: &RouteRule) -> Result<()> {
    let total_weight: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let problem = match (has_slashes, total_weight) {
        (false, _) => "the prefix must begin and end with a slash",
        (_, 0) => "no target has a positive weight",
        _ => return Ok(()),
    };
    Err(Error::new(
        ResultCode::ManifestOutOfRange,
        format!("route {}: {problem}", route.name),
    ))
}
