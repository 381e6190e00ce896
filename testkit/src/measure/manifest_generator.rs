use serde_json::{Value, json};

/// Kinds of each service.
const KINDS: usize = 8;
/// Routes of each kind; with 8 kinds a service has about 2.3 kB.
const ROUTES: usize = 2;

/// Makes manifests that differ from each other in one service.
#[derive(Debug, Clone)]
pub struct ManifestGenerator {
    services: usize,
    number: u64,
}

impl ManifestGenerator {
    /// Creates a plan of manifests with the given number of services.
    #[must_use]
    pub fn new(services: usize) -> ManifestGenerator {
        ManifestGenerator {
            services,
            number: 0,
        }
    }

    /// Returns the number of the last manifest.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the text of the next manifest; one service has another deadline than before.
    pub fn next_text(&mut self) -> String {
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
        // The number of changes that this service had so far.
        let turns = (self.number + self.services as u64 - index as u64) / self.services as u64;
        let kinds = (0..KINDS).map(|kind| {
            json!({
                "name": format!("kind-{kind}"),
                "idempotent": true,
                "weight": 5,
                "deadline_ms": 300 + if kind == 0 { turns } else { 0 },
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
    (0..KINDS * ROUTES).map(move |route| {
        json!({
            "method": "GET",
            "prefix": format!("/service-{index}/route-{route}"),
            "service": format!("service-{index}"),
            "kind": format!("kind-{}", route % KINDS),
        })
    })
}
