//! Tests of the evidence against requests that were at work when endpoints crashed.

use endivelanding::clock::ClockTime;
use endivelanding::id::ServiceName;
use endivelanding::quarantine::{
    CrashId, CrashWatch, Fingerprint, NewsPace, RecentRuns, SuspectTable,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

fn request(number: u64) -> Fingerprint {
    let caller: ServiceName = "salesdesk".parse().expect("a name");
    Fingerprint::of("GET", "/price/4", &caller, &number.to_le_bytes())
}

/// Returns the numbers of the requests that are kept from endpoints at the time of the crashes.
fn quarantined(table: &SuspectTable, count: u64) -> Vec<u64> {
    (0..count)
        .filter(|number| table.is_quarantined(ClockTime(2_000), &request(*number)))
        .collect()
}

#[test]
fn a_fingerprint_is_made_of_method_target_caller_and_body() {
    let service = |name: &str| name.parse::<ServiceName>().expect("a name");
    let base = Fingerprint::of("GET", "/a?b", &service("x"), b"body");
    assert_eq!(base, Fingerprint::of("GET", "/a?b", &service("x"), b"body"));
    for other in [
        Fingerprint::of("PUT", "/a?b", &service("x"), b"body"),
        Fingerprint::of("GET", "/a?c", &service("x"), b"body"),
        Fingerprint::of("GET", "/a?b", &service("y"), b"body"),
        Fingerprint::of("GET", "/a?b", &service("x"), b"bod"),
        Fingerprint::of("GET", "/a?bx", &service("b"), b"ody"),
    ] {
        assert_ne!(base, other);
    }
    assert_eq!(base.to_string().len(), 32);
}

#[test]
fn requests_that_lose_their_connections_together_are_suspected_together() {
    let mut watch = CrashWatch::default();
    assert!(watch.record_loss(ClockTime(1_000), request(1)));
    assert!(!watch.record_loss(ClockTime(1_003), request(2)));
    assert_eq!(watch.take_suspects()[..], [request(1), request(2)]);
    assert!(watch.take_suspects().is_empty());
    assert!(watch.record_loss(ClockTime(2_000), request(3)));
    // A loss that was never confirmed is not mixed up with a later one.
    assert!(watch.record_loss(ClockTime(3_000), request(4)));
    assert_eq!(watch.take_suspects()[..], [request(4)]);
}

#[test]
fn the_only_request_that_was_at_work_at_an_earlier_crash_is_the_culprit() {
    let mut table = SuspectTable::default();
    table.record_crash(
        ClockTime(0),
        CrashId(0),
        &[request(0), request(1), request(2)],
    );
    assert!(quarantined(&table, 9).is_empty());
    let begun = table.record_crash(ClockTime(9), CrashId(1), &[request(0), request(3)]);
    assert_eq!(begun[..], [request(0)]);
}

#[test]
fn of_two_requests_at_work_at_the_same_crashes_the_one_that_goes_on_is_the_culprit() {
    let mut table = SuspectTable::default();
    for crash in 0..2 {
        table.record_crash(ClockTime(crash), CrashId(crash), &[request(0), request(1)]);
        assert!(quarantined(&table, 9).is_empty(), "{crash}");
    }
    table.record_crash(ClockTime(9), CrashId(2), &[request(0), request(3)]);
    assert_eq!(quarantined(&table, 9), [0]);
}

/// Guards against a request that is refused because it ran beside the culprit each time.
#[test]
fn a_crash_with_a_known_culprit_is_no_evidence_against_others() {
    let mut table = SuspectTable::default();
    table.record_crash(ClockTime(0), CrashId(0), &[request(0)]);
    for crash in 1..5 {
        let suspects = [request(0), request(1), request(10 + crash)];
        table.record_crash(ClockTime(crash), CrashId(crash), &suspects);
    }
    assert_eq!(quarantined(&table, 20), [0]);
}

#[test]
fn one_crash_is_never_enough_and_two_are_if_one_was_alone() {
    let mut table = SuspectTable::default();
    table.record_crash(ClockTime(0), CrashId(1), &[request(1), request(1)]);
    // The same incarnation crashes only once, however often it is reported.
    table.record_crash(ClockTime(5), CrashId(1), &[request(1)]);
    assert!(quarantined(&table, 9).is_empty());
    let begun = table.record_crash(ClockTime(9), CrashId(2), &[request(1), request(2)]);
    assert_eq!(begun[..], [request(1)]);
    assert_eq!(quarantined(&table, 9), [1]);
}

#[test]
fn a_request_that_runs_to_its_end_is_not_the_culprit() {
    let mut table = SuspectTable::default();
    for crash in 0..2 {
        table.record_crash(ClockTime(crash), CrashId(crash), &[request(1), request(2)]);
    }
    assert!(table.record_completion(&request(1)));
    assert!(!table.record_completion(&request(1)), "no news");
    assert!(!table.record_completion(&request(7)));
    table.record_crash(ClockTime(9), CrashId(9), &[request(1), request(2)]);
    assert_eq!(quarantined(&table, 9), [2]);
}

/// Guards against a popular request that is refused for ever since all endpoints crashed at once.
#[test]
fn the_quarantine_ends_and_lasts_longer_after_each_further_crash() {
    let mut table = SuspectTable::default();
    table.record_crash(ClockTime(0), CrashId(0), &[request(5), request(6)]);
    let mut until = 0;
    for (crash, last_ms) in [(1, 60_000), (2, 240_000), (3, 600_000), (4, 600_000)] {
        let now = ClockTime(until);
        table.expire(now);
        table.record_crash(now, CrashId(crash), &[request(5), request(6 + crash)]);
        until += last_ms;
        let is_quarantined = |at| table.is_quarantined(ClockTime(at), &request(5));
        assert!(is_quarantined(until - 1), "{crash}");
        assert!(!is_quarantined(until), "{crash}");
        assert!(!table.is_quarantined(now, &request(6)), "{crash}");
    }
    table.expire(ClockTime(until + 119_999));
    assert_eq!(table.entries(ClockTime(until), 9).len(), 1);
    table.expire(ClockTime(until + 120_000));
    assert!(table.is_empty());
}

#[test]
fn a_request_that_ran_on_the_incarnation_before_is_not_suspected() {
    let mut runs = RecentRuns::default();
    runs.record(ClockTime(0), request(1));
    runs.record(ClockTime(30_000), request(2));
    assert!(runs.contains(&request(1)) && runs.contains(&request(2)));
    runs.record(ClockTime(60_000), request(3));
    assert!(!runs.contains(&request(1)), "too long ago");
    for number in 10..1_100 {
        runs.record(ClockTime(60_001), request(number));
    }
    assert!(runs.contains(&request(3)) && runs.contains(&request(1_099)));
    assert!(!runs.contains(&request(2)), "bounded");
    runs.clear();
    assert!(!runs.contains(&request(3)), "another incarnation");
}

/// Guards against nodes that keep telling each other what both know.
#[test]
fn nodes_agree_whatever_the_order_of_their_messages() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut tables: Vec<SuspectTable> = (0..6).map(|_| SuspectTable::default()).collect();
        let mut messages = Vec::new();
        for crash in 0..30 {
            let node = random.random_range(0..6);
            let now = ClockTime(1_000 + crash);
            let suspects: Vec<Fingerprint> =
                (0..3).map(|_| request(random.random_range(0..8))).collect();
            tables[node].record_crash(now, CrashId(crash), &suspects);
            tables[node].record_completion(&request(random.random_range(0..8)));
            messages.extend(tables[node].take_news(now, 99));
        }
        let now = ClockTime(2_000);
        let mut count = 0;
        while !messages.is_empty() {
            messages.shuffle(&mut random);
            let batch = std::mem::take(&mut messages);
            for table in &mut tables {
                table.merge(now, batch.clone());
                messages.extend(table.take_news(now, 99));
            }
            count += 1;
            assert!(count < 20, "seed {seed}: the messages do not end");
        }
        let first = quarantined(&tables[0], 8);
        for table in &tables {
            assert_eq!(quarantined(table, 8), first, "seed {seed}");
        }
    }
}

/// Guards against a mass crash that fills the tables: they neither grow nor lose a culprit.
#[test]
fn a_full_table_still_finds_the_culprit() {
    let mut table = SuspectTable::default();
    for crash in 0..1_000 {
        let base = 10 + crash * 6;
        let suspects: Vec<Fingerprint> = (base..base + 6).map(request).collect();
        table.record_crash(ClockTime(50), CrashId(crash), &suspects);
    }
    assert_eq!(table.entries(ClockTime(60), usize::MAX).len(), 1_024);
    assert_eq!(table.quarantined_count(ClockTime(60)), 0);
    let mut other = SuspectTable::default();
    for crash in 0..3 {
        other.record_crash(
            ClockTime(70),
            CrashId(5_000 + crash),
            &[request(1), request(2)],
        );
        other.record_completion(&request(2));
    }
    table.merge(ClockTime(80), other.take_news(ClockTime(80), 9));
    assert_eq!(quarantined(&table, 9), [1]);
    assert_eq!(table.entries(ClockTime(90), usize::MAX).len(), 1_024);
}

#[test]
fn a_request_is_suspected_until_it_runs_to_its_end() {
    let mut table = SuspectTable::default();
    assert!(!table.is_suspected(&request(1)));
    table.record_crash(ClockTime(0), CrashId(0), &[request(1), request(2)]);
    assert!(table.is_suspected(&request(1)) && !table.is_suspected(&request(3)));
    table.record_completion(&request(1));
    assert!(!table.is_suspected(&request(1)) && table.is_suspected(&request(2)));
}

#[test]
fn the_news_of_one_crash_travels_at_once_and_that_of_many_in_few_messages() {
    let mut pace = NewsPace::default();
    let mut now = ClockTime(0);
    let mut pauses = Vec::new();
    while now < ClockTime(10_000) {
        let pause = pace.pause(now);
        now = now + pause;
        pauses.push(pause.0);
    }
    assert_eq!(pauses[..6], [5, 10, 20, 40, 80, 100]);
    assert!(pauses.len() <= 105, "{}", pauses.len());
    assert_eq!(pace.pause(now + ClockTime(1_000)), ClockTime(5));
}
