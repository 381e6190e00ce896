//! Tests of the set of evacuated availability zones.

use endivelanding::clock::ClockTime;
use endivelanding::evacuation::EvacuationSet;
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
