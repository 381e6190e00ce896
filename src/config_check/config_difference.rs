use std::collections::BTreeMap;

use crate::config_check::{ConfigFinding, FindingLevel};
use crate::id::RegionName;
use crate::mesh::{MeshConfig, RouteRule};

/// Compares a configuration with the one in force; returns the differences by entry.
///
/// A version that is not higher than the one in force is an error, because no node uses it.
#[must_use]
pub fn compare(in_force: &MeshConfig, new: &MeshConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    if new.version() <= in_force.version() {
        let message = format!(
            "version {} is not higher than {}, which is in force",
            new.version(),
            in_force.version()
        );
        let level = FindingLevel::Error;
        findings.push(ConfigFinding::new(
            level,
            "version-order",
            "version",
            message,
        ));
    }
    let mut change = |rule, entry: &str, message: String| {
        findings.push(ConfigFinding::new(
            FindingLevel::Change,
            rule,
            entry,
            message,
        ));
    };
    let (old_routes, new_routes) = (routes(in_force), routes(new));
    for (name, rule) in &new_routes {
        match old_routes.get(name) {
            None => change("route-added", name, format!("{}{}", rule.host, rule.prefix)),
            Some(old) if old != rule => change("route-changed", name, changed_fields(old, rule)),
            Some(_) => {}
        }
    }
    for (name, rule) in &old_routes {
        if !new_routes.contains_key(name) {
            change(
                "route-removed",
                name,
                format!("{}{}", rule.host, rule.prefix),
            );
        }
    }
    for spec in new.services() {
        match in_force.service(&spec.name) {
            None => change("service-added", spec.name.as_str(), String::new()),
            Some(old) if old != spec => {
                change(
                    "service-changed",
                    spec.name.as_str(),
                    format!("{old:?} -> {spec:?}"),
                );
            }
            Some(_) => {}
        }
    }
    for spec in in_force.services() {
        if new.service(&spec.name).is_none() {
            change("service-removed", spec.name.as_str(), String::new());
        }
    }
    if in_force.limits() != new.limits() {
        let message = format!("{:?} -> {:?}", in_force.limits(), new.limits());
        change("limits-changed", "limits", message);
    }
    findings
}

fn routes(config: &MeshConfig) -> BTreeMap<&str, &RouteRule> {
    let rules = config.rules();
    rules
        .map(|rule| (rule.name.as_str(), rule.as_ref()))
        .collect()
}

/// Describes the fields in which two rules of one name differ.
fn changed_fields(old: &RouteRule, new: &RouteRule) -> String {
    let mut fields = Vec::new();
    let mut field = |name: &str, old: String, new: String| {
        if old != new {
            fields.push(format!("{name} {old} -> {new}"));
        }
    };
    field("host", old.host.clone(), new.host.clone());
    field("prefix", old.prefix.clone(), new.prefix.clone());
    field("services", targets(old), targets(new));
    field(
        "idempotent",
        old.idempotent.to_string(),
        new.idempotent.to_string(),
    );
    field("timeout", old.timeout.to_string(), new.timeout.to_string());
    field(
        "objective",
        old.objective.to_string(),
        new.objective.to_string(),
    );
    field(
        "attempts",
        old.max_attempts.to_string(),
        new.max_attempts.to_string(),
    );
    field(
        "priority",
        old.priority.to_string(),
        new.priority.to_string(),
    );
    field("homes", homes(old), homes(new));
    fields.join(", ")
}

fn targets(rule: &RouteRule) -> String {
    let targets = rule.targets.iter();
    let texts = targets.map(|target| format!("{}:{}", target.service, target.weight));
    texts.collect::<Vec<_>>().join("+")
}

fn homes(rule: &RouteRule) -> String {
    match rule.homes.is_unrestricted() {
        true => "all".to_owned(),
        false => {
            let regions = rule.homes.regions().map(RegionName::as_str);
            regions.collect::<Vec<_>>().join("+")
        }
    }
}
