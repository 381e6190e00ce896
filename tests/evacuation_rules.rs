//! Tests of the set of evacuated availability zones, and of scarce regions.

use endivelanding::clock::ClockTime;
use endivelanding::evacuation::EvacuationSet;
use endivelanding::homes::ScarcityMeter;
use endivelanding::id::ZoneName;

fn zone(name: &str) -> ZoneName {
    name.parse().expect("a valid name")
}

#[test]
fn changes_of_single_zones_and_of_all_zones_agree() {
    let mut set = EvacuationSet::new();
    let change = set.set(ClockTime(1), zone("a"), true);
    assert_eq!(change.begun.as_slice(), [zone("a")]);
    let repeated = set.set(ClockTime(2), zone("a"), true);
    assert!(repeated.begun.is_empty() && repeated.ended.is_empty());
    let change = set.replace(ClockTime(3), [zone("a"), zone("b")]);
    assert_eq!(change.begun.as_slice(), [zone("b")]);
    assert!(change.ended.is_empty());
    let since: Vec<_> = set
        .zones()
        .map(|(zone, since)| (zone.as_str(), since.0))
        .collect();
    assert_eq!(since, [("a", 1), ("b", 3)]);
    let change = set.replace(ClockTime(4), [zone("b")]);
    assert_eq!(change.ended.as_slice(), [zone("a")]);
    assert!(!set.contains(&zone("a")) && set.contains(&zone("b")));
    let change = set.set(ClockTime(5), zone("b"), false);
    assert_eq!(change.ended.as_slice(), [zone("b")]);
    let unknown = set.set(ClockTime(6), zone("c"), false);
    assert!(unknown.ended.is_empty());
}

/// Guards against requests that take the slots of the only region in which others may be served.
#[test]
fn an_endpoint_is_scarce_while_requests_with_homes_are_turned_away() {
    let mut meter = ScarcityMeter::new();
    assert_eq!(meter.scarcity(ClockTime(0)), 0.0);
    for time in (0..2_000).step_by(20) {
        meter.record(ClockTime(time), time % 40 == 0);
    }
    let scarcity = meter.scarcity(ClockTime(2_000));
    assert!((0.45..0.55).contains(&scarcity), "{scarcity}");
    for time in (2_000..6_000).step_by(20) {
        meter.record(ClockTime(time), false);
    }
    assert!(meter.scarcity(ClockTime(6_000)) < 0.1);
    assert_eq!(meter.scarcity(ClockTime(60_000)), 0.0, "no recent requests");
}
