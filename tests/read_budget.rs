//! Read load on the configuration service caused by a whole fleet.

use endivelanding::clock::ClockTime;
use endivelanding::distribution::{
    ControlAction, ControlSettings, ControlState, FleetView, ReadBudget, ReaderRank, ReaderRole,
};
use endivelanding::error::{Error, ResultCode};
use endivelanding::id::{NodeAddress, NodeIncarnation};
use endivelanding::membership::{MemberEntry, MemberState, MemberTable};
use endivelanding::platform::ConfigRead;
use endivelanding::size::CallRate;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn address(n: usize) -> NodeAddress {
    format!("10.0.{}.{}:9000", n / 250, n % 250 + 1)
        .parse()
        .unwrap()
}

fn rank_of(zone_rank: usize, in_platform_region: bool, rng: &mut StdRng) -> ReaderRank {
    let view = FleetView {
        zone_rank,
        ..FleetView::default()
    };
    ReaderRank::new(&view, in_platform_region, rng)
}

/// Guards against a fleet partitioned into single nodes overloading the configuration service.
#[test]
fn split_fleet_stays_within_a_fifth() {
    const FLEET: usize = 5_500;
    let mut rng = StdRng::seed_from_u64(1);
    let mut nodes: Vec<_> = (0..FLEET)
        .map(|n| {
            // Zones 0 to 2 are in the region of the configuration service.
            let rank = rank_of(n / 8, n % 8 < 3, &mut rng);
            (
                rank,
                ReadBudget::new(CallRate(2_000.0), 8, FLEET, ClockTime(0)),
            )
        })
        .collect();
    let mut seconds = vec![0; 720];
    for now in (0..720_000).step_by(100).map(ClockTime) {
        for (rank, budget) in &mut nodes {
            // No node learns of any read, so the age only grows. Every watch returns immediately.
            let reads = match rank.role(now) {
                ReaderRole::Watch => budget.take_watch(now),
                ReaderRole::TakeOver => budget.take_takeover(now),
                ReaderRole::Idle => false,
            };
            seconds[now.0 as usize / 1_000] += u32::from(reads);
        }
    }
    let peak = seconds.iter().max().unwrap();
    let final_reads: u32 = seconds[600..].iter().sum();
    println!(
        "peak {peak} reads a second, {} on average in the last two minutes",
        final_reads / 120
    );
    assert!(*peak <= 400, "{peak} reads in one second");
}

/// Guards against overloading the configuration service when the whole fleet restarts, nodes reach
/// only that service, and none knows the fleet size yet; with successful and with failing reads.
#[test]
fn restarted_fleet_of_single_nodes_stays_within_a_fifth() {
    const FLEET: usize = 5_500;
    for platform_up in [true, false] {
        let mut rng = StdRng::seed_from_u64(3);
        let mut nodes: Vec<_> = (0..FLEET).map(|n| isolated(n, FLEET)).collect();
        let mut seconds = vec![0; 60];
        for now in (0..60_000).step_by(200).map(ClockTime) {
            for node in &mut nodes {
                for action in node.on_tick(now, &mut rng) {
                    let calls = &mut seconds[now.0 as usize / 1_000];
                    match action {
                        ControlAction::Open { to } => node.on_link_down(to, now, &mut rng),
                        ControlAction::ReadManifest { .. } => {
                            *calls += 1;
                            let bytes = br#"{"number":1,"services":[],"routes":[]}"#.as_slice();
                            let (revision, bytes) = (1, bytes.into());
                            let read = Ok(ConfigRead::Value { revision, bytes });
                            node.on_manifest_read(
                                if platform_up {
                                    read
                                } else {
                                    Err(platform_error())
                                },
                                now,
                            );
                        }
                        ControlAction::ReadInstances { .. } => {
                            *calls += 1;
                            let read = if platform_up {
                                Ok(None)
                            } else {
                                Err(platform_error())
                            };
                            node.on_instances_read(read, now);
                        }
                        _ => {}
                    }
                }
            }
        }
        let ready = nodes.iter().filter(|node| node.ready()).count();
        let peak = seconds.iter().max().unwrap();
        println!(
            "reads succeed: {platform_up}, peak {peak} a second, {ready} nodes ready, {seconds:?}"
        );
        assert!(*peak <= 400, "{peak} reads in one second");
        assert_eq!(ready, if platform_up { FLEET } else { 0 });
    }
}

fn platform_error() -> Error {
    Error::new(ResultCode::PlatformUnreachable, "unreachable")
}

fn isolated(n: usize, fleet: usize) -> ControlState {
    let settings = ControlSettings {
        member: MemberEntry {
            address: address(n),
            admin: address(n + fleet),
            incarnation: NodeIncarnation(1),
            service: "s".parse().unwrap(),
            zone: format!("z{}", n % 8).parse().unwrap(),
            region: format!("r{}", n % 8 / 3).parse().unwrap(),
            state: MemberState::Live,
        },
        platform_region: "r0".parse().unwrap(),
        call_budget: CallRate(2_000.0),
        watch_wait: ClockTime(3_000),
        seeds: vec![address((n + 1) % fleet), address((n + 8) % fleet)],
        every_node_watches: false,
    };
    ControlState::new(settings, ClockTime(0))
}

/// Guards against a node of a small fleet exceeding two watch reads, or one takeover read, per
/// second.
#[test]
fn rates_have_limits() {
    let mut budget = ReadBudget::new(CallRate(2_000.0), 1, 1, ClockTime(0));
    let times = || (0..10_000).step_by(10).map(ClockTime);
    let watch = times().filter(|now| budget.take_watch(*now)).count();
    let takeover = times().filter(|now| budget.take_takeover(*now)).count();
    assert!((22..=24).contains(&watch), "{watch}");
    assert!((9..=11).contains(&takeover), "{takeover}");
}

/// Guards against all nodes taking over at once when the readers fail, and against nodes of other
/// regions, whose reads cause billed traffic, taking over first.
#[test]
fn takeover_order() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut previous_age = ClockTime(0);
    for rank in 2..50 {
        let reader = rank_of(rank, true, &mut rng);
        let age = reader.takeover_age();
        let base = 5_000 + 1_000 * (rank as u64 - 1);
        assert!((base..base + 1_000).contains(&age.0), "rank {rank}: {age}");
        assert!(age > previous_age);
        previous_age = age;
        assert_eq!(reader.role(age), ReaderRole::Idle);
        assert_eq!(reader.role(age + ClockTime(1)), ReaderRole::TakeOver);
    }
    for rank in 0..2 {
        assert_eq!(
            rank_of(rank, true, &mut rng).role(ClockTime(0)),
            ReaderRole::Watch
        );
        let remote = rank_of(rank, false, &mut rng);
        assert_eq!(remote.role(ClockTime(15_000)), ReaderRole::Idle);
        assert_eq!(remote.role(ClockTime(16_001)), ReaderRole::TakeOver);
    }
}

/// Guards against two nodes of a zone having the same rank.
#[test]
fn ranks_of_a_zone_are_distinct() {
    let entry = |n| MemberEntry {
        address: address(n),
        admin: address(n + 1_000),
        incarnation: NodeIncarnation(1),
        service: "s".parse().unwrap(),
        zone: ["a", "b"][n % 2].parse().unwrap(),
        region: "r".parse().unwrap(),
        state: MemberState::Live,
    };
    let mut table = MemberTable::new(entry(0));
    for n in 1..40 {
        table.merge(&entry(n), address(n), false, ClockTime(0));
    }
    for zone in 0..2 {
        let members = (0..40).filter(|n| n % 2 == zone);
        let mut ranks: Vec<_> = members
            .map(|n| FleetView::new(&table, &entry(n)).zone_rank)
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, (0..20).collect::<Vec<_>>());
    }
}
