use std::collections::HashMap;
use std::sync::Arc;

use crate::error::{Error, Result, ResultCode};
use crate::mesh::{ClientLimits, ConfigContent, ConfigVersion, RouteRule};

/// Is one whole, validated configuration.
#[derive(Debug)]
pub struct MeshConfig {
    version: ConfigVersion,
    limits: ClientLimits,
    hosts: HashMap<String, HashMap<String, Arc<RouteRule>>>,
}

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
        let mut hosts: HashMap<String, HashMap<String, Arc<RouteRule>>> = HashMap::new();
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
    pub fn from_content(content: ConfigContent) -> Result<Self> {
        Self::new(content.version, content.limits, content.routes)
    }

    /// Returns the content for another node.
    #[must_use]
    pub fn content(&self) -> ConfigContent {
        let rules = self.hosts.values().flat_map(HashMap::values);
        ConfigContent {
            version: self.version,
            limits: self.limits.clone(),
            routes: rules.map(|rule| rule.as_ref().clone()).collect(),
        }
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
