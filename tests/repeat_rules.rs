//! Tests that the retry budgets of independent nodes together stay within the limits of the mesh,
//! and that the estimate of a peer's clock never runs ahead.

use endivelanding::clock::ClockTime;
use endivelanding::sidecar::{PeerClock, RemoteTime, RetryAllowance, ServiceRetryBudget};
use proptest::prelude::*;

const WINDOW: ClockTime = ClockTime(10_000);
const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;

#[test]
fn nested_calls_of_retried_requests_use_the_budget_before_own_retries() {
    let mut budget = ServiceRetryBudget::new(WINDOW);
    for time in 0..100 {
        budget.record_request(ClockTime(time));
    }
    let mut allowance = RetryAllowance {
        ratio: RATIO,
        slack: 0.0,
        nested_share: 0.2,
    };
    assert!(!budget.try_take(ClockTime(100), allowance));
    allowance.nested_share = 0.0;
    assert!(budget.try_take(ClockTime(100), allowance));
}

proptest! {
    /// Compares the retries in each window with the largest number of requests in that window, the
    /// previous one, or the one half a window earlier.
    #[test]
    fn nodes_together_stay_within_the_budget_in_every_window(
        seeds in prop::collection::vec((0u64..40_000, 0usize..8, any::<bool>()), 1..3_000),
    ) {
        let nodes = 8;
        let mut events = seeds;
        events.sort_unstable();
        let mut budgets: Vec<_> = (0..nodes).map(|_| ServiceRetryBudget::new(WINDOW)).collect();
        let allowance = RetryAllowance {
            ratio: RATIO,
            slack: SLACK / nodes as f64,
            nested_share: 0.0,
        };
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (time, node, is_retry) in events {
            let now = ClockTime(time);
            if is_retry {
                if budgets[node].try_take(now, allowance) {
                    retries.push(time);
                }
            } else {
                budgets[node].record_request(now);
                requests.push(time);
            }
        }
        let within = |times: &[u64], start: i64| {
            let span = start..start + WINDOW.0 as i64;
            times.iter().filter(|time| span.contains(&(**time as i64))).count() as f64
        };
        for start in retries.iter().map(|time| *time as i64) {
            let counted = [0, 5_000, 10_000].map(|back| within(&requests, start - back));
            let most = counted.into_iter().fold(0.0, f64::max);
            prop_assert!(within(&retries, start) <= RATIO * most + SLACK + 1.0);
        }
    }
}

#[test]
fn a_peer_clock_never_runs_ahead_of_the_peer() {
    // The peer sent its response at 5,000 ms of its clock; the response took 8 ms to arrive.
    let sample = RemoteTime {
        process: 7,
        time: ClockTime(5_000),
    };
    let clock = PeerClock::new(sample, ClockTime(108));
    let now = clock.at(ClockTime(608));
    assert_eq!(now.process, 7);
    assert_eq!(now.time, ClockTime(5_500));
    assert!(now.time <= ClockTime(5_508));
}
