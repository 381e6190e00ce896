//! Guards against burn reports that omit bad calls, count them twice or put them in the wrong
//! window.

use endivelanding::ResultCode;
use endivelanding::burn::{BurnRateTracker, BurnReport};
use endivelanding::clock::ClockTime;
use endivelanding::settings::BurnSettings;

fn tracker() -> BurnRateTracker {
    let settings = BurnSettings {
        short_window: ClockTime(60_000),
        long_window: ClockTime(600_000),
    };
    BurnRateTracker::new(settings, ClockTime(0))
}

fn record(tracker: &mut BurnRateTracker, now: u64, bad: Option<ResultCode>) {
    let service = "ratecard".parse().unwrap();
    let kind = "price".parse().unwrap();
    tracker.record(ClockTime(now), &service, &kind, 0.99, bad);
}

#[test]
fn burn_rate_one_spends_the_budget_exactly() {
    let mut tracker = tracker();
    for call in 0..100 {
        record(
            &mut tracker,
            call,
            (call == 0).then_some(ResultCode::Overloaded),
        );
    }
    let report = tracker.report(ClockTime(1_000));
    let row = &report.rows[0];
    assert!((row.long_burn_rate() - 1.0).abs() < 1e-9);
    assert!(row.budget_left().abs() < 1e-9);
    assert_eq!(row.bad_by_code[&ResultCode::Overloaded], 1);
    assert!(report.to_string().contains("303:1"), "{report}");
}

#[test]
fn old_bad_calls_leave_the_short_window_first() {
    let mut tracker = tracker();
    record(&mut tracker, 0, Some(ResultCode::ConnectionLost));
    record(&mut tracker, 100_000, None);
    let row = &tracker.report(ClockTime(100_000)).rows[0];
    assert_eq!((row.short_calls, row.short_bad), (1, 0));
    assert_eq!((row.long_calls, row.long_bad), (2, 1));
    let row = &tracker.report(ClockTime(690_000)).rows[0];
    assert_eq!((row.long_calls, row.long_bad), (1, 0));
}

#[test]
fn merged_reports_add_counts_and_json_keeps_them() {
    let mut tracker = tracker();
    record(&mut tracker, 0, Some(ResultCode::Overloaded));
    let report = tracker.report(ClockTime(10));
    let mut sum = BurnReport::default();
    sum.merge(&report);
    sum.merge(&report);
    assert_eq!(sum.rows[0].long_bad, 2);
    let json = serde_json::to_string(&sum).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&json).unwrap(), sum);
}
