use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use crate::error::Result;
use crate::manifest::{EncodedPiece, KindEntry, RouteEntry, ServiceEntry, manifest_limits};

/// Lookup table of routes by method and longest matching path prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    methods: HashMap<String, HashMap<String, RouteTarget>>,
}

/// Reference to a route within a piece.
#[derive(Debug, Clone)]
struct RouteTarget {
    piece: Arc<EncodedPiece>,
    position: usize,
}

/// The route, service and kind to which a request resolves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteMatch<'a> {
    /// Matching route.
    pub route: &'a RouteEntry,
    /// Service of the route.
    pub service: &'a ServiceEntry,
    /// Request kind of the route.
    pub kind: &'a KindEntry,
}

impl RouteTable {
    /// Builds the table from validated pieces.
    ///
    /// # Errors
    ///
    /// Returns `ManifestDuplicateName` if two routes have the same method and prefix.
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
                            "duplicate route {} {}",
                            route.method, route.prefix
                        )));
                    }
                    Entry::Vacant(vacant) => {
                        vacant.insert(RouteTarget {
                            piece: Arc::clone(piece),
                            position,
                        });
                    }
                }
            }
        }
        Ok(table)
    }

    /// Returns the route with the longest matching prefix of whole segments of `path`.
    ///
    /// The query and fragment of `path` are ignored.
    #[must_use]
    pub fn lookup(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let prefixes = self.methods.get(method)?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !path.starts_with('/') {
            return None;
        }
        let mut remaining = path;
        loop {
            let candidate = if remaining.is_empty() { "/" } else { remaining };
            if candidate.len() <= manifest_limits::MAX_PREFIX_BYTES
                && let Some(target) = prefixes.get(candidate)
            {
                return target.to_match();
            }
            if remaining.is_empty() || remaining == "/" {
                return None;
            }
            remaining = &remaining[..remaining.rfind('/')?];
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
