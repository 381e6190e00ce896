//! Tests of the times of a planned stop.

use endivelanding::clock::ClockTime;
use endivelanding::sidecar::StopSchedule;
use proptest::prelude::*;

const START: u64 = 10_000;

fn schedule(grace: u64) -> StopSchedule {
    StopSchedule::new(ClockTime(START), ClockTime(grace))
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

proptest! {
    #[test]
    fn the_parts_of_a_stop_follow_each_other_within_the_grace_time(grace in 0_u64..60_000) {
        let schedule = schedule(grace);
        prop_assert!(schedule.accepts_until <= schedule.answers_by);
        prop_assert!(schedule.answers_by <= schedule.ends_at);
        prop_assert!(schedule.ends_at <= ClockTime(START + grace));
        prop_assert!(schedule.answers_by.0 >= START + grace - grace / 6);
    }
}
