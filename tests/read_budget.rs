//! Reads of the configuration service by a whole fleet.

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

fn rank_of(zone_rank: usize, home: bool, rng: &mut StdRng) -> ReaderRank {
    let view = FleetView {
        zone_rank,
        ..FleetView::default()
    };
    ReaderRank::new(&view, home, rng)
}

/// Guards against a fleet split into single nodes that overloads the configuration service.
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
            // Nobody hears of any read, so the age only grows, and every watch ends at once.
            let reads = match rank.role(now) {
                ReaderRole::Watch => budget.take_watch(now),
                ReaderRole::TakeOver => budget.take_takeover(now),
                ReaderRole::Idle => false,
            };
            seconds[now.0 as usize / 1_000] += u32::from(reads);
        }
    }
    let peak = seconds.iter().max().unwrap();
    let last: u32 = seconds[600..].iter().sum();
    println!("peak {peak} reads a second, {} at the end", last / 120);
    assert!(*peak <= 400, "{peak} reads in one second");
}

/// Guards against a fleet that restarts as a whole, reaches only the configuration service, and
/// overloads it before any node knows the size of the fleet; also while every read fails.
#[test]
fn restarted_fleet_of_single_nodes_stays_within_a_fifth() {
    const FLEET: usize = 5_500;
    for works in [true, false] {
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
                            node.on_manifest_read(if works { read } else { Err(down()) }, now);
                        }
                        ControlAction::ReadInstances { .. } => {
                            *calls += 1;
                            let read = if works { Ok(None) } else { Err(down()) };
                            node.on_instances_read(read, now);
                        }
                        _ => {}
                    }
                }
            }
        }
        let ready = nodes.iter().filter(|node| node.ready()).count();
        let peak = seconds.iter().max().unwrap();
        println!("reads succeed: {works}, peak {peak} a second, {ready} nodes ready, {seconds:?}");
        assert!(*peak <= 400, "{peak} reads in one second");
        assert_eq!(ready, if works { FLEET } else { 0 });
    }
}

fn down() -> Error {
    Error::new(ResultCode::PlatformUnreachable, "down")
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

/// Guards against a small fleet that reads faster than two reads a second and node.
#[test]
fn rates_have_limits() {
    let mut budget = ReadBudget::new(CallRate(2_000.0), 1, 1, ClockTime(0));
    let times = || (0..10_000).step_by(10).map(ClockTime);
    let watch = times().filter(|now| budget.take_watch(*now)).count();
    let takeover = times().filter(|now| budget.take_takeover(*now)).count();
    assert!((22..=24).contains(&watch), "{watch}");
    assert!((9..=11).contains(&takeover), "{takeover}");
}

/// Guards against every node reading when the readers are gone, or the paid link being used first.
#[test]
fn takeover_order() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut last = ClockTime(0);
    for rank in 2..50 {
        let reader = rank_of(rank, true, &mut rng);
        let age = reader.takeover_age();
        let base = 5_000 + 1_000 * (rank as u64 - 1);
        assert!((base..base + 1_000).contains(&age.0), "rank {rank}: {age}");
        assert!(age > last);
        last = age;
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

/// Guards against two nodes of a zone with the same rank.
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
