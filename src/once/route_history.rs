use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::ServiceName;
use crate::manifest::{Manifest, RouteEntry};

/// Time for which past routes are kept. It exceeds the lifetime of a key by the time for which some
/// nodes may still use the previous version.
const RETENTION: ClockTime = ClockTime(3_600_000);
/// Largest number of past routes. When it is exceeded, the history is cleared and covers only the
/// time since.
const MAX_PAST_ROUTES: usize = 4_096;

/// The services to which routes of non-idempotent kinds pointed in the past.
///
/// A key may have run at any of these services, so fence requests are also sent to their endpoints.
#[derive(Debug, Default)]
pub struct RouteHistory {
    since: Option<ClockTime>,
    past: Vec<(ClockTime, RouteEntry)>,
}

impl RouteHistory {
    /// Records a change of the manifest in force.
    pub fn record_change(&mut self, now: ClockTime, old: Option<&Manifest>, new: &Manifest) {
        let Some(old) = old else {
            self.since = Some(now);
            return;
        };
        self.past.retain(|(time, _)| now < *time + RETENTION);
        for route in routes_missing_in(old, new) {
            self.add(now, route.clone());
        }
        for route in routes_missing_in(new, old) {
            // A shorter prefix may have routed the paths of a new route to another service.
            let found = old.lookup(&route.method, &route.prefix);
            if let Some(found) = found.filter(|found| found.service.name != route.service) {
                let route = RouteEntry {
                    service: found.service.name.clone(),
                    ..route.clone()
                };
                self.add(now, route);
            }
        }
        if self.past.len() > MAX_PAST_ROUTES {
            self.past.clear();
            self.since = Some(now);
        }
    }

    /// Returns the services other than `current` to which a request was routed within the retention
    /// time.
    #[must_use]
    pub fn services(
        &self,
        now: ClockTime,
        method: &str,
        path: &str,
        current: &ServiceName,
    ) -> SmallVec<[ServiceName; 2]> {
        let mut services = SmallVec::new();
        let path = path.split(['?', '#']).next().unwrap_or(path);
        for (time, route) in &self.past {
            let matches = route.method == method && prefix_matches(&route.prefix, path);
            let counts = matches && now < *time + RETENTION && route.service != *current;
            if counts && !services.contains(&route.service) {
                services.push(route.service.clone());
            }
        }
        services
    }

    /// Returns the time for which the history is complete.
    #[must_use]
    pub fn coverage(&self, now: ClockTime) -> ClockTime {
        self.since.map_or(ClockTime(0), |since| now - since)
    }

    fn add(&mut self, now: ClockTime, route: RouteEntry) {
        self.past.retain(|(_, known)| *known != route);
        self.past.push((now, route));
    }
}

/// Returns the routes of non-idempotent kinds in `one` that `other` lacks.
fn routes_missing_in<'a>(
    one: &'a Manifest,
    other: &'a Manifest,
) -> impl Iterator<Item = &'a RouteEntry> {
    let changed = one.pieces().iter().filter(|(name, piece)| {
        let same = other.pieces().get(*name);
        same.is_none_or(|same| same.digest != piece.digest)
    });
    changed.flat_map(move |(name, piece)| {
        let entry = &piece.piece;
        let keyed = entry.routes.iter().filter(|route| {
            let kind = entry.service.kind(&route.kind);
            kind.is_some_and(|kind| !kind.idempotent)
        });
        let same = other.pieces().get(name);
        keyed.filter(move |route| same.is_none_or(|same| !same.piece.routes.contains(route)))
    })
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
