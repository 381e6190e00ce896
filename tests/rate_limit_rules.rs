//! Tests of the rate limits that endpoints advertise.

use endivelanding::clock::ClockTime;
use endivelanding::rate_limit::{AdvertisedLimit, LimitReport, RatePacer, RequestRate};
use endivelanding::sidecar::{SlotDecision, SlotPace, SlotQueue, SlotUrgency};
use proptest::prelude::*;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

#[test]
fn a_rate_is_a_decimal_number() {
    for (text, per_second) in [
        ("8", 8.0),
        ("8.8", 8.8),
        ("0", 0.0),
        ("0.25", 0.25),
        ("007", 7.0),
    ] {
        let parsed: RequestRate = text.parse().expect(text);
        assert_eq!(parsed, rate(per_second), "{text}");
    }
    for text in [
        "", ".", "8.", ".5", "-1", "+1", "1e3", "1e300", "NaN", "inf", "8 8", "0x8", "1,5",
    ] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    let endless = "9".repeat(400);
    assert!(endless.parse::<RequestRate>().is_err(), "not finite");
}

/// Guards against a response that was written before the limit was named but is read after it.
#[test]
fn an_overtaken_response_does_not_loosen_the_limit() {
    let mut limit = AdvertisedLimit::default();
    let record = |limit: &mut AdvertisedLimit, now, sent_at, rate| {
        limit.record(ClockTime(now), ClockTime(sent_at), rate);
        limit.rate()
    };
    assert_eq!(
        record(&mut limit, 100, 50, Some(rate(8.0))),
        Some(rate(8.0))
    );
    assert_eq!(record(&mut limit, 110, 60, None), Some(rate(8.0)));
    assert_eq!(
        record(&mut limit, 120, 60, Some(rate(9.0))),
        Some(rate(8.0))
    );
    assert_eq!(
        record(&mut limit, 130, 60, Some(rate(5.0))),
        Some(rate(5.0)),
        "tightened"
    );
    assert_eq!(record(&mut limit, 140, 120, None), Some(rate(5.0)));
    assert_eq!(
        record(&mut limit, 150, 131, Some(rate(6.0))),
        Some(rate(6.0))
    );
    assert_eq!(record(&mut limit, 170, 151, None), None);
}

#[test]
fn the_endpoint_itself_outweighs_what_other_nodes_know() {
    let mut limit = AdvertisedLimit::default();
    assert_eq!(limit.report(), LimitReport::Unknown);
    limit.adopt(rate(8.0));
    limit.adopt(rate(9.0));
    assert_eq!(limit.report(), LimitReport::Limited(rate(8.0)));
    limit.record(ClockTime(10), ClockTime(5), None);
    assert_eq!(limit.report(), LimitReport::Unlimited);
    assert!(limit.adopt(rate(8.0)).is_none());
    assert_eq!(limit.report(), LimitReport::Unlimited);
}

#[test]
fn an_endpoint_that_accepts_nothing_is_still_asked() {
    let mut pacer = RatePacer::new(ClockTime(1_000), rate(0.0));
    assert_eq!(pacer.opens_at(), ClockTime(6_000));
    pacer.record_send(ClockTime(6_000));
    assert_eq!(pacer.opens_at(), ClockTime(11_000));
    pacer.set_rate(ClockTime(6_100), rate(10.0));
    assert_eq!(pacer.opens_at(), ClockTime(6_200));
}

proptest! {
    #[test]
    fn no_span_holds_more_than_the_rate_allows(
        per_second in 0.2f64..60.0,
        gaps in prop::collection::vec(0u64..400, 1..300),
        changes in prop::collection::vec(0.2f64..60.0, 0..6),
    ) {
        let mut pacer = RatePacer::new(ClockTime(0), rate(per_second));
        let mut highest = per_second;
        let mut now = 0;
        let mut sends = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            now += gap;
            if let Some(change) = changes.get(index / 50).filter(|_| index % 50 == 49) {
                pacer.set_rate(ClockTime(now), rate(*change));
                highest = highest.max(*change);
            }
            // As many as the pacer lets start at this time.
            while pacer.opens_at() <= ClockTime(now) {
                pacer.record_send(ClockTime(now));
                sends.push(now);
            }
        }
        for (index, first) in sends.iter().enumerate() {
            for (count, last) in sends[index..].iter().enumerate() {
                let span_ms = (last - first) as f64;
                let allowed = highest * (span_ms + 250.0) / 1_000.0 + 1.0;
                prop_assert!((count + 1) as f64 <= allowed + 1e-6, "{} in {span_ms} ms", count + 1);
            }
        }
    }
}

/// Guards against a queue that admits by its slots what the rate does not let start in time.
#[test]
fn a_paced_queue_sheds_what_its_rate_does_not_serve_in_time() {
    let mut queue = SlotQueue::new(6);
    let now = ClockTime(1_000);
    queue.set_pace(SlotPace {
        rate: Some(2.0),
        opens_at: ClockTime(1_500),
    });
    let urgency = SlotUrgency {
        priority: 1,
        objective: ClockTime(400),
        work: ClockTime(40),
        remaining: ClockTime(2_500),
        holds_work: false,
    };
    let decisions: Vec<SlotDecision> = (0..12)
        .map(|_| queue.request(now, urgency, ClockTime(1_600), now + ClockTime(1_600)))
        .collect();
    let waiting = decisions
        .iter()
        .filter(|decision| matches!(decision, SlotDecision::Wait(_)));
    assert_eq!(waiting.count(), 3, "{decisions:?}");
    assert_eq!(queue.pace_wait_ms(now), 2_000.0);
}
