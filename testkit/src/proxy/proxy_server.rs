use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::proxy::{LinkGroup, MappingRequest, ProxyFault, ProxyFaultMode, ProxyMapping};
use crate::wire::{self, HandlerReply, HttpHandler, HttpRequest, HttpResponse, SwitchableListener};

/// Fault proxy with its groups and mappings, which also handles the control requests.
#[derive(Debug, Default)]
pub struct ProxyServer {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    groups: BTreeMap<String, Arc<LinkGroup>>,
    mappings: BTreeMap<String, MappingHandle>,
}

#[derive(Debug)]
struct MappingHandle {
    mapping: Arc<ProxyMapping>,
    listener: SwitchableListener,
    group: Option<String>,
}

impl ProxyServer {
    /// Adds or updates groups and mappings.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a group is unknown; the preceding entries
    /// remain applied.
    pub fn apply(&self, request: &MappingRequest) -> io::Result<()> {
        let mut state = wire::lock(&self.state);
        for entry in &request.groups {
            let name = entry.name.clone();
            let create = || Arc::new(LinkGroup::new(entry.bits_per_second));
            let group = state.groups.entry(name).or_insert_with(create);
            group.set_rate(entry.bits_per_second);
        }
        for entry in &request.mappings {
            if let Some(existing) = state.mappings.get(&entry.name) {
                existing.mapping.set_latency(entry.latency_ms);
                continue;
            }
            let group = match &entry.group {
                Some(name) => {
                    let found = state.groups.get(name).cloned();
                    let missing = || io::Error::other(format!("unknown group {name}"));
                    Some(found.ok_or_else(missing)?)
                }
                None => None,
            };
            let (mapping, listener) = ProxyMapping::start(entry, group)?;
            let group = entry.group.clone();
            let added = MappingHandle {
                mapping,
                listener,
                group,
            };
            state.mappings.insert(entry.name.clone(), added);
        }
        Ok(())
    }

    /// Applies a fault and returns the number of affected mappings.
    pub fn set_fault(&self, fault: &ProxyFault) -> usize {
        let state = wire::lock(&self.state);
        let all = fault.mappings.is_empty() && fault.groups.is_empty();
        let mut count = 0;
        for (name, entry) in &state.mappings {
            let in_group = entry
                .group
                .as_ref()
                .is_some_and(|group| fault.groups.contains(group));
            if all || in_group || fault.mappings.contains(name) {
                entry.mapping.set_fault(fault);
                entry.listener.set_open(fault.mode != ProxyFaultMode::Cut);
                count += 1;
            }
        }
        count
    }

    /// Returns the counters of the mappings and the byte counts of the groups as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        let state = wire::lock(&self.state);
        let mut mappings = serde_json::Map::new();
        let mut groups: BTreeMap<&str, [u64; 2]> = BTreeMap::new();
        for (name, entry) in &state.mappings {
            let report = entry.mapping.report(entry.listener.accepted());
            if let Some(group) = &entry.group {
                let sums = groups.entry(group).or_default();
                sums[0] += report["to_target"].as_u64().unwrap_or(0);
                sums[1] += report["to_source"].as_u64().unwrap_or(0);
            }
            mappings.insert(name.clone(), report);
        }
        let sums = groups.into_iter().map(|(name, [target, source])| {
            let value = json!({ "to_target": target, "to_source": source });
            (name.to_owned(), value)
        });
        let groups: serde_json::Map<String, Value> = sums.collect();
        json!({ "mappings": mappings, "groups": groups })
    }
}

impl HttpHandler for ProxyServer {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        let body = request.body.as_slice();
        HandlerReply::Respond(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/bytes") => HttpResponse::json(&self.report()),
            ("POST", "/mapping") => match serde_json::from_slice(body) {
                Ok(parsed) => match self.apply(&parsed) {
                    Ok(()) => HttpResponse::new(200, ""),
                    Err(error) => HttpResponse::new(409, error.to_string()),
                },
                Err(error) => HttpResponse::new(400, error.to_string()),
            },
            ("POST", "/fault") => match serde_json::from_slice(body) {
                Ok(fault) => HttpResponse::json(&json!({ "mappings": self.set_fault(&fault) })),
                Err(error) => HttpResponse::new(400, error.to_string()),
            },
            _ => HttpResponse::new(404, "no such path"),
        })
    }
}
