use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::ServiceName;
use crate::manifest::{Manifest, RouteEntry};

/// Time for which a past route counts. It exceeds the lifetime of a key by the time for which a
/// part of the fleet may still hold the version before the change.
const HISTORY_SPAN: ClockTime = ClockTime(3_600_000);
/// Most past routes; beyond it the history starts again and vouches for nothing older.
const PAST_LIMIT: usize = 4_096;

/// Remembers the services that paths of keyed work led to before.
///
/// A key may have run at any of them, so a fence has to ask their endpoints too.
#[derive(Debug, Default)]
pub struct RouteHistory {
    since: Option<ClockTime>,
    past: Vec<(ClockTime, RouteEntry)>,
}

impl RouteHistory {
    /// Records a change of the version in force.
    pub fn change(&mut self, now: ClockTime, old: Option<&Manifest>, new: &Manifest) {
        let Some(old) = old else {
            self.since = Some(now);
            return;
        };
        self.past.retain(|(time, _)| now < *time + HISTORY_SPAN);
        for route in unshared(old, new) {
            self.add(now, route.clone());
        }
        for route in unshared(new, old) {
            // Paths of a new route may have led elsewhere through a shorter prefix.
            let found = old.lookup(&route.method, &route.prefix);
            if let Some(found) = found.filter(|found| found.service.name != route.service) {
                let route = RouteEntry {
                    service: found.service.name.clone(),
                    ..route.clone()
                };
                self.add(now, route);
            }
        }
        if self.past.len() > PAST_LIMIT {
            self.past.clear();
            self.since = Some(now);
        }
    }

    /// Returns the services other than `current` that a request led to within the span.
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
            let fits = route.method == method && covers(&route.prefix, path);
            let counts = fits && now < *time + HISTORY_SPAN && route.service != *current;
            if counts && !services.contains(&route.service) {
                services.push(route.service.clone());
            }
        }
        services
    }

    /// Returns for how long the history is complete.
    #[must_use]
    pub fn span(&self, now: ClockTime) -> ClockTime {
        self.since.map_or(ClockTime(0), |since| now - since)
    }

    fn add(&mut self, now: ClockTime, route: RouteEntry) {
        self.past.retain(|(_, known)| *known != route);
        self.past.push((now, route));
    }
}

/// Returns the routes to work that runs at most once which `one` has and `other` has not.
fn unshared<'a>(one: &'a Manifest, other: &'a Manifest) -> impl Iterator<Item = &'a RouteEntry> {
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

fn covers(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
