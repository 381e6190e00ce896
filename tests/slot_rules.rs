//! Tests that the slot queue never exceeds its capacity, admits urgent requests first and bounds
//! its waits.

use endivelanding::clock::ClockTime;
use endivelanding::sidecar::{SlotDecision, SlotQueue, SlotTicket, SlotUrgency};
use proptest::prelude::*;

const FAR_DEADLINE: ClockTime = ClockTime(60_000);

fn urgency(priority: u8, objective: u64) -> SlotUrgency {
    SlotUrgency {
        priority,
        objective: ClockTime(objective),
        work: ClockTime(0),
        remaining: FAR_DEADLINE,
        holds_work: false,
    }
}

fn enqueue(queue: &mut SlotQueue, now: u64, urgency: SlotUrgency) -> SlotTicket {
    match queue.request(ClockTime(now), urgency, FAR_DEADLINE, FAR_DEADLINE) {
        SlotDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn short_and_urgent_requests_overtake_queued_ones() {
    let mut queue = SlotQueue::new(1);
    let now = ClockTime(0);
    assert_eq!(
        queue.request(now, urgency(0, 300), FAR_DEADLINE, FAR_DEADLINE),
        SlotDecision::Run
    );
    let long = enqueue(&mut queue, 0, urgency(2, 400));
    let urgent = enqueue(&mut queue, 1, urgency(0, 300));
    let short = enqueue(&mut queue, 2, urgency(1, 120));
    let mut served = Vec::new();
    for _ in 0..3 {
        queue.finish(ClockTime(100));
        served.extend(queue.admit_next(ClockTime(10)));
    }
    assert_eq!(served, [short, urgent, long]);
}

#[test]
fn requests_that_waited_long_are_no_longer_overtaken() {
    let mut queue = SlotQueue::new(1);
    queue.request(ClockTime(0), urgency(0, 300), FAR_DEADLINE, FAR_DEADLINE);
    let long = enqueue(&mut queue, 0, urgency(2, 400));
    let short = enqueue(&mut queue, 1_100, urgency(1, 120));
    queue.finish(ClockTime(100));
    assert_eq!(queue.admit_next(ClockTime(1_200)), Some(long));
    assert_ne!(long, short);
}

#[test]
fn a_wait_beyond_the_limit_is_refused_with_the_expected_wait() {
    let mut queue = SlotQueue::new(2);
    for _ in 0..2 {
        queue.request(ClockTime(0), urgency(0, 300), FAR_DEADLINE, FAR_DEADLINE);
    }
    // With a hold time of 100 ms, one of two slots becomes free after 50 ms on average.
    let refused = queue.request(ClockTime(0), urgency(0, 300), ClockTime(49), FAR_DEADLINE);
    assert_eq!(refused, SlotDecision::Refuse(ClockTime(50)));
    let late = queue.request(ClockTime(0), urgency(0, 300), FAR_DEADLINE, ClockTime(50));
    assert_eq!(late, SlotDecision::Refuse(ClockTime(50)));
}

#[test]
fn expired_requests_get_no_slot() {
    let mut queue = SlotQueue::new(1);
    queue.request(ClockTime(0), urgency(0, 300), FAR_DEADLINE, FAR_DEADLINE);
    let expired = queue.request(ClockTime(0), urgency(0, 10), FAR_DEADLINE, ClockTime(150));
    assert!(matches!(expired, SlotDecision::Wait(_)));
    let live = enqueue(&mut queue, 0, urgency(0, 300));
    queue.finish(ClockTime(200));
    assert_eq!(queue.admit_next(ClockTime(200)), Some(live));
}

proptest! {
    #[test]
    fn slots_are_never_exceeded_and_never_idle(
        capacity in 1usize..6,
        steps in prop::collection::vec((0u8..4, 0u8..3, 50u64..500), 1..200),
    ) {
        let mut queue = SlotQueue::new(capacity);
        let mut running = 0usize;
        let mut waiting: Vec<SlotTicket> = Vec::new();
        for (number, (action, priority, objective)) in steps.into_iter().enumerate() {
            let now = ClockTime(number as u64);
            match action {
                0 | 1 => match queue.request(now, urgency(priority, objective), FAR_DEADLINE, FAR_DEADLINE) {
                    SlotDecision::Run => running += 1,
                    SlotDecision::Wait(ticket) => waiting.push(ticket),
                    SlotDecision::Refuse(_) => prop_assert!(running >= capacity),
                },
                2 if running > 0 => {
                    queue.finish(ClockTime(objective));
                    running -= 1;
                }
                _ => {
                    if let Some(ticket) = waiting.pop() {
                        prop_assert!(queue.cancel(ticket));
                    }
                }
            }
            while let Some(ticket) = queue.admit_next(now) {
                waiting.retain(|other| *other != ticket);
                running += 1;
            }
            prop_assert!(running <= capacity);
            prop_assert!(waiting.is_empty() || running == capacity);
            prop_assert_eq!(queue.outstanding(), running + waiting.len());
        }
    }
}

#[test]
fn expected_wait_grows_with_the_age_of_running_requests() {
    let mut queue = SlotQueue::new(1);
    queue.request(ClockTime(0), urgency(0, 300), FAR_DEADLINE, FAR_DEADLINE);
    let before = queue.expected_wait(ClockTime(0), ClockTime(300));
    queue.record_running_age(2_000.0);
    let hanging = queue.expected_wait(ClockTime(0), ClockTime(300));
    assert!(hanging >= ClockTime(2_000), "{before} became {hanging}");
    let max_wait = ClockTime(500);
    let decision = queue.request(ClockTime(2_000), urgency(0, 300), max_wait, FAR_DEADLINE);
    assert_eq!(decision, SlotDecision::Refuse(hanging));
}
