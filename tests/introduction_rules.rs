//! Tests of when a node introduces itself to its children in the distribution trees.

use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::introduction::ChildTable;

const INTERVAL: ClockTime = ClockTime(500);

fn node(host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, host))
}

/// Plays one minute of a child; returns the times of its introductions, in ms.
fn introductions<Requests, Reply>(requests: Requests, reply: Reply) -> Vec<u64>
where
    Requests: Fn(u64) -> bool,
    Reply: Fn(u64) -> Option<u64>,
{
    let mut table = ChildTable::new();
    let mut times = Vec::new();
    for time in (0..60_000).step_by(100) {
        let now = ClockTime(time);
        if requests(time) {
            table.record_request(now, INTERVAL, node(1));
        }
        if time % INTERVAL.0 == 0 && !table.due(now, INTERVAL, [node(1)]).is_empty() {
            times.push(time);
            table.record_reply(INTERVAL, node(1), reply(time).map(ClockTime));
        }
    }
    times
}

/// Guards against groups of nodes that know only each other and that no other node asks.
#[test]
fn a_child_that_never_asks_is_introduced_until_its_view_is_fresh() {
    let times = introductions(|_| false, |time| Some(time.max(1_000)));
    assert_eq!(times.len(), 8);
    assert!(times[0] <= 1_500 && times[7] <= 9_000, "{times:?}");
    let unreachable = introductions(|_| false, |_| None);
    assert_eq!(unreachable.len(), 8);
    let served_by_other_parent = introductions(|_| false, |_| Some(300));
    assert_eq!(served_by_other_parent.len(), 1);
}

#[test]
fn a_child_that_asks_is_introduced_only_after_it_has_stopped() {
    let asking = introductions(|time| time % 700 == 0, |_| Some(300));
    assert!(asking.len() <= 1, "{asking:?}");
    let stopped = introductions(|time| time % 700 == 0 && time < 30_000, |_| None);
    let late: Vec<_> = stopped.iter().filter(|time| **time > 5_000).collect();
    assert_eq!(late.len(), 8);
    assert!(*late[0] > 31_000 && *late[0] < 33_000, "{late:?}");
}

#[test]
fn a_node_that_is_no_child_is_not_introduced() {
    let mut table = ChildTable::new();
    assert!(table.due(ClockTime(0), INTERVAL, [node(1)]).is_empty());
    assert!(table.due(ClockTime(5_000), INTERVAL, []).is_empty());
    assert!(table.due(ClockTime(5_500), INTERVAL, [node(1)]).is_empty());
    assert_eq!(
        table.due(ClockTime(7_000), INTERVAL, [node(1)]).as_slice(),
        [node(1)]
    );
}
