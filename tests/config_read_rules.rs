//! Tests of when a node reads a configuration that lags behind the endpoints.

use endivelanding::clock::ClockTime;
use endivelanding::registry_read::{ConfigLag, config_read_delay};
use proptest::prelude::*;

/// Refresh interval for a propagation bound of 3 s.
const INTERVAL: ClockTime = ClockTime(750);

const LATE: ConfigLag = ConfigLag {
    age: ClockTime(300),
    config_age: ClockTime(1_800),
    interval: INTERVAL,
    known_for: None,
    is_requested: false,
    is_paused: false,
    reads_registry: false,
    is_standby: false,
    last_read: None,
    failures: 0,
    transfer_time: ClockTime(1_600),
    region_size: 45,
    chance: 0.5,
};

#[test]
fn nodes_read_a_late_configuration_in_order_of_their_place_and_link() {
    let reader = ConfigLag {
        known_for: Some(ClockTime(100)),
        reads_registry: true,
        ..LATE
    };
    let standby = ConfigLag {
        is_standby: true,
        ..LATE
    };
    let first = ConfigLag {
        chance: 0.0,
        ..LATE
    };
    let in_step = ConfigLag {
        config_age: ClockTime(500),
        ..LATE
    };
    let read = |ended, duration| Some((ClockTime(ended), ClockTime(duration)));
    let table = [
        ("reader", reader, Some(0)),
        (
            "reader whose last read took long",
            ConfigLag {
                last_read: read(100, 2_000),
                ..reader
            },
            Some(275),
        ),
        (
            "reader whose last read was short",
            ConfigLag {
                last_read: read(100, 120),
                ..reader
            },
            Some(20),
        ),
        (
            "reader whose last read ended at once",
            ConfigLag {
                last_read: read(0, 1),
                ..reader
            },
            Some(93),
        ),
        (
            "reader that learns from others",
            ConfigLag {
                reads_registry: false,
                is_paused: true,
                ..reader
            },
            Some(650),
        ),
        (
            "node that another one has asked",
            ConfigLag {
                is_requested: true,
                ..LATE
            },
            Some(0),
        ),
        ("standby", standby, Some(550)),
        (
            "standby, fast link",
            ConfigLag {
                transfer_time: ClockTime(80),
                ..standby
            },
            Some(0),
        ),
        (
            "standby before its time",
            ConfigLag {
                config_age: ClockTime(1_200),
                ..standby
            },
            Some(1_150),
        ),
        ("first of the others, slow link", first, Some(2_150)),
        (
            "first of the others, fast link",
            ConfigLag {
                transfer_time: ClockTime(80),
                ..first
            },
            Some(450),
        ),
        (
            "one of the others after two reads that failed",
            ConfigLag {
                config_age: ClockTime(9_000),
                last_read: read(1_000, 750),
                failures: 2,
                ..LATE
            },
            Some(2_200),
        ),
        (
            "reader after two reads that failed",
            ConfigLag {
                last_read: read(0, 750),
                failures: 2,
                ..reader
            },
            Some(375),
        ),
        ("configuration as old as the endpoints", in_step, None),
        (
            "standby without a lag",
            ConfigLag {
                is_standby: true,
                ..in_step
            },
            None,
        ),
    ];
    for (name, lag, expected) in table {
        let delay = config_read_delay(&lag);
        assert_eq!(delay, expected.map(ClockTime), "{name}");
    }
}

proptest! {
    /// Guards against a whole region that reads the same large configuration at once.
    #[test]
    fn few_nodes_of_a_region_read_a_late_configuration_at_once(
        region_size in 8_usize..2_000,
        transfer_time in 0_u64..4_000,
        transfers in 0_u32..4,
    ) {
        let chances = (0..region_size).map(|number| (number as f64 + 0.5) / region_size as f64);
        let step = INTERVAL.0.max(transfer_time);
        let first = (INTERVAL.0 + 2 * step).saturating_sub(LATE.config_age.0);
        let due = ClockTime(first + u64::from(transfers) * step);
        let reading = chances.filter(|chance| {
            let lag = ConfigLag {
                chance: *chance,
                region_size,
                transfer_time: ClockTime(transfer_time),
                ..LATE
            };
            config_read_delay(&lag).is_some_and(|delay| delay <= due)
        });
        prop_assert!(reading.count() <= 1 + 2_usize.pow(transfers));
    }
}
