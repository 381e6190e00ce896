use std::net::IpAddr;

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::config_relay::LinkReport;

/// Number of nodes that a table keeps and a message names. If one of them fails, another one is known.
const MAX_LINK_COUNT: usize = 2;
/// Time, in refresh intervals, after which a report is no longer used. A report passes one level of a
/// distribution tree in an interval at most, and five levels hold 5,500 nodes.
const MAX_AGE_INTERVALS: u64 = 8;
/// Factor by which the link of another node must be faster for it to read in place of this node.
const MIN_SPEED_RATIO: u64 = 4;

/// The nodes with the fastest links among those whose reports a node has received.
///
/// Each request for a view carries the table of its sender, so the roots of the distribution trees learn
/// of the fastest links of their region.
///
/// # Examples
///
/// ```
/// use endivelanding::clock::ClockTime;
/// use endivelanding::config_relay::{LinkReport, LinkTable};
///
/// let node = "10.1.0.8".parse()?;
/// let report = LinkReport { node, transfer_time: ClockTime(80), age: ClockTime(0) };
/// let mut table = LinkTable::default();
/// table.record(ClockTime(5_000), report);
/// let interval = ClockTime(750);
/// let [slow, fast] = [ClockTime(1_600), ClockTime(100)];
/// let relay = table.relay(ClockTime(5_500), interval, slow);
/// assert_eq!(relay.map(|report| report.node), Some(node));
/// assert_eq!(table.relay(ClockTime(5_500), interval, fast), None);
/// assert_eq!(table.relay(ClockTime(20_000), interval, slow), None);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Default)]
pub struct LinkTable {
    /// Transfer time, node and time of its report, the fastest first.
    links: SmallVec<[(ClockTime, IpAddr, ClockTime); MAX_LINK_COUNT + 1]>,
}

impl LinkTable {
    /// Records a report, unless a later one of the same node or enough faster links are known.
    pub fn record(&mut self, now: ClockTime, report: LinkReport) {
        let reported_at = now - report.age;
        let known = self
            .links
            .iter()
            .position(|(_, node, _)| *node == report.node);
        if let Some(index) = known {
            if self.links[index].2 >= reported_at {
                return;
            }
            self.links.remove(index);
        }
        let link = (report.transfer_time, report.node, reported_at);
        let place = self
            .links
            .partition_point(|other| (other.0, other.1) < (link.0, link.1));
        self.links.insert(place, link);
        self.links.truncate(MAX_LINK_COUNT);
    }

    /// Removes a node that did not respond.
    pub fn remove(&mut self, node: IpAddr) {
        self.links.retain(|(_, other, _)| *other != node);
    }

    /// Returns the reports that a node passes on, after it has discarded those that are too old.
    pub fn reports(
        &mut self,
        now: ClockTime,
        interval: ClockTime,
    ) -> SmallVec<[LinkReport; MAX_LINK_COUNT]> {
        let max_age = ClockTime(interval.0 * MAX_AGE_INTERVALS);
        self.links
            .retain(|(_, _, reported_at)| now - *reported_at <= max_age);
        let links = self.links.iter();
        links
            .map(|(transfer_time, node, reported_at)| LinkReport {
                node: *node,
                transfer_time: *transfer_time,
                age: now - *reported_at,
            })
            .collect()
    }

    /// Returns the node that is to read in place of one whose link has the given transfer time, or `None`
    /// if that node reads itself.
    #[must_use]
    pub fn relay(
        &mut self,
        now: ClockTime,
        interval: ClockTime,
        transfer_time: ClockTime,
    ) -> Option<LinkReport> {
        let fastest = self.reports(now, interval).into_iter().next()?;
        let is_faster = fastest.transfer_time.0 * MIN_SPEED_RATIO <= transfer_time.0;
        is_faster.then_some(fastest)
    }
}
