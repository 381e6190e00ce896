use serde_json::{Value, json};

/// Number of kinds per service.
const KIND_COUNT: usize = 8;
/// Number of routes per kind; with 8 kinds, a service takes about 2.3 kB of the manifest.
const ROUTES_PER_KIND: usize = 2;

/// Generator of manifests, each of which differs from the previous one in one service.
#[derive(Debug, Clone)]
pub struct ManifestGenerator {
    services: usize,
    number: u64,
}

impl ManifestGenerator {
    /// Creates a generator of manifests with the given number of services.
    #[must_use]
    pub fn new(services: usize) -> ManifestGenerator {
        ManifestGenerator {
            services,
            number: 0,
        }
    }

    /// Returns the version number of the last generated manifest.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the JSON text of the next manifest, in which one service has a changed deadline.
    pub fn next_manifest(&mut self) -> String {
        self.number += 1;
        let services = (0..self.services).map(|index| self.service(index));
        let routes = (0..self.services).flat_map(routes);
        let value = json!({
            "number": self.number,
            "services": services.collect::<Vec<Value>>(),
            "routes": routes.collect::<Vec<Value>>(),
        });
        value.to_string()
    }

    fn service(&self, index: usize) -> Value {
        // Number of changes made to this service so far.
        let changes = (self.number + self.services as u64 - index as u64) / self.services as u64;
        let kinds = (0..KIND_COUNT).map(|kind| {
            json!({
                "name": format!("kind-{kind}"),
                "idempotent": true,
                "weight": 5,
                "deadline_ms": 300 + if kind == 0 { changes } else { 0 },
                "long": false,
                "objective": 0.999,
            })
        });
        json!({
            "name": format!("service-{index}"),
            "inherits": null,
            "protocol": "http1",
            "slots": 6,
            "connections": 130,
            "kinds": kinds.collect::<Vec<Value>>(),
        })
    }
}

fn routes(index: usize) -> impl Iterator<Item = Value> {
    (0..KIND_COUNT * ROUTES_PER_KIND).map(move |route| {
        json!({
            "method": "GET",
            "prefix": format!("/service-{index}/route-{route}"),
            "service": format!("service-{index}"),
            "kind": format!("kind-{}", route % KIND_COUNT),
        })
    })
}
