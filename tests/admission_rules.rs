//! Tests of admission control.

use std::collections::HashMap;

use endivelanding::ResultCode;
use endivelanding::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, FifoQueue, SlotTimeEstimate,
};
use endivelanding::clock::ClockTime;
use endivelanding::error::CallOutcome;
use endivelanding::size::SlotCount;
use proptest::prelude::{any, prop};
use proptest::proptest;

fn request(id: u64, kind: &str, weight: u32, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        kind: kind.parse().unwrap(),
        weight,
        long: kind == "print",
        deadline: ClockTime(deadline),
    }
}

fn queue(slots: u32, limit: usize) -> AdmissionQueue {
    AdmissionQueue::new(SlotCount(slots), limit, 1)
}

/// Fills all slots with calls of kind `busy` with ids starting at 1000.
fn fill(queue: &mut AdmissionQueue, slots: u64) {
    for id in 1_000..1_000 + slots {
        let admission = queue.offer(ClockTime(0), request(id, "busy", 1, 60_000));
        assert_eq!(admission, Admission::Run);
    }
}

fn refusal(admission: &Admission) -> Option<ResultCode> {
    match admission {
        Admission::Refused { code, .. } => Some(*code),
        _ => None,
    }
}

/// Guards against long calls that occupy all slots and delay short ones by seconds.
#[test]
fn long_kinds_leave_slots_for_short_calls() {
    for (slots, cap) in [(1, 1), (2, 1), (3, 1), (6, 4)] {
        let mut queue = queue(slots, 10);
        for id in 0..u64::from(slots) {
            let admission = queue.offer(ClockTime(0), request(id, "print", 1, 60_000));
            let runs = admission == Admission::Run;
            assert_eq!(runs, id < cap, "slots {slots}, id {id}");
        }
        if u64::from(slots) > cap {
            let admission = queue.offer(ClockTime(0), request(99, "lookup", 1, 300));
            assert_eq!(admission, Admission::Run, "slots {slots}");
        }
    }
}

/// Guards against a long kind that exceeds the limit of slots because it is not declared as long.
#[test]
fn long_kinds_are_detected() {
    let mut estimate = SlotTimeEstimate::default();
    for (kind, slot_ms) in [("a", 5.0), ("b", 6.0), ("c", 47.0), ("d", 49.0)] {
        estimate.record(ClockTime(0), &kind.parse().unwrap(), slot_ms);
    }
    for (kind, long) in [("a", false), ("b", false), ("c", false), ("d", true)] {
        let learned = estimate.is_long(&kind.parse().unwrap(), false);
        assert_eq!(learned, long, "{kind}");
    }
}

/// Guards against calls of low rank that run before calls of high rank, and against their
/// starvation.
#[test]
fn order_follows_weight_and_deadline() {
    let mut queue = queue(1, 10);
    fill(&mut queue, 1);
    for (id, weight, deadline) in [(1, 1, 400), (2, 5, 10_000), (3, 5, 10_000), (4, 1, 10_000)] {
        let admission = queue.offer(ClockTime(0), request(id, "lookup", weight, deadline));
        assert_eq!(admission, Admission::Queued { dropped: None }, "{id}");
    }
    assert_eq!(
        queue.finish(ClockTime(10), 1_000, None),
        [2],
        "equal ranks run in order of arrival"
    );
    let urgent = queue.finish(ClockTime(360), 2, None);
    assert_eq!(urgent, [1], "the rank rises towards the deadline");
    assert_eq!(queue.finish(ClockTime(370), 1, None), [3]);
}

/// Guards against running calls after their deadline when the process was suspended.
#[test]
fn expired_calls_do_not_run_after_suspension() {
    let mut queue = queue(1, 10);
    fill(&mut queue, 1);
    queue.offer(ClockTime(0), request(1, "lookup", 5, 300));
    queue.offer(ClockTime(0), request(2, "lookup", 1, 9_000));
    assert_eq!(queue.next_expiry(ClockTime(0)), Some(ClockTime(300)));
    assert_eq!(queue.finish(ClockTime(5_000), 1_000, None), [2]);
    let refused = queue.expire(ClockTime(5_000));
    assert_eq!((refused.len(), refused[0].id), (1, 1));
    assert_eq!(refused[0].code.outcome(), CallOutcome::NotRun);
    assert_eq!(queue.next_expiry(ClockTime(5_000)), None);
}

/// Guards against an unbounded queue, and against refusing a call of high rank while ones of lower
/// rank are queued.
#[test]
fn full_queue_drops_the_call_of_lowest_rank() {
    let mut queue = queue(1, 2);
    fill(&mut queue, 1);
    queue.offer(ClockTime(0), request(1, "lookup", 1, 9_000));
    queue.offer(ClockTime(0), request(2, "lookup", 3, 9_000));
    let admission = queue.offer(ClockTime(0), request(3, "lookup", 1, 9_000));
    assert_eq!(refusal(&admission), Some(ResultCode::Overloaded));
    let admission = queue.offer(ClockTime(0), request(4, "lookup", 5, 9_000));
    let Admission::Queued { dropped } = admission else {
        panic!("{admission:?}");
    };
    let dropped = dropped.map(|request| (request.id, request.code));
    assert_eq!(dropped, Some((1, ResultCode::Overloaded)));
    assert_eq!(queue.load(), 3_000);
    let long = queue.offer(ClockTime(0), request(5, "print", 1, 60_000));
    assert_eq!(long, Admission::Queued { dropped: None });
}

/// Guards against queueing calls that cannot meet their deadline, and against refusing a kind
/// permanently after it was slow for a time.
#[test]
fn infeasible_calls_are_refused_on_arrival() {
    let mut queue = queue(1, 100);
    fill(&mut queue, 1);
    queue.finish(ClockTime(0), 1_000, Some(100.0));
    for (id, deadline, queued) in [
        (1, 300, true),
        (2, 300, true),
        (3, 299, false),
        (4, 900, true),
    ] {
        let admission = queue.offer(ClockTime(0), request(id, "busy", 1, deadline));
        assert_eq!(refusal(&admission).is_none(), queued, "{id}");
    }
    let late = queue.offer(ClockTime(0), request(5, "busy", 1, 90));
    assert_eq!(refusal(&late), Some(ResultCode::DeadlineTooShort));
    queue.cancel(2);
    queue.cancel(4);
    assert!(queue.finish(ClockTime(0), 1, None).is_empty() && queue.is_idle());
    let later = queue.offer(ClockTime(20_000), request(6, "busy", 1, 20_090));
    assert_eq!(later, Admission::Run, "the estimate did not decay");
}

proptest! {
    /// Guards both policies against more running calls than slots, a call that is started twice or
    /// after its deadline, and a call that is lost.
    #[test]
    fn slots_are_never_exceeded(
        steps in prop::collection::vec((0_u8..5, any::<u8>(), 0_u64..400), 1..300),
        fifo in any::<bool>(),
    ) {
        let mut policy: Box<dyn AdmissionPolicy> = if fifo {
            Box::new(FifoQueue::new(SlotCount(3), 8))
        } else {
            Box::new(queue(3, 8))
        };
        let (mut now, mut running, mut waiting) = (0, Vec::new(), HashMap::new());
        for (id, (step, pick, gap)) in (0_u64..).zip(steps) {
            let mut started = Vec::new();
            match step {
                0..=2 => {
                    let kind = ["lookup", "order", "print"][usize::from(pick % 3)];
                    let deadline = now + gap * 4;
                    waiting.insert(id, deadline);
                    let call = request(id, kind, u32::from(pick), deadline);
                    match policy.offer(ClockTime(now), call) {
                        Admission::Run => started.push(id),
                        Admission::Queued { dropped } => {
                            dropped.map(|request| waiting.remove(&request.id).unwrap());
                        }
                        Admission::Refused { .. } => drop(waiting.remove(&id)),
                    }
                }
                3 if !running.is_empty() => {
                    let done = running.swap_remove(usize::from(pick) % running.len());
                    now += gap;
                    started = policy.finish(ClockTime(now), done, Some(gap as f64));
                }
                _ => {
                    for request in policy.expire(ClockTime(now)) {
                        waiting.remove(&request.id).unwrap();
                    }
                }
            }
            for id in started {
                assert!(waiting.remove(&id).unwrap() > now, "started twice or after the deadline");
                running.push(id);
            }
            assert!(running.len() <= 3);
            assert_eq!(policy.load(), ((running.len() + waiting.len()) * 1_000 / 3) as u32);
        }
    }
}
