//! Tests of the member table.

use endivelanding::clock::ClockTime;
use endivelanding::id::{NodeAddress, NodeIncarnation};
use endivelanding::membership::MemberState::{self, Gone, Leaving, Live};
use endivelanding::membership::{MemberEntry, MemberTable};
use endivelanding::platform::{InstanceEntry, InstanceList, InstanceState};

fn address(port: u16) -> NodeAddress {
    format!("127.0.0.1:{port}").parse().unwrap()
}

fn entry(port: u16, incarnation: u64, zone: &str, state: MemberState) -> MemberEntry {
    MemberEntry {
        address: address(port),
        admin: address(port + 1_000),
        incarnation: NodeIncarnation(incarnation),
        service: "ratecard".parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "central".parse().unwrap(),
        state,
    }
}

fn list(revision: u64, ports: &[u16]) -> InstanceList {
    let instance = |port: &u16| InstanceEntry {
        address: address(*port),
        admin: address(port + 1_000),
        service: "ratecard".parse().unwrap(),
        zone: "bangna".parse().unwrap(),
        region: "central".parse().unwrap(),
        state: InstanceState::Live,
    };
    InstanceList {
        revision,
        instances: ports.iter().map(instance).collect(),
    }
}

fn table() -> MemberTable {
    MemberTable::new(entry(1, 50, "bangna", Live))
}

/// Guards against a delayed message that restores an earlier state of a node.
#[test]
fn merge_order() {
    let cases = [
        ((10, Live), (10, Live), (10, Live)),
        ((10, Live), (10, Leaving), (10, Leaving)),
        ((10, Leaving), (10, Live), (10, Leaving)),
        ((10, Leaving), (10, Gone), (10, Gone)),
        ((10, Gone), (10, Leaving), (10, Gone)),
        ((10, Gone), (11, Live), (11, Live)),
        ((11, Live), (10, Gone), (11, Live)),
        ((10, Live), (0, Leaving), (10, Live)),
        ((0, Live), (10, Live), (10, Live)),
    ];
    for (first, second, expected) in cases {
        let mut members = table();
        for (incarnation, state) in [first, second] {
            members.merge(
                &entry(2, incarnation, "bangna", state),
                address(9),
                true,
                ClockTime(0),
            );
        }
        let held = members.get(&address(2)).unwrap();
        assert_eq!(
            (held.incarnation.0, held.state),
            expected,
            "{first:?} {second:?}"
        );
    }
}

/// Guards against a digest that depends on the order in which entries arrive.
#[test]
fn digest_ignores_order_and_tombstones() {
    let entries = [
        entry(2, 1, "bangna", Live),
        entry(3, 1, "bangna", Leaving),
        entry(4, 1, "bangna", Gone),
    ];
    let (mut forward, mut backward) = (table(), table());
    for n in 0..3 {
        forward.merge(&entries[n], address(9), true, ClockTime(0));
        backward.merge(&entries[2 - n], address(9), true, ClockTime(0));
    }
    assert_eq!(forward.digest(), backward.digest());
    forward.expire(ClockTime(600_000));
    assert_eq!(forward.digest(), backward.digest());
    assert!(forward.get(&address(4)).is_none());
    assert!(
        !forward.merge(&entries[2], address(9), false, ClockTime(600_001)),
        "expired tombstone was restored"
    );
    forward.merge(
        &entry(2, 2, "bangna", Live),
        address(9),
        false,
        ClockTime(0),
    );
    assert_ne!(forward.digest(), backward.digest());
}

/// Guards against removing a live instance that was contacted shortly before it was missing from a
/// list: it must be probed before its last contact is too long ago.
#[test]
fn contacted_instances_are_probed_before_they_are_removed() {
    let mut members = table();
    let at = ClockTime;
    let state = |members: &MemberTable| members.get(&address(3)).map(|entry| entry.state);
    members.merge(&entry(3, 7, "bangna", Live), address(9), false, at(0));
    members.apply_list(&list(5, &[1, 3]), at(0));
    members.record_contact(&address(3), at(1_000));
    members.apply_list(&list(6, &[1]), at(2_000));
    assert_eq!(members.next_probe(at(10_999)), None);
    for time in [11_000, 20_000, 30_999] {
        assert_eq!(members.next_probe(at(time)), Some(address(3)), "{time}");
        members.expire(at(time));
        assert_eq!(state(&members), Some(Live), "{time}");
    }
    members.record_contact(&address(3), at(30_999));
    assert_eq!(members.next_probe(at(31_000)), None);
    members.expire(at(60_998));
    assert_eq!(state(&members), Some(Live));
    members.expire(at(60_999));
    assert_eq!(state(&members), Some(Gone));
}

/// Guards against keeping an instance forever that restarted, failed and left the list, and against
/// removing a live instance that is missing from a stale list before it can refute the removal.
#[test]
fn restarted_instances_are_removed_unless_they_refute() {
    let mut members = table();
    let at = ClockTime;
    let state = |members: &MemberTable| members.get(&address(3)).map(|entry| entry.state);
    members.merge(&entry(3, 7, "bangna", Live), address(9), false, at(0));
    members.apply_list(&list(5, &[1, 3]), at(0));
    members.merge(&entry(3, 8, "bangna", Live), address(9), false, at(1_000));
    members.apply_list(&list(6, &[1]), at(100_000));
    assert_eq!(state(&members), Some(Live), "removed before it was probed");
    assert_eq!(members.next_probe(at(111_000)), Some(address(3)));
    let notice = members.removal_notice(&address(3), at(111_000)).unwrap();
    assert_eq!((notice.incarnation.0, notice.state), (8, Gone));
    members.merge(&entry(3, 9, "bangna", Live), address(3), false, at(112_000));
    members.expire(at(231_999));
    assert_eq!(
        state(&members),
        Some(Live),
        "removed although it refuted the removal"
    );
    members.expire(at(232_000));
    assert_eq!(state(&members), Some(Gone));
}

/// Guards against a stale list that removes a live node or restores a removed one.
#[test]
fn list_adds_and_removes() {
    let mut members = table();
    let at = ClockTime;
    members.merge(&entry(3, 7, "bangna", Live), address(3), false, at(0));
    assert!(members.apply_list(&list(5, &[1, 2, 3]), at(0)));
    assert!(
        !members.apply_list(&list(4, &[]), at(0)),
        "stale list was applied"
    );
    members.record_contact(&address(3), at(10_000));
    members.apply_list(&list(6, &[4]), at(20_000));
    let state = |members: &MemberTable, port| members.get(&address(port)).map(|entry| entry.state);
    assert_eq!(state(&members, 1), Some(Live), "the node removed itself");
    assert_eq!(state(&members, 2), Some(Gone));
    assert_eq!(
        state(&members, 3),
        Some(Live),
        "a node with contact 10 s before was removed"
    );
    assert!(!members.merge(&entry(3, 7, "bangna", Gone), address(9), false, at(39_000)));
    members.expire(at(40_000));
    assert_eq!(state(&members, 3), Some(Gone));
    members.apply_list(&list(7, &[2, 3, 4]), at(41_000));
    assert_eq!(state(&members, 3), Some(Gone));
    let names: Vec<_> = members
        .live_endpoints(&"ratecard".parse().unwrap())
        .map(|entry| entry.address)
        .collect();
    assert_eq!(names, [address(1), address(4)]);
}

/// Guards against a running node that stays removed.
#[test]
fn node_refutes_outdated_state_of_itself() {
    let mut members = table();
    assert!(members.merge(
        &entry(1, 50, "bangna", Gone),
        address(9),
        false,
        ClockTime(0)
    ));
    let own = members.own().unwrap();
    assert_eq!((own.incarnation.0, own.state), (51, Live));
    assert!(members.set_own_state(Leaving, ClockTime(0)));
    assert!(members.set_own_state(Live, ClockTime(0)));
    let own = members.own().unwrap();
    assert_eq!((own.incarnation.0, own.state), (52, Live));
    let gossip = members.changed_since(0, &address(9));
    assert_eq!(gossip.len(), 1);
}

/// Guards against suspicion of a node that is based on reports from one zone or too few nodes.
#[test]
fn suspicion_requires_enough_reporters() {
    let two = [
        (1, "bangna"),
        (2, "bangna"),
        (3, "ladkrabang"),
        (4, "ladkrabang"),
        (5, "bangna"),
    ];
    let one = [
        (1, "bangna"),
        (2, "bangna"),
        (3, "bangna"),
        (4, "bangna"),
        (5, "bangna"),
    ];
    let cases: &[(_, &[u16], u64, bool)] = &[
        (two, &[1, 3], 0, false),
        (two, &[1, 2, 5], 0, false),
        (two, &[1, 2, 3], 0, true),
        (two, &[1, 2, 2], 0, false),
        (two, &[1, 2, 3], 30_000, false),
        (two, &[1, 2, 9], 0, false),
        (one, &[1], 0, false),
        (one, &[1, 2], 0, true),
        (one, &[1, 4], 0, false),
    ];
    for (fleet, reporters, time, expected) in cases {
        let mut members = table();
        for (port, zone) in fleet {
            members.merge(
                &entry(*port, 1, zone, Live),
                address(*port),
                false,
                ClockTime(0),
            );
        }
        for port in *reporters {
            members.report_unreachable(
                address(4),
                NodeIncarnation(1),
                address(*port),
                ClockTime(0),
            );
        }
        let suspected = members.is_suspected(&address(4), ClockTime(*time));
        assert_eq!(suspected, *expected, "{fleet:?} {reporters:?} {time}");
        assert_eq!(members.get(&address(4)).unwrap().state, Live);
        let snapshot = members.snapshot(ClockTime(*time));
        assert_eq!(snapshot.member(&address(4)).unwrap().suspected, *expected);
        members.record_contact(&address(4), ClockTime(1));
        assert!(!members.is_suspected(&address(4), ClockTime(*time)));
    }
}

/// Guards against a node that receives no calls after its backend server has recovered.
#[test]
fn recovered_node_overrides_its_own_leaving() {
    let mut own = table();
    assert!(own.set_own_state(Leaving, ClockTime(0)));
    let mut other = MemberTable::new(entry(2, 10, "bangna", Live));
    other.merge(own.own().unwrap(), address(1), true, ClockTime(0));
    assert!(own.set_own_state(Live, ClockTime(1)));
    assert!(!own.set_own_state(Live, ClockTime(2)));
    other.merge(own.own().unwrap(), address(1), false, ClockTime(2));
    assert_eq!(other.get(&address(1)).unwrap().state, Live);
}
