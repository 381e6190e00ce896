//! Tests of endpoint selection.

use endivelanding::clock::ClockTime;
use endivelanding::id::{KindName, NodeAddress, NodeIncarnation, RequestKey};
use endivelanding::membership::MemberState;
use endivelanding::routing::{
    CallCompletion, CompletionStatus, EndpointEntry, EndpointPolicy, EndpointTable, EndpointTier,
    OutlierDetector,
};
use endivelanding::size::SlotCount;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn address(number: u16) -> NodeAddress {
    NodeAddress(([127, 0, 0, 1], number).into())
}

fn kind() -> KindName {
    "lookup".parse().unwrap()
}

fn entry(number: u16, zone: &str, region: &str) -> EndpointEntry {
    EndpointEntry {
        address: address(number),
        incarnation: NodeIncarnation(1),
        zone: zone.parse().unwrap(),
        region: region.parse().unwrap(),
        state: MemberState::Live,
        suspected: false,
        slots: SlotCount(6),
    }
}

fn table(entries: &[EndpointEntry]) -> EndpointTable {
    let mut table = EndpointTable::new("z1".parse().unwrap(), "r1".parse().unwrap());
    table.update(ClockTime(0), entries);
    table
}

/// Returns a table with endpoints 1 to 4 in its own zone, and its entries.
fn zone_table() -> (EndpointTable, Vec<EndpointEntry>) {
    let entries: Vec<_> = (1..=4).map(|number| entry(number, "z1", "r1")).collect();
    (table(&entries), entries)
}

fn finish(table: &mut EndpointTable, now: u64, number: u16, status: CompletionStatus, ms: f64) {
    let now = ClockTime(now);
    table.call_started(now, address(number), &kind());
    let completion = CallCompletion {
        address: address(number),
        kind: kind(),
        started: now,
        status,
        latency_ms: ms,
        load: None,
    };
    table.call_finished(now, &completion);
}

fn shares(table: &mut EndpointTable, now: u64) -> [u32; 4] {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = [0; 4];
    for _ in 0..400 {
        let choice = table.choose(ClockTime(now), &mut rng, &[]).unwrap();
        counts[usize::from(choice.address.0.port()) - 1] += 1;
    }
    counts
}

/// Guards against calls to distant endpoints while near ones have capacity left, and against queues
/// at near endpoints while distant ones are idle.
#[test]
fn nearest_tier_with_capacity_is_chosen() {
    let places = [(1, "z1", "r1"), (2, "z2", "r1"), (3, "z3", "r2")];
    let entries = places.map(|(number, zone, region)| entry(number, zone, region));
    for (zone, region, link, expected) in [
        (0, 0, 0, [EndpointTier::Zone; 2]),
        (4, 0, 0, [EndpointTier::Zone; 2]),
        (5, 0, 0, [EndpointTier::Region; 2]),
        (5, 5, 0, [EndpointTier::Zone, EndpointTier::Region]),
        (6, 6, 0, [EndpointTier::CrossRegion; 2]),
        (6, 6, 6, [EndpointTier::Zone, EndpointTier::Region]),
    ] {
        let mut table = table(&entries);
        for (number, calls) in [(1, zone), (2, region), (3, link)] {
            for _ in 0..calls {
                table.call_started(ClockTime(0), address(number), &kind());
            }
        }
        let mut rng = SmallRng::seed_from_u64(1);
        let choice = table.choose(ClockTime(0), &mut rng, &[]).unwrap();
        let case = (zone, region, link, choice.tier);
        assert!(expected.contains(&choice.tier), "{case:?}");
    }
}

/// Guards against an endpoint that stops answering but is still chosen until calls to it time out.
#[test]
fn unresponsive_endpoint_is_avoided_within_half_a_second() {
    let (mut table, _) = zone_table();
    for round in 0..20 {
        for number in 1..=4 {
            finish(&mut table, round, number, CompletionStatus::Responded, 2.0);
        }
    }
    let before = shares(&mut table, 20);
    assert!(before[0] > 50, "{before:?}");
    table.call_started(ClockTime(20), address(1), &kind());
    assert_eq!(
        shares(&mut table, 200)[0],
        0,
        "an endpoint that does not answer was chosen"
    );
}

/// Guards against ejection without end, ejection after a single failure and a burst of calls at the
/// end of an ejection.
#[test]
fn endpoint_is_ejected_after_three_failures_and_probed_once() {
    let mut detector = OutlierDetector::default();
    let mut now = ClockTime(0);
    for _ in 0..3 {
        assert!(detector.admits(now));
        detector.record_failure(now, now);
    }
    for span in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        assert!(!detector.admits(now + ClockTime(span - 1)), "{span}");
        let ejected_at = now;
        now = now + ClockTime(span);
        assert!(detector.admits(now), "{span}");
        detector.record_start(now);
        assert!(!detector.admits(now), "second concurrent probe at {now}");
        detector.record_failure(now, ejected_at);
        assert!(
            !detector.is_ejected(now),
            "the failure of a call sent before the ejection counted as probe"
        );
        detector.record_failure(now, now);
    }
    now = now + ClockTime(30_000);
    detector.record_start(now);
    assert!(detector.record_success(now) && detector.admits(now));
}

/// Guards against slow endpoints that are not ejected, and against ejection because of a difference
/// of a few ms.
#[test]
fn latency_outlier_is_ejected_above_minimum_excess() {
    for (normal, slow, expected) in [(2.0, 9.0, false), (1.0, 8.0, false), (4.0, 60.0, true)] {
        let (mut table, _) = zone_table();
        for round in 0..10 {
            for number in 1..=4 {
                let ms = if number == 4 { slow } else { normal };
                finish(&mut table, round, number, CompletionStatus::Responded, ms);
            }
        }
        let ejected = table.is_ejected(ClockTime(10), address(4));
        assert_eq!(ejected, expected, "{slow} ms, other endpoints {normal} ms");
    }
}

/// Guards against overload of the remaining endpoints when a common fault ejects most of them.
#[test]
fn ejections_are_ignored_when_more_than_half_are_ejected() {
    let (mut table, _) = zone_table();
    for number in 1..=3 {
        for _ in 0..3 {
            finish(&mut table, 0, number, CompletionStatus::Failed, 1.0);
        }
        let counts = shares(&mut table, 1);
        let ignored = number == 3;
        assert_eq!(counts[0] > 0, ignored, "{number} ejected: {counts:?}");
    }
}

/// Guards against new calls to leaving or suspected endpoints, including keyed calls and resends.
#[test]
fn leaving_and_suspected_endpoints_are_not_chosen() {
    let (mut table, mut entries) = zone_table();
    entries[0].state = MemberState::Leaving;
    entries[1].suspected = true;
    table.update(ClockTime(0), &entries);
    let counts = shares(&mut table, 0);
    assert_eq!(counts[..2], [0, 0], "{counts:?}");
    let mut rng = SmallRng::seed_from_u64(2);
    let all_live = [address(2), address(3), address(4)];
    assert_eq!(table.choose(ClockTime(0), &mut rng, &all_live), None);
    for number in 0..50 {
        let key: RequestKey = format!("key-{number}").parse().unwrap();
        let choice = table.choose_by_hash(ClockTime(0), &key, &[]).unwrap();
        assert!(choice.address.0.port() > 2, "{choice:?}");
        let again = table.choose_by_hash(ClockTime(9_000), &key, &[]).unwrap();
        assert_eq!(choice, again);
    }
}

/// Guards against two attempts with one key that reach different endpoints, because the nodes that
/// send them have seen other failures.
#[test]
fn the_endpoint_of_a_key_does_not_depend_on_ejections() {
    let (mut table, _) = zone_table();
    let keys: Vec<RequestKey> = (0..50)
        .map(|number| format!("key-{number}").parse().unwrap())
        .collect();
    let choices = |table: &EndpointTable| -> Vec<NodeAddress> {
        let choose = |key| table.choose_by_hash(ClockTime(0), key, &[]).unwrap();
        keys.iter().map(|key| choose(key).address).collect()
    };
    let before = choices(&table);
    for _ in 0..3 {
        finish(&mut table, 0, 1, CompletionStatus::Failed, 1.0);
    }
    assert!(table.is_ejected(ClockTime(0), address(1)));
    assert_eq!(choices(&table), before);
}

/// Guards against a new endpoint that receives its full share immediately, and against one that
/// never reaches it.
#[test]
fn new_endpoint_warms_up() {
    let mut entries: Vec<_> = (1..=4).map(|number| entry(number, "z1", "r1")).collect();
    let mut table = table(&entries[..3]);
    table.update(ClockTime(10_000), &entries);
    assert_eq!(shares(&mut table, 10_001)[3], 0);
    let counts = shares(&mut table, 15_000);
    assert!(counts[3] > 50, "{counts:?}");
    entries[3].incarnation = NodeIncarnation(2);
    table.update(ClockTime(20_000), &entries);
    assert_eq!(
        shares(&mut table, 20_001)[3],
        0,
        "restarted endpoint is not warmed up"
    );
}

/// Guards against a slow endpoint that receives all calls of its zone because it is the only one
/// there.
#[test]
fn slow_only_endpoint_of_zone_is_replaced_by_region() {
    let mut table = table(&[
        entry(1, "z1", "r1"),
        entry(2, "z2", "r1"),
        entry(3, "z2", "r1"),
    ]);
    let mut rng = SmallRng::seed_from_u64(9);
    let mut slow = 0;
    for call in 0..1_000 {
        let now = call * 5;
        let choice = table.choose(ClockTime(now), &mut rng, &[]).unwrap();
        let own = choice.address == address(1);
        slow += u32::from(own && call >= 200);
        let ms = if own && call >= 200 { 40.0 } else { 4.0 };
        finish(
            &mut table,
            now,
            choice.address.0.port(),
            CompletionStatus::Responded,
            ms,
        );
    }
    assert!(slow < 40, "{slow} of 800 calls went to the slow endpoint");
}

/// Guards against two first attempts at the same time that reach different endpoints, because one of
/// the nodes suspects an endpoint or sees it leave. Such attempts are not fenced.
#[test]
fn the_owner_of_a_key_depends_only_on_the_member_list() {
    let (mut table, mut entries) = zone_table();
    let keys: Vec<RequestKey> = (0..50)
        .map(|number| format!("key-{number}").parse().unwrap())
        .collect();
    let owners = |table: &EndpointTable| -> Vec<NodeAddress> {
        let owner = |key| table.owner(key, &[]).unwrap().address;
        keys.iter().map(owner).collect()
    };
    let before = owners(&table);
    for _ in 0..3 {
        finish(&mut table, 0, 1, CompletionStatus::Failed, 1.0);
    }
    entries[0].suspected = true;
    entries[1].state = MemberState::Leaving;
    table.update(ClockTime(0), &entries);
    assert_eq!(owners(&table), before);
    let suspected: Vec<bool> = keys
        .iter()
        .map(|key| table.owner(key, &[]).unwrap().suspected)
        .collect();
    let expected: Vec<bool> = before
        .iter()
        .map(|owner| *owner == entries[0].address)
        .collect();
    assert_eq!(suspected, expected);
    assert!(expected.contains(&true));
}
