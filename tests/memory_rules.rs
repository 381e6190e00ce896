//! Tests of which messages may occupy the memory of a node.

use endivelanding::clock::ClockTime;
use endivelanding::memory::{ClaimId, MemoryLedger};

const LIMIT: u64 = 32 << 20;
const BODY: u64 = 4 << 20;
const SMALL: u64 = 10_000;

/// Opens a claim of an incomplete message whose last progress was at `progress_at`.
fn incomplete(ledger: &mut MemoryLedger, size: u64, progress_at: u64) -> Option<ClaimId> {
    let id = ledger.open();
    ledger.set_progress(id, Some(ClockTime(progress_at)));
    let resized = ledger.resize(ClockTime(progress_at), id, size);
    if resized.is_none() {
        ledger.close(id);
    }
    resized.map(|_| id)
}

/// Guards against a node that ends for lack of memory: 120 clients send bodies and stop short of the end.
#[test]
fn a_crowd_of_incomplete_bodies_stays_within_the_limit_and_others_are_served() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let admitted = (0..120).filter(|_| incomplete(&mut ledger, BODY, 100).is_some());
    assert_eq!(admitted.count(), 8);
    assert!(ledger.used() <= LIMIT);
    // Requests with small bodies are served at once, and a large one as soon as the crowd is stalled.
    for _ in 0..100 {
        let id = ledger.open();
        assert!(ledger.resize(ClockTime(200), id, SMALL).is_some());
        ledger.close(id);
    }
    let large = ledger.open();
    assert!(ledger.resize(ClockTime(300), large, BODY).is_none());
    let evicted = ledger.resize(ClockTime(1_100), large, BODY);
    assert_eq!(evicted.map(|evicted| evicted.len()), Some(1));
    assert!(ledger.used() <= LIMIT);
}

#[test]
fn small_messages_evict_large_incomplete_ones_but_none_that_is_complete() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let moving = incomplete(&mut ledger, LIMIT / 2, 1_000).expect("room");
    let complete = ledger.open();
    assert!(
        ledger
            .resize(ClockTime(1_000), complete, LIMIT / 2)
            .is_some()
    );
    let mut evicted = Vec::new();
    // Beyond the reserve, an incomplete message gives way though it moves.
    for _ in 0..1_000 {
        let id = ledger.open();
        evicted.extend(ledger.resize(ClockTime(1_100), id, SMALL).expect("room"));
    }
    assert_eq!(evicted, [moving]);
    assert_eq!(ledger.size(complete), LIMIT / 2);
}

#[test]
fn the_largest_stalled_message_gives_way_first() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let sizes = [BODY, 3 * BODY, 2 * BODY];
    let ids = sizes.map(|size| incomplete(&mut ledger, size, 0).expect("room"));
    let fresh = incomplete(&mut ledger, 2 * BODY, 4_900).expect("room");
    let id = ledger.open();
    let evicted = ledger.resize(ClockTime(5_000), id, 4 * BODY).expect("room");
    assert_eq!(evicted.as_slice(), [ids[1], ids[2]]);
    assert_eq!(ledger.size(fresh), 2 * BODY);
}

#[test]
fn a_claim_that_does_not_fit_changes_nothing() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let stalled = incomplete(&mut ledger, BODY, 0).expect("room");
    let id = ledger.open();
    assert!(ledger.resize(ClockTime(5_000), id, LIMIT + 1).is_none());
    assert_eq!((ledger.used(), ledger.size(stalled)), (BODY, BODY));
    assert!(ledger.resize(ClockTime(5_000), id, LIMIT).is_some());
    // The evicted claim begins anew if its owner goes on.
    assert!(ledger.resize(ClockTime(5_000), id, 0).is_some());
    assert!(ledger.resize(ClockTime(5_000), stalled, SMALL).is_some());
    assert_eq!(ledger.used(), SMALL);
    ledger.close(stalled);
    assert_eq!(ledger.used(), 0);
}

#[test]
fn a_part_of_a_claim_moves_to_another_without_new_room() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let connection = incomplete(&mut ledger, LIMIT, 0).expect("room");
    let body = ledger.split(connection, BODY);
    assert_eq!(ledger.size(connection), LIMIT - BODY);
    assert_eq!((ledger.size(body), ledger.used()), (BODY, LIMIT));
    ledger.close(connection);
    assert_eq!(ledger.used(), BODY);
}

/// Guards against ordinary callers that find no descriptor because a crowd holds all of them.
#[test]
fn the_connection_that_waits_longest_for_its_client_gives_way_to_a_new_one() {
    let mut ledger = MemoryLedger::new(LIMIT);
    let mut open = |time| ledger.open_connection(ClockTime(time), 3);
    let ids: Vec<ClaimId> = (0..3)
        .map(|time| open(time).expect("a descriptor").0)
        .collect();
    assert!(open(9_000).is_none(), "all of them run requests");
    ledger.set_progress(ids[2], Some(ClockTime(9_500)));
    ledger.set_progress(ids[1], Some(ClockTime(9_400)));
    assert!(ledger.open_connection(ClockTime(10_000), 3).is_none());
    let opened = ledger.open_connection(ClockTime(10_500), 3);
    assert_eq!(opened.and_then(|(_, evicted)| evicted), Some(ids[1]));
    assert_eq!(ledger.connection_count(), 3);
}
