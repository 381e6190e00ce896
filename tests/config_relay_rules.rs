//! Tests of which node reads a large configuration in place of a reader with a slow link.

use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::config_relay::{LinkReport, LinkTable};

const INTERVAL: ClockTime = ClockTime(750);
const SLOW: ClockTime = ClockTime(1_600);

fn node(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn report(number: u8, transfer_time: u64, age: u64) -> LinkReport {
    LinkReport {
        node: node(number),
        transfer_time: ClockTime(transfer_time),
        age: ClockTime(age),
    }
}

fn relay(table: &mut LinkTable, now: u64) -> Option<IpAddr> {
    let relay = table.relay(ClockTime(now), INTERVAL, SLOW);
    relay.map(|report| report.node)
}

#[test]
fn the_node_with_the_fastest_link_reads_while_its_report_is_recent() {
    let mut table = LinkTable::default();
    for report in [
        report(1, 1_600, 0),
        report(2, 300, 0),
        report(3, 80, 0),
        report(4, 200, 0),
    ] {
        table.record(ClockTime(10_000), report);
    }
    assert_eq!(relay(&mut table, 10_000), Some(node(3)));
    table.remove(node(3));
    assert_eq!(relay(&mut table, 10_000), Some(node(4)), "after a failure");
    assert_eq!(
        relay(&mut table, 16_000),
        Some(node(4)),
        "after 8 intervals"
    );
    assert_eq!(
        relay(&mut table, 16_001),
        None,
        "after more than 8 intervals"
    );
}

#[test]
fn a_link_of_similar_speed_is_not_worth_the_detour() {
    for (transfer_time, expected) in [(400, Some(node(1))), (401, None)] {
        let mut table = LinkTable::default();
        table.record(ClockTime(10_000), report(1, transfer_time, 0));
        assert_eq!(relay(&mut table, 10_000), expected, "{transfer_time} ms");
    }
}

#[test]
fn a_report_that_is_passed_in_a_circle_grows_old() {
    let mut tables = [LinkTable::default(), LinkTable::default()];
    tables[0].record(ClockTime(10_000), report(1, 80, 0));
    for step in 1..=20 {
        let now = ClockTime(10_000 + step * INTERVAL.0);
        let [first, second] = &mut tables;
        for passed in first.reports(now, INTERVAL) {
            second.record(now, passed);
        }
        tables.swap(0, 1);
    }
    let now = 10_000 + 20 * INTERVAL.0;
    assert_eq!(tables.map(|mut table| relay(&mut table, now)), [None, None]);
}
