//! Tests of resends, the retry budget and hedging.

use endivelanding::ResultCode;
use endivelanding::clock::ClockTime;
use endivelanding::retry::{FailedCall, HedgeCall, HedgePolicy, ResendPolicy, RetryBudget};

/// Guards against retries that multiply the load, and against no retries at all at a low call rate.
#[test]
fn budget_is_a_tenth_and_at_least_one_a_second() {
    for (calls, least, most) in [(0, 1, 1), (5, 1, 1), (100, 10, 11), (1_000, 100, 101)] {
        let mut budget = RetryBudget::default();
        for _ in 0..calls {
            budget.record_call(ClockTime(500));
        }
        let taken = (0..2_000)
            .filter(|_| budget.try_take(ClockTime(900)))
            .count();
        assert!((least..=most).contains(&taken), "{calls} calls: {taken}");
        assert!(
            budget.try_take(ClockTime(1_900)),
            "no attempt allowed 1 s after the last, {calls} calls"
        );
        let taken = (0..2_000)
            .filter(|_| budget.try_take(ClockTime(30_000)))
            .count();
        assert_eq!(taken, 1, "calls made 30 s before were counted");
    }
}

/// Guards against running a call twice, retry storms across hops and resends that cannot finish
/// before the deadline.
#[test]
fn resend_follows_the_outcome() {
    use ResultCode as Code;
    for (code, idempotent, attempt, depth, remaining, expected) in [
        (Code::Ok, true, 0, 0, 900, false),
        (Code::Overloaded, false, 0, 0, 900, true),
        (Code::Overloaded, true, 1, 0, 900, false),
        (Code::DeadlineTooShort, true, 1, 0, 900, false),
        (Code::Overloaded, true, 0, 1, 900, false),
        (Code::PeerUnreachable, false, 1, 0, 900, true),
        (Code::PeerUnreachable, false, 2, 0, 900, false),
        (Code::PeerUnreachable, false, 0, 1, 900, false),
        (Code::PeerUnreachable, false, 0, 0, 4, false),
        (Code::NodeLeaving, false, 0, 0, 900, true),
        (Code::NodeLeaving, false, 0, 3, 900, true),
        (Code::NodeLeaving, false, 2, 3, 900, false),
        (Code::NodeNotReady, false, 0, 3, 900, false),
        (Code::KeyFenced, true, 0, 0, 900, false),
        (Code::MalformedRequest, true, 0, 0, 900, false),
        (Code::ConnectionLost, false, 0, 0, 900, false),
        (Code::ConnectionLost, true, 0, 0, 900, true),
        (Code::KeyMemoryGone, true, 0, 0, 900, false),
        (Code::AnswerTooLarge, true, 0, 0, 900, false),
    ] {
        let call = FailedCall {
            code,
            idempotent,
            attempt,
            depth,
            remaining: ClockTime(remaining),
        };
        assert_eq!(ResendPolicy::allows(call), expected, "{call:?}");
    }
}

/// Guards against hedges of non-idempotent calls, of kinds with too few samples and beyond the
/// first hop, and against a delay that does not adapt to the latency.
#[test]
fn hedge_delay_is_the_95th_percentile() {
    let kind = "lookup".parse().unwrap();
    let call = |idempotent, attempt, depth| HedgeCall {
        kind: &kind,
        idempotent,
        attempt,
        depth,
    };
    let mut policy = HedgePolicy::default();
    for sample in 0..19 {
        policy.record_latency(&kind, f64::from(sample));
    }
    assert_eq!(policy.delay(call(true, 0, 0)), None, "19 samples");
    for sample in 0..81 {
        policy.record_latency(&kind, if sample < 5 { 200.0 } else { 1.5 });
    }
    let delay = policy.delay(call(true, 0, 0)).unwrap();
    assert!((17..=20).contains(&delay.0), "{delay}");
    for (idempotent, attempt, depth) in [(false, 0, 0), (true, 1, 0), (true, 0, 1)] {
        assert_eq!(policy.delay(call(idempotent, attempt, depth)), None);
    }
    for _ in 0..1_000 {
        policy.record_latency(&kind, 40.0);
    }
    let delay = policy.delay(call(true, 0, 0)).unwrap();
    assert!(
        (40..=41).contains(&delay.0),
        "discarded samples affect the delay: {delay}"
    );
}

/// Guards against hedges beyond 5% of the calls or beyond the retry budget.
#[test]
fn hedges_are_limited() {
    let (mut policy, mut budget) = (HedgePolicy::default(), RetryBudget::default());
    for _ in 0..1_000 {
        policy.record_call(ClockTime(0));
        budget.record_call(ClockTime(0));
    }
    let taken = (0..500).filter(|_| policy.try_take(ClockTime(10), &mut budget));
    assert_eq!(taken.count(), 50);
    let mut exhausted = RetryBudget::default();
    assert!(exhausted.try_take(ClockTime(10)));
    let mut policy = HedgePolicy::default();
    for _ in 0..1_000 {
        policy.record_call(ClockTime(0));
    }
    assert!(
        !policy.try_take(ClockTime(10), &mut exhausted),
        "hedge allowed with an exhausted budget"
    );
}
