use std::collections::HashMap;

use crate::id::ServiceName;
use crate::mesh::RouteRule;

/// Weighted distribution of the requests of each route over its target services.
///
/// Uses smooth weighted round robin, which keeps every prefix of the sequence within one request of
/// the weights.
#[derive(Debug, Default)]
pub struct TargetPicker {
    current_weights: HashMap<String, Vec<i64>>,
}

impl TargetPicker {
    /// Creates a picker without state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Clears the state of all routes, because the weights may have changed.
    pub fn reset(&mut self) {
        self.current_weights.clear();
    }

    /// Picks the target service of the next request.
    pub fn pick<'a>(&mut self, rule: &'a RouteRule) -> &'a ServiceName {
        let targets = &rule.targets;
        if targets.len() == 1 {
            return &targets[0].service;
        }
        let total: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        let current_weights = self.current_weights.entry(rule.name.clone()).or_default();
        if current_weights.len() != targets.len() {
            *current_weights = (0..targets.len())
                .map(|_| rand::random_range(0..total.max(1)))
                .collect();
        }
        for (current, target) in current_weights.iter_mut().zip(targets) {
            *current += i64::from(target.weight);
        }
        let best = (0..targets.len())
            .filter(|index| targets[*index].weight > 0)
            .max_by_key(|index| current_weights[*index])
            .unwrap_or(0);
        current_weights[best] -= total;
        &targets[best].service
    }
}
