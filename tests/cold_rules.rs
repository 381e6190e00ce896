//! Tests of the protection of cold endpoints.

use endivelanding::clock::{ClockTime, SystemClock};
use endivelanding::cold::{ArrivalLimiter, ColdPhase, ColdRoom, ColdState};
use endivelanding::mesh::ServiceSpec;
use endivelanding::sidecar::{MeshBounds, SlotDecision, SlotPace, SlotQueue, SlotUrgency};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests that an endpoint tolerates in any one second, and those that its node sends.
const ALLOWED: usize = 32;
const USED: usize = 28;
const SLOTS: usize = 18;
const WORK_MS: u64 = 380;

/// Plays the demand of a busy day at an endpoint that has come back cold: requests of two priorities, four
/// times as many as it tolerates, each with 1.5 s left. Returns the times at which requests started, and
/// the served and asked ones by priority.
fn play_cold_return(seed: u64) -> (Vec<u64>, [usize; 2], [usize; 2]) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut limiter = ArrivalLimiter::new(ClockTime(0), USED);
    let mut queue = SlotQueue::new(SLOTS);
    let (mut starts, mut served, mut asked) = (Vec::new(), [0; 2], [0; 2]);
    let mut running: Vec<u64> = Vec::new();
    let mut waiting = Vec::new();
    for time in 0..12_000 {
        let now = ClockTime(time);
        let ended = running.iter().filter(|end| **end <= time).count();
        running.retain(|end| *end > time);
        for _ in 0..ended {
            queue.finish(ClockTime(WORK_MS));
        }
        let pace = |limiter: &ArrivalLimiter| SlotPace {
            rate: Some(USED as f64),
            opens_at: limiter.opens_at(),
        };
        queue.set_pace(pace(&limiter));
        let mut start = |limiter: &mut ArrivalLimiter, priority: usize| {
            limiter.record_send(now);
            running.push(time + WORK_MS);
            starts.push(time);
            served[priority] += 1;
        };
        while let Some(ticket) = queue.admit_next(now) {
            let index = waiting
                .iter()
                .position(|(other, _)| *other == ticket)
                .expect("a request that waits");
            let (_, priority) = waiting.swap_remove(index);
            start(&mut limiter, priority);
            queue.set_pace(pace(&limiter));
        }
        if random.random_bool(0.112) {
            let priority = usize::from(random.random_bool(0.6));
            asked[priority] += 1;
            let urgency = SlotUrgency {
                priority: priority as u8,
                objective: ClockTime(500),
                work: ClockTime(WORK_MS),
                remaining: ClockTime(1_500),
                holds_work: false,
            };
            let limit = ClockTime(500);
            match queue.request(now, urgency, limit, now + ClockTime(1_100)) {
                SlotDecision::Run => start(&mut limiter, priority),
                SlotDecision::Wait(ticket) => waiting.push((ticket, priority)),
                SlotDecision::Refuse(_) => {}
            }
        }
    }
    (starts, served, asked)
}

/// Guards against endpoints that crash again as soon as they are back.
#[test]
fn a_cold_endpoint_gets_at_most_what_it_tolerates_and_the_urgent_requests_first() {
    for seed in 0..20 {
        let (starts, served, asked) = play_cold_return(seed);
        for (index, start) in starts.iter().enumerate() {
            let second = starts[index..]
                .iter()
                .take_while(|other| **other < start + 1_000);
            assert!(second.count() <= USED, "seed {seed}");
        }
        // The first second is left to requests of an earlier process.
        assert!(starts[0] >= 1_000, "seed {seed}");
        let room = (ALLOWED * 11) as f64;
        let used = starts.len() as f64 / room;
        assert!(used >= 0.8, "seed {seed}: {used}");
        let share = |index: usize| served[index] as f64 / asked[index] as f64;
        assert!(share(0) > share(1), "seed {seed}: {served:?} of {asked:?}");
    }
}

#[test]
fn a_limiter_counts_any_second_and_keeps_its_count_when_its_limit_changes() {
    let mut limiter = ArrivalLimiter::new(ClockTime(5_000), 3);
    assert_eq!(limiter.opens_at(), ClockTime(6_050));
    for time in [6_050, 6_100, 6_200] {
        assert!(limiter.opens_at() <= ClockTime(time));
        limiter.record_send(ClockTime(time));
    }
    assert_eq!(limiter.opens_at(), ClockTime(7_100));
    limiter.set_limit(2);
    assert_eq!(limiter.opens_at(), ClockTime(7_150));
    // What is no longer known is taken to be as late as the first send that is.
    limiter.set_limit(4);
    assert_eq!(limiter.opens_at(), ClockTime(7_150));
}

#[test]
fn only_a_health_response_settles_a_suspicion() {
    let mut state = ColdState::new();
    assert_eq!(
        state.phase(ClockTime(100_000)),
        ColdPhase::Suspected,
        "start of the node"
    );
    state.record_health(ClockTime(1_000), ClockTime(0));
    assert_eq!(state.phase(ClockTime(1_000)), ColdPhase::Warm);
    assert!(state.suspect(ClockTime(2_000), ClockTime(3_000)));
    assert!(!state.suspect(ClockTime(2_100), ClockTime(3_000)));
    assert_eq!(state.phase(ClockTime(5_000)), ColdPhase::Suspected);
    state.record_health(ClockTime(5_000), ClockTime(1_500));
    assert_eq!(state.phase(ClockTime(6_499)), ColdPhase::Cold);
    assert_eq!(state.phase(ClockTime(6_500)), ColdPhase::Warm);
    // Without a response, a suspicion lasts for the time for which an endpoint is cold.
    state.suspect(ClockTime(10_000), ClockTime(3_000));
    assert_eq!(state.phase(ClockTime(12_999)), ColdPhase::Suspected);
    assert_eq!(state.phase(ClockTime(13_000)), ColdPhase::Warm);
}

/// Guards against an endpoint that crashes because its node does not know yet that it is cold: other nodes
/// send requests to a node that starts before it has a configuration.
#[test]
fn few_requests_start_before_the_first_configuration() {
    let room = ColdRoom::new(SystemClock::starting_at(ClockTime(100_000)));
    let mut started = 0;
    while room.opens_at() <= ClockTime(100_000) {
        room.record_send();
        started += 1;
    }
    assert_eq!(started, 8);
    assert_eq!(
        (room.phase(), room.pace()),
        (ColdPhase::Suspected, Some(8.0))
    );
    let bounds = MeshBounds {
        config_apply: ClockTime(3_000),
        drain: ClockTime(3_000),
        grace: ClockTime(6_000),
        heartbeat: ClockTime(1_500),
        retry_ratio: 0.2,
        retry_window: ClockTime(10_000),
        retry_slack: 60.0,
        cold_excess: 1.5,
        cold_tolerance: 8.0,
    };
    let spec = ServiceSpec {
        name: "ratecard".parse().expect("a name"),
        health_path: "/healthz".to_owned(),
        cold_start: ClockTime(3_000),
        cold_rate: Some(16.0),
    };
    room.configure(Some(&spec), &bounds);
    assert_eq!(
        (room.phase(), room.pace()),
        (ColdPhase::Suspected, Some(28.0))
    );
    assert!(
        room.opens_at() > ClockTime(101_000),
        "what was sent before counts"
    );
    room.configure(None, &bounds);
    assert_eq!(
        (room.phase(), room.opens_at()),
        (ColdPhase::Warm, ClockTime(0))
    );
}

/// Guards against entry nodes that send a cold endpoint as much as it has slots for.
#[test]
fn a_paced_queue_reports_the_concurrency_that_its_rate_sustains() {
    let mut queue = SlotQueue::new(SLOTS);
    for _ in 0..200 {
        queue.request(ClockTime(0), urgent(), ClockTime(0), ClockTime(1));
        queue.finish(ClockTime(WORK_MS));
    }
    assert_eq!(queue.sustained_capacity(), SLOTS);
    queue.set_pace(SlotPace {
        rate: Some(28.0),
        opens_at: ClockTime(700),
    });
    assert_eq!(queue.sustained_capacity(), 11);
    assert_eq!(
        queue.expected_wait(ClockTime(300), ClockTime(800)),
        ClockTime(400)
    );
}

fn urgent() -> SlotUrgency {
    SlotUrgency {
        priority: 0,
        objective: ClockTime(500),
        work: ClockTime(WORK_MS),
        remaining: ClockTime(1_500),
        holds_work: false,
    }
}
