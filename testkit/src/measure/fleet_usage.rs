use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::RunningFleet;
use crate::measure::SampleSet;
use crate::wire::HttpProbe;

/// Processor time of one tick in `/proc/<pid>/stat`, in ms; Linux has 100 ticks a second.
const TICK_MS: f64 = 10.0;

/// Holds what the nodes of a fleet have used up to one moment.
#[derive(Debug, Clone)]
pub struct FleetUsage {
    taken: Instant,
    nodes: Vec<NodeUsage>,
    link: u64,
    calls: u64,
}

#[derive(Debug, Clone, Default)]
struct NodeUsage {
    cpu_ms: f64,
    rss_kb: f64,
    peak_kb: f64,
    bytes: BTreeMap<String, f64>,
}

impl FleetUsage {
    /// Reads `/proc` and the metrics of every running node, and the counts of the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not answer.
    pub fn take(fleet: &RunningFleet) -> io::Result<FleetUsage> {
        let mut nodes = Vec::new();
        for (endpoint, node) in fleet.plan.endpoints.iter().zip(&fleet.nodes) {
            if let Some(node) = node {
                let mut usage = process_usage(node.id())?;
                let text = HttpProbe::new(endpoint.admin).get("/metrics")?.text();
                usage.bytes = control_bytes(&text);
                nodes.push(usage);
            }
        }
        let mut link = 0;
        if fleet.proxy.is_some() {
            let group = &fleet.proxy_control()?.get("/bytes")?.body_json()["groups"]["link"];
            let sides = ["to_target", "to_source"];
            link = sides.iter().filter_map(|side| group[side].as_u64()).sum();
        }
        let counts = fleet.platform_control().get("/counts")?.body_json();
        Ok(FleetUsage {
            taken: Instant::now(),
            nodes,
            link,
            calls: counts["calls_total"].as_u64().unwrap_or(0),
        })
    }

    /// Returns the time since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: &FleetUsage) -> Duration {
        self.taken - earlier.taken
    }

    /// Returns what was used since an earlier moment with the same running nodes, as JSON; bytes
    /// are those sent, and memory is that of the later moment.
    #[must_use]
    pub fn report(&self, earlier: &FleetUsage) -> Value {
        let seconds = self.since(earlier).as_secs_f64();
        let pairs = || self.nodes.iter().zip(&earlier.nodes);
        let cpu = pairs().map(|(now, then)| (now.cpu_ms - then.cpu_ms) / seconds / 10.0);
        let sent = |scope: &str| -> SampleSet {
            let key = format!("sent {scope}");
            let value = |usage: &NodeUsage| usage.bytes.get(&key).copied().unwrap_or(0.0);
            let spent = pairs().map(|(now, then)| (value(now) - value(then)) / seconds);
            spent.collect()
        };
        let total = pairs().map(|(now, then)| {
            let sum = |usage: &NodeUsage| usage.bytes.values().sum::<f64>();
            (sum(now) - sum(then)) / seconds
        });
        let rss: SampleSet = self.nodes.iter().map(|usage| usage.rss_kb).collect();
        let peak: SampleSet = self.nodes.iter().map(|usage| usage.peak_kb).collect();
        json!({
            "seconds": (seconds * 10.0).round() / 10.0,
            "cpu_percent": cpu.collect::<SampleSet>().report(),
            "rss_kb": rss.report(),
            "rss_peak_kb": peak.report(),
            "control_bytes_per_second_both_ways": total.collect::<SampleSet>().report(),
            "sent_bytes_per_second": {
                "zone": sent("zone").report(),
                "region": sent("region").report(),
                "paid": sent("paid").report(),
            },
            "link_bytes": self.link - earlier.link,
            "platform_calls_per_second":
                ((self.calls - earlier.calls) as f64 / seconds * 100.0).round() / 100.0,
        })
    }
}

fn process_usage(id: u32) -> io::Result<NodeUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let size = |name: &str| {
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    Ok(NodeUsage {
        cpu_ms: (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) * TICK_MS,
        rss_kb: size("VmRSS:").unwrap_or(0.0),
        peak_kb: size("VmHWM:").unwrap_or(0.0),
        bytes: BTreeMap::new(),
    })
}

/// Returns the control bytes by direction and scope, such as `sent zone`.
fn control_bytes(text: &str) -> BTreeMap<String, f64> {
    let lines = text.lines();
    let lines = lines.filter_map(|line| line.strip_prefix("endive_control_bytes_total{"));
    let entries = lines.filter_map(|line| {
        let (labels, value) = line.split_once("} ")?;
        let label = |name: &str| {
            let mut pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| value.trim_matches('"').to_owned())
        };
        let key = format!("{} {}", label("direction")?, label("scope")?);
        Some((key, value.trim().parse().ok()?))
    });
    entries.collect()
}
