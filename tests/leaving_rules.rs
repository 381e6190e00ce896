//! Tests of the memory of endpoints that have said that they shut down.

use endivelanding::clock::ClockTime;
use endivelanding::id::EndpointId;
use endivelanding::leaving::LeavingSet;

fn endpoint(number: usize) -> EndpointId {
    format!("i-{number}").parse().expect("an identifier")
}

#[test]
fn only_a_later_incarnation_of_a_leaving_endpoint_is_used() {
    let mut set = LeavingSet::default();
    let id = endpoint(1);
    assert!(set.record(ClockTime(5), &id, 1_000));
    assert!(!set.record(ClockTime(9), &id, 1_000), "no news");
    assert!(set.contains(&id, 1_000));
    assert!(set.contains(&id, 999), "an earlier incarnation");
    assert!(!set.contains(&id, 1_001));
    assert!(!set.contains(&endpoint(2), 1_000));
    assert!(set.record(ClockTime(9), &id, 2_000));
    assert!(set.contains(&id, 1_001));
}

/// Guards against a fleet whose endpoints are replaced without end.
#[test]
fn the_oldest_departures_are_forgotten_beyond_a_limit() {
    let mut set = LeavingSet::default();
    for number in 0..5_000 {
        set.record(ClockTime(number as u64), &endpoint(number), 1);
    }
    let known = (0..5_000).filter(|number| set.contains(&endpoint(*number), 1));
    assert_eq!(known.count(), 4_096);
    assert!(set.contains(&endpoint(4_999), 1));
    assert!(!set.contains(&endpoint(0), 1));
}
