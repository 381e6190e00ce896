use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::config_check::{ConfigFinding, FindingLevel};
use crate::id::{RegionName, ServiceName};
use crate::mesh::{MeshConfig, RouteRule};
use crate::size::ByteSize;

/// Smallest head that a client can send with the headers of the platform.
const MIN_HEAD_BYTES: u64 = 512;
/// Divisor of the memory of an instance that gives the room for all messages.
const MESSAGE_MEMORY_DIVISOR: u64 = 2;

/// What is known of the instances on which the configuration is to run.
#[derive(Debug, Clone, Default)]
pub struct CheckedInstance {
    /// Known regions; empty if they are not known.
    pub regions: Vec<RegionName>,
    /// Memory of the smallest instance, if it is known.
    pub memory: Option<ByteSize>,
}

/// Checks a valid configuration; returns the errors first.
#[must_use]
pub fn check(config: &MeshConfig, instance: &CheckedInstance) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    let mut rules: Vec<_> = config.rules().collect();
    rules.sort_by(|first, second| first.name.cmp(&second.name));
    let mut used: BTreeSet<&ServiceName> = BTreeSet::new();
    for rule in &rules {
        check_match(rule, &mut findings);
        check_times(rule, &mut findings);
        check_homes(rule, instance, &mut findings);
        for target in &rule.targets {
            if target.weight > 0 {
                used.insert(&target.service);
                continue;
            }
            let message = format!("weight 0, so {} never gets a request", target.service);
            add(
                &mut findings,
                FindingLevel::Warning,
                "weight-zero",
                &rule.name,
                message,
            );
        }
    }
    for spec in config.services() {
        let name = spec.name.as_str();
        if !used.contains(&spec.name) {
            let message = "no route sends requests to it";
            add(
                &mut findings,
                FindingLevel::Warning,
                "unused-service",
                name,
                message,
            );
        }
        if spec.cold_rate.is_some() && spec.cold_start == ClockTime(0) {
            let message = "the rate of cold endpoints is limited, but they are cold for no time";
            add(
                &mut findings,
                FindingLevel::Warning,
                "cold-limits",
                name,
                message,
            );
        }
        if spec.cold_rate.is_some() && spec.health_path.is_empty() {
            let message =
                "the rate of cold endpoints is limited, but there is no health check to ask";
            add(
                &mut findings,
                FindingLevel::Error,
                "cold-limits",
                name,
                message,
            );
        }
    }
    check_limits(config, instance, &mut findings);
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.level));
    findings
}

/// Finds routes that no request can select: requests are looked up by host without port, in lower case, and
/// by path without query.
fn check_match(rule: &RouteRule, findings: &mut Vec<ConfigFinding>) {
    let is_host = |character: char| character.is_ascii_alphanumeric() || "-._".contains(character);
    if rule.host.is_empty() || !rule.host.chars().all(is_host) {
        let message = format!("no request has the host `{}`", rule.host);
        add(
            findings,
            FindingLevel::Error,
            "never-matches",
            &rule.name,
            message,
        );
    }
    let is_path = |character: char| character.is_ascii_graphic() && !"?#".contains(character);
    if !rule.prefix.chars().all(is_path) {
        let message = format!("no path begins with `{}`", rule.prefix);
        add(
            findings,
            FindingLevel::Error,
            "never-matches",
            &rule.name,
            message,
        );
    }
}

fn check_times(rule: &RouteRule, findings: &mut Vec<ConfigFinding>) {
    let RouteRule {
        name,
        timeout,
        objective,
        ..
    } = rule;
    if *timeout == ClockTime(0) || *objective == ClockTime(0) {
        let message = format!("the timeout is {timeout} and the objective {objective}");
        add(findings, FindingLevel::Error, "no-time", name, message);
    } else if timeout < objective {
        let message =
            format!("the timeout {timeout} ends requests before the objective {objective}");
        add(
            findings,
            FindingLevel::Warning,
            "timeout-below-target",
            name,
            message,
        );
    }
    if !rule.idempotent && rule.max_attempts > 1 {
        let message = format!(
            "{} attempts, but a request that may run once is sent on only after a refusal",
            rule.max_attempts
        );
        add(
            findings,
            FindingLevel::Warning,
            "attempts-without-effect",
            name,
            message,
        );
    }
}

fn check_homes(rule: &RouteRule, instance: &CheckedInstance, findings: &mut Vec<ConfigFinding>) {
    if rule.homes.is_unrestricted() || instance.regions.is_empty() {
        return;
    }
    let unknown: Vec<&str> = rule
        .homes
        .regions()
        .filter(|region| !instance.regions.contains(region))
        .map(RegionName::as_str)
        .collect();
    if unknown.is_empty() {
        return;
    }
    let message = format!("the homes name no known region: {}", unknown.join(", "));
    let level = match unknown.len() == rule.homes.regions().count() {
        true => FindingLevel::Error,
        false => FindingLevel::Warning,
    };
    add(findings, level, "unknown-region", &rule.name, message);
}

fn check_limits(
    config: &MeshConfig,
    instance: &CheckedInstance,
    findings: &mut Vec<ConfigFinding>,
) {
    let limits = config.limits();
    if limits.head_size.0 < MIN_HEAD_BYTES {
        let message = format!("{} bytes hold no request", limits.head_size);
        add(
            findings,
            FindingLevel::Error,
            "head-too-small",
            "head size",
            message,
        );
    }
    if limits.head_time > limits.idle_time {
        let message = format!(
            "{} for a head is more than the idle time {}",
            limits.head_time, limits.idle_time
        );
        add(
            findings,
            FindingLevel::Warning,
            "timeout-order",
            "head time",
            message,
        );
    }
    let room = instance
        .memory
        .map(|memory| memory.0 / MESSAGE_MEMORY_DIVISOR);
    if let Some(room) = room.filter(|room| limits.body_size.0 > *room) {
        let message = format!(
            "a body of {} bytes does not fit into the {room} bytes for messages of an instance",
            limits.body_size
        );
        add(
            findings,
            FindingLevel::Error,
            "body-over-memory",
            "body size",
            message,
        );
    }
}

fn add<Entry, Message>(
    findings: &mut Vec<ConfigFinding>,
    level: FindingLevel,
    rule: &'static str,
    entry: Entry,
    message: Message,
) where
    Entry: Into<String>,
    Message: Into<String>,
{
    findings.push(ConfigFinding::new(level, rule, entry, message));
}
