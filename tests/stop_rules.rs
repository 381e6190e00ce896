//! Tests of the times of a planned stop and of the requests that a stopping node accepts.

use endivelanding::clock::ClockTime;
use endivelanding::sidecar::{LateRequest, StopSchedule};
use proptest::prelude::*;

const START: u64 = 10_000;

fn schedule(grace: u64) -> StopSchedule {
    StopSchedule::new(ClockTime(START), ClockTime(grace))
}

fn admits(now: u64, deadline: u64, expected: u64, is_idempotent: bool) -> bool {
    let request = LateRequest {
        deadline: ClockTime(START + deadline),
        expected: ClockTime(expected),
        is_idempotent,
    };
    schedule(6_000).admits(ClockTime(START + now), &request)
}

#[test]
fn a_stop_breaks_work_off_only_in_the_last_sixth_of_the_grace_time() {
    let table = [
        (6_000, 2_500, 5_500, 5_750),
        (30_000, 2_500, 27_500, 28_750),
        (1_200, 550, 1_100, 1_150),
        (12, 5, 11, 12),
        (0, 0, 0, 0),
    ];
    for (grace, accepts, answers, ends) in table {
        let expected = StopSchedule {
            accepts_until: ClockTime(START + accepts),
            answers_by: ClockTime(START + answers),
            ends_at: ClockTime(START + ends),
        };
        assert_eq!(schedule(grace), expected, "grace {grace}");
    }
}

#[test]
fn a_stopping_node_accepts_work_that_may_not_be_repeated_only_with_a_bound() {
    // Time since the stop, deadline, expected time, idempotent, accepted.
    let table = [
        ("bounded, not idempotent", 100, 5_500, 9_000, false, true),
        ("one ms too long", 100, 5_501, 10, false, false),
        ("bounded and late", 5_400, 5_450, 10, false, true),
        ("expected to end in time", 100, 8_000, 1_000, true, true),
        ("expected to end late", 100, 8_000, 5_401, true, false),
        ("early enough", 2_499, 8_000, 3_000, true, true),
        (
            "clients are routed to other nodes",
            2_500,
            8_000,
            10,
            true,
            false,
        ),
        ("bounded after that", 2_500, 5_400, 9_000, true, true),
        ("no time left", 5_500, 5_500, 0, true, false),
        ("deadline in the past", 5_600, 5_400, 0, false, false),
    ];
    for (name, now, deadline, expected, is_idempotent, accepted) in table {
        let admitted = admits(now, deadline, expected, is_idempotent);
        assert_eq!(admitted, accepted, "{name}");
    }
}

proptest! {
    #[test]
    fn work_that_may_not_be_repeated_ends_before_the_process(
        grace in 0_u64..60_000,
        now in 0_u64..70_000,
        deadline in 0_u64..70_000,
        expected in 0_u64..10_000,
    ) {
        let schedule = schedule(grace);
        prop_assert!(schedule.accepts_until <= schedule.answers_by);
        prop_assert!(schedule.answers_by <= schedule.ends_at);
        prop_assert!(schedule.ends_at <= ClockTime(START + grace));
        prop_assert!(schedule.answers_by.0 >= START + grace - grace / 6);
        let request = LateRequest {
            deadline: ClockTime(START + deadline),
            expected: ClockTime(expected),
            is_idempotent: false,
        };
        if schedule.admits(ClockTime(START + now), &request) {
            prop_assert!(request.deadline <= schedule.answers_by);
            prop_assert!(ClockTime(START + now) < schedule.answers_by);
        }
    }
}
