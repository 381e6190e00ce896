use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::RunningFleet;
use crate::measure::SampleSet;
use crate::wire::HttpProbe;

/// CPU time of one tick in `/proc/<pid>/stat`, in ms; Linux reports 100 ticks per second.
const TICK_MS: f64 = 10.0;

/// Snapshot of the cumulative resource usage of a fleet.
#[derive(Debug, Clone)]
pub struct FleetUsage {
    taken_at: Instant,
    nodes: Vec<NodeUsage>,
    link_bytes: u64,
    platform_calls: u64,
}

#[derive(Debug, Clone, Default)]
struct NodeUsage {
    cpu_ms: f64,
    rss_kb: f64,
    rss_peak_kb: f64,
    /// Control traffic in bytes by direction and scope.
    control_bytes: BTreeMap<String, f64>,
}

impl FleetUsage {
    /// Takes a snapshot from `/proc` and the metrics of every running node, and from the counters
    /// of the emulators.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not respond.
    pub fn take(fleet: &RunningFleet) -> io::Result<FleetUsage> {
        let mut nodes = Vec::new();
        for (endpoint, node) in fleet.plan.endpoints.iter().zip(&fleet.nodes) {
            if let Some(node) = node {
                let mut usage = read_process_usage(node.id())?;
                let text = HttpProbe::new(endpoint.admin).get("/metrics")?.text();
                usage.control_bytes = parse_control_bytes(&text);
                nodes.push(usage);
            }
        }
        let mut link_bytes = 0;
        if fleet.proxy.is_some() {
            let group = &fleet.proxy_control()?.get("/bytes")?.body_json()["groups"]["link"];
            let sides = ["to_target", "to_source"];
            link_bytes = sides.iter().filter_map(|side| group[side].as_u64()).sum();
        }
        let counts = fleet.platform_control().get("/counts")?.body_json();
        Ok(FleetUsage {
            taken_at: Instant::now(),
            nodes,
            link_bytes,
            platform_calls: counts["calls_total"].as_u64().unwrap_or(0),
        })
    }

    /// Returns the time since an earlier snapshot.
    #[must_use]
    pub fn since(&self, earlier: &FleetUsage) -> Duration {
        self.taken_at - earlier.taken_at
    }

    /// Returns the usage since an earlier snapshot with the same running nodes as JSON.
    ///
    /// Bytes by scope are those sent; memory is that of the later snapshot.
    #[must_use]
    pub fn report(&self, earlier: &FleetUsage) -> Value {
        let seconds = self.since(earlier).as_secs_f64();
        let pairs = || self.nodes.iter().zip(&earlier.nodes);
        let cpu = pairs().map(|(now, then)| (now.cpu_ms - then.cpu_ms) / seconds / 10.0);
        let sent = |scope: &str| -> SampleSet {
            let key = format!("sent {scope}");
            let value = |usage: &NodeUsage| usage.control_bytes.get(&key).copied().unwrap_or(0.0);
            let spent = pairs().map(|(now, then)| (value(now) - value(then)) / seconds);
            spent.collect()
        };
        let total = pairs().map(|(now, then)| {
            let sum = |usage: &NodeUsage| usage.control_bytes.values().sum::<f64>();
            (sum(now) - sum(then)) / seconds
        });
        let rss: SampleSet = self.nodes.iter().map(|usage| usage.rss_kb).collect();
        let peak: SampleSet = self.nodes.iter().map(|usage| usage.rss_peak_kb).collect();
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
            "link_bytes": self.link_bytes - earlier.link_bytes,
            "platform_calls_per_second":
                ((self.platform_calls - earlier.platform_calls) as f64 / seconds * 100.0).round() / 100.0,
        })
    }
}

fn read_process_usage(id: u32) -> io::Result<NodeUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces; user and system time are fields 14 and
    // 15.
    let after_name = stat.rsplit_once(')').map_or("", |(_, text)| text);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
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
        rss_peak_kb: size("VmHWM:").unwrap_or(0.0),
        control_bytes: BTreeMap::new(),
    })
}

/// Returns the control traffic in bytes from a metrics page, keyed by direction and scope, such as
/// `sent zone`.
fn parse_control_bytes(text: &str) -> BTreeMap<String, f64> {
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
