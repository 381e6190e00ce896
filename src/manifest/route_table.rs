use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use crate::error::Result;
use crate::manifest::{EncodedPiece, KindEntry, RouteEntry, ServiceEntry, manifest_limits};

/// Finds the route of a request by method and longest matching path prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    methods: HashMap<String, HashMap<String, RouteTarget>>,
}

/// Points at one route within a piece.
#[derive(Debug, Clone)]
struct RouteTarget {
    piece: Arc<EncodedPiece>,
    position: usize,
}

/// Holds what a request resolves to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a RouteEntry,
    /// The service that the route names.
    pub service: &'a ServiceEntry,
    /// The kind that the route names.
    pub kind: &'a KindEntry,
}

impl RouteTable {
    /// Builds the table from validated pieces.
    ///
    /// # Errors
    ///
    /// `ManifestDuplicateName` if two routes have the same method and prefix.
    pub fn build<'a, Pieces>(pieces: Pieces) -> Result<Self>
    where
        Pieces: IntoIterator<Item = &'a Arc<EncodedPiece>>,
    {
        let mut table = Self::default();
        for piece in pieces {
            for (position, route) in piece.piece.routes.iter().enumerate() {
                if !table.methods.contains_key(&route.method) {
                    table.methods.insert(route.method.clone(), HashMap::new());
                }
                let Some(prefixes) = table.methods.get_mut(&route.method) else {
                    continue;
                };
                match prefixes.entry(route.prefix.clone()) {
                    Entry::Occupied(_) => {
                        return Err(manifest_limits::duplicate(format!(
                            "route {} {} occurs twice",
                            route.method, route.prefix
                        )));
                    }
                    Entry::Vacant(slot) => {
                        slot.insert(RouteTarget {
                            piece: Arc::clone(piece),
                            position,
                        });
                    }
                }
            }
        }
        Ok(table)
    }

    /// Returns the route with the longest prefix of whole segments of `path`; a query is ignored.
    #[must_use]
    pub fn lookup(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let prefixes = self.methods.get(method)?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') {
            return None;
        }
        let mut rest = path;
        loop {
            let candidate = if rest.is_empty() { "/" } else { rest };
            if candidate.len() <= manifest_limits::MAX_PREFIX
                && let Some(target) = prefixes.get(candidate)
            {
                return target.to_match();
            }
            if rest.is_empty() || rest == "/" {
                return None;
            }
            rest = &rest[..rest.rfind('/')?];
        }
    }
}

impl RouteTarget {
    fn to_match(&self) -> Option<RouteMatch<'_>> {
        let route = self.piece.piece.routes.get(self.position)?;
        let service = &self.piece.piece.service;
        Some(RouteMatch {
            route,
            service,
            kind: service.kind(&route.kind)?,
        })
    }
}
