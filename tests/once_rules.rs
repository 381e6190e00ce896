//! Tests of at-most-once execution.

use std::collections::HashSet;

use bytes::Bytes;
use endivelanding::ResultCode;
use endivelanding::call::CallResponse;
use endivelanding::clock::ClockTime;
use endivelanding::error::CallOutcome;
use endivelanding::id::{NodeAddress, NodeIncarnation, RequestKey};
use endivelanding::once::{
    AbandonOutcome, BeginOutcome, FenceDecision, FenceRound, KeyAge, KeyLimits, KeyOrigin,
    KeyRecordStore, PlacedKey,
};
use endivelanding::peer::{FenceRequest, FenceResponse};
use endivelanding::size::ByteSize;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FIRST: KeyOrigin = KeyOrigin::Caller {
    elapsed: ClockTime(0),
};

fn key() -> RequestKey {
    "order-1".parse().unwrap()
}

fn address(number: usize) -> NodeAddress {
    NodeAddress(([127, 0, 0, 1], number as u16).into())
}

fn answer(bytes: usize) -> CallResponse {
    CallResponse {
        code: ResultCode::Ok,
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![0; bytes]),
        retry_after: None,
    }
}

fn request(token: u64, age: u64) -> FenceRequest {
    FenceRequest {
        service: "caja".parse().unwrap(),
        key: key(),
        token,
        age: ClockTime(age),
    }
}

fn store() -> KeyRecordStore {
    KeyRecordStore::new(ClockTime(0), KeyLimits::default(), 2, ByteSize(20_000))
}

fn same(start: &BeginOutcome, wanted: &BeginOutcome) -> bool {
    std::mem::discriminant(start) == std::mem::discriminant(wanted)
}

/// Guards against running a key again in any state, and against losing a recorded answer.
#[test]
fn recorded_keys_do_not_run_again() {
    let (now, key) = (ClockTime(40_000), key());
    let mut store = store();
    assert!(same(&store.begin(now, &key, 0, FIRST), &BeginOutcome::Run));
    assert!(same(
        &store.begin(now, &key, 0, FIRST),
        &BeginOutcome::Running
    ));
    assert_eq!(store.fence(now, &request(9, 1)), FenceResponse::Running);
    store.finish(now, &key, &answer(100));
    store.abandon(now, &key, AbandonOutcome::NotRun);
    let BeginOutcome::Replay(replay) = store.begin(now, &key, 9, FIRST) else {
        panic!("the recorded answer was not returned");
    };
    assert_eq!(replay.body.len(), 100);
    assert_eq!(store.fence(now, &request(9, 1)), FenceResponse::Finished);
    for (bytes, end) in [(17_000, None), (0, Some(AbandonOutcome::Unknown))] {
        let mut store = self::store();
        store.begin(now, &key, 0, FIRST);
        match end {
            Some(end) => store.abandon(now, &key, end),
            None => store.finish(now, &key, &answer(bytes)),
        }
        let start = store.begin(now, &key, 0, FIRST);
        assert_eq!(start.refusal(), Some(ResultCode::KeyMemoryGone));
    }
}

/// Guards against an older attempt that runs after a newer one fenced the key, and against a fence
/// at an endpoint that started too late to know whether its predecessor ran the key.
#[test]
fn fences_refuse_smaller_tokens() {
    let (now, key) = (ClockTime(40_000), key());
    let mut store = store();
    let unfenced = store.begin(now, &key, 5, FIRST);
    assert!(
        same(&unfenced, &BeginOutcome::Fenced),
        "attempt ran although its fence is not recorded"
    );
    for (token, age, reply) in [
        (5, 40_000, FenceResponse::Undetermined),
        (5, 39_999, FenceResponse::Fenced),
        (4, 1, FenceResponse::Superseded),
    ] {
        assert_eq!(store.fence(now, &request(token, age)), reply);
    }
    for (token, runs) in [(0, false), (4, false), (6, false), (5, true)] {
        let start = store.begin(now, &key, token, FIRST);
        assert_eq!(matches!(start, BeginOutcome::Run), runs, "{token}");
        // Another attempt may run, so the result code must not mean "not run".
        let code = start.refusal();
        assert_ne!(code.map(ResultCode::outcome), Some(CallOutcome::NotRun));
    }
    store.abandon(now, &key, AbandonOutcome::NotRun);
    assert!(same(
        &store.begin(now, &key, 0, FIRST),
        &BeginOutcome::Fenced
    ));
    assert!(same(&store.begin(now, &key, 5, FIRST), &BeginOutcome::Run));
}

/// Guards against running keys at endpoints that are not yet known to all nodes.
#[test]
fn unsettled_endpoint_refuses_keys_of_callers() {
    for (now, elapsed, settled_seen, token, runs) in [
        (29_999, 0, Some(29_000), 0, false),
        (30_000, 0, Some(29_000), 0, true),
        (30_001, 2, Some(29_000), 0, false),
        (5_000, 0, None, 0, true),
        (5_000, 5_000, None, 0, false),
        (5_000, 0, None, 7, false),
        (20_000, 9_000, Some(9_000), 0, false),
        (20_001, 9_000, Some(9_000), 0, true),
    ] {
        let (now, elapsed) = (ClockTime(now), ClockTime(elapsed));
        let mut store = store();
        if let Some(seen) = settled_seen {
            store.record_settled_endpoint(ClockTime(seen));
        }
        store.fence(now, &request(token, 1));
        let origin = KeyOrigin::Caller { elapsed };
        let start = store.begin(now, &key(), token, origin);
        assert_eq!(same(&start, &BeginOutcome::Run), runs, "{now} {origin:?}");
    }
}

/// Guards against unbounded memory use, and against removing keys within their lifetime.
#[test]
fn full_store_refuses_new_keys() {
    let mut store = store();
    let now = ClockTime(40_000);
    let keys: Vec<RequestKey> = (0..3).map(|n| format!("k{n}").parse().unwrap()).collect();
    for key in &keys[..2] {
        store.begin(now, key, 0, FIRST);
        store.finish(now, key, &answer(15_000));
    }
    let start = store.begin(now, &keys[2], 0, FIRST);
    assert_eq!(start.refusal(), Some(ResultCode::Overloaded));
    assert_eq!(
        store.fence(now, &request(1, 1)),
        FenceResponse::Undetermined
    );
    let start = store.begin(now, &keys[0], 0, FIRST);
    assert!(matches!(start, BeginOutcome::Replay(_)));
    assert!(same(
        &store.begin(now, &keys[1], 0, FIRST),
        &BeginOutcome::Unknown
    ));
    store.expire(now + ClockTime(600_000));
    assert_eq!(store.len(), 2, "removed within the lifetime");
    store.expire(now + ClockTime(660_000));
    assert!(store.is_empty());
}

/// Guards against underestimating the age of a key, which lets a fence miss its first run.
#[test]
fn age_is_never_underestimated() {
    let wall = 1_800_000_000_000;
    let mut rng = SmallRng::seed_from_u64(3);
    let (node, start) = (address(7), NodeIncarnation(wall - 9_000));
    let placed = PlacedKey::issue(node, start, wall - 4_000, &mut rng);
    assert_eq!(placed.to_string().parse(), Ok(placed.clone()));
    assert_eq!((placed.address(), placed.incarnation()), (node, start));
    let placed = placed.to_string();
    let uuid_key = uuid::Builder::from_unix_timestamp_millis(wall - 2_000, &[1; 10]);
    let uuid_key = uuid_key.into_uuid().to_string();
    let at_most = |age| KeyAge::AtMost(ClockTime(age));
    for (key, header, later, expected) in [
        ("order-1", Some(0), 0, KeyAge::First),
        ("order-1", Some(700), 0, at_most(700)),
        ("order-1", Some(600_000), 0, KeyAge::Expired),
        ("order-1", None, 0, KeyAge::Expired),
        (&uuid_key, None, 0, at_most(7_000)),
        (&uuid_key, None, 600_000, KeyAge::Expired),
        (&placed, None, 0, at_most(9_000)),
        (&placed, Some(0), 0, KeyAge::First),
        (&placed, Some(0), 600_000, KeyAge::Expired),
    ] {
        let key: RequestKey = key.parse().unwrap();
        let age = KeyAge::resolve(
            &key,
            header.map(ClockTime),
            wall + later,
            KeyLimits::default(),
        );
        assert_eq!(age, expected, "{key} {header:?} {later}");
    }
    for (age, outcome) in [
        (KeyAge::First, CallOutcome::NotRun),
        (KeyAge::Expired, CallOutcome::Unknown),
    ] {
        assert_eq!(PlacedKey::code_when_gone(age).outcome(), outcome);
    }
}

/// Guards against running a key that an endpoint may have run already.
#[test]
fn fence_round_runs_only_if_all_endpoints_confirm() {
    use FenceResponse::{Fenced, Finished, Running, Superseded, Undetermined, Unknown};
    let reject = |code| Some(FenceDecision::Reject(code));
    let (run, replay) = (FenceDecision::Run, FenceDecision::Replay(address(1)));
    let gone_code = reject(ResultCode::KeyMemoryGone);
    let running = reject(ResultCode::KeyRunning);
    let connection_lost = reject(ResultCode::ConnectionLost);
    for (replies, gone, uptime, expected) in [
        (vec![Fenced, Fenced], 0, 40_000, Some(run)),
        (vec![Fenced, Fenced], 1, 40_000, gone_code),
        (vec![Fenced, Fenced], 0, 31_999, gone_code),
        (vec![Fenced], 0, 40_000, gone_code),
        (vec![Fenced, Undetermined], 0, 40_000, gone_code),
        (vec![Fenced, Superseded], 0, 40_000, running),
        (vec![Fenced, Running], 0, 40_000, running),
        (vec![Unknown, Undetermined], 0, 40_000, connection_lost),
        (vec![Undetermined, Finished], 0, 40_000, Some(replay)),
    ] {
        let live = [address(0), address(1)];
        let gone: Vec<_> = (0..gone).map(|_| address(9)).collect();
        let age = KeyAge::AtMost(ClockTime(2_000));
        let mut round = FenceRound::new(
            ClockTime(0),
            age,
            &live,
            &gone,
            ClockTime(uptime),
            KeyLimits::default(),
        );
        for (number, reply) in replies.iter().enumerate() {
            round.record_reply(ClockTime(10), address(number), *reply);
        }
        assert_eq!(round.decide(round.deadline()), expected, "{replies:?}");
        let early = round.decide(ClockTime(20));
        assert_eq!(early.is_some(), replies.len() == 2, "{replies:?}");
    }
}

/// Endpoint of the model; `known` is set if a process at its address was known to all nodes before.
struct ModelEndpoint {
    store: KeyRecordStore,
    started: u64,
    live: bool,
    known: bool,
}

impl ModelEndpoint {
    fn start(now: u64, known: bool) -> Self {
        Self {
            store: KeyRecordStore::new(ClockTime(now), KeyLimits::default(), 10, ByteSize(1_000)),
            started: now,
            live: true,
            known,
        }
    }

    fn is_settled(&self, now: u64) -> bool {
        self.live && now - self.started >= 30_000
    }
}

/// Simulates random attempts, fences, restarts and member tables for one key.
///
/// Returns how often the key ran and whether a run followed a fence.
fn run_model(seed: u64) -> (u32, bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (first, mut now) = (700_000, 700_000);
    let count = rng.random_range(1..=4);
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let span = [600_000, 25_000][rng.random_range(0..2)];
        endpoints.push(ModelEndpoint::start(
            first - rng.random_range(0..span),
            false,
        ));
    }
    let (mut runs, mut by_fence) = (0, false);
    let mut running: Vec<(usize, u64, u64)> = Vec::new();
    let mut rounds: Vec<(FenceRound, u64, u64, Vec<usize>)> = Vec::new();
    // Endpoint, token and start time of an attempt, and the index of its round for a fence request.
    let mut messages = vec![(rng.random_range(0..count), 0, first, None)];
    let mut decided = HashSet::new();
    for _ in 0..60 {
        let step = rng.random_range(0..6).min(rng.random_range(0..6_usize));
        now += [0, 5, 400, 3_000, 20_000, 100_000][step];
        let time = ClockTime(now);
        let any_settled = endpoints.iter().any(|endpoint| endpoint.is_settled(now));
        for endpoint in &mut endpoints {
            endpoint.known |= endpoint.is_settled(now);
            if any_settled {
                endpoint.store.record_settled_endpoint(time);
            }
        }
        match rng.random_range(0..8) {
            0 => {
                let at = rng.random_range(0..endpoints.len());
                running.retain(|(endpoint, ..)| *endpoint != at);
                endpoints[at].live = false;
                if rng.random_bool(0.7) {
                    endpoints[at] = ModelEndpoint::start(now, endpoints[at].known);
                }
            }
            1 if endpoints.len() < 4 => endpoints.push(ModelEndpoint::start(now, false)),
            2 => {
                // Settled endpoints are known to all nodes; others may be missing.
                let view =
                    (0..endpoints.len()).filter(|at| endpoints[*at].known || rng.random_bool(0.5));
                let (live, gone): (Vec<_>, Vec<_>) = view.partition(|at| endpoints[*at].live);
                let uptime = live.iter().map(|at| now - endpoints[*at].started).max();
                let name = |list: &[usize]| list.iter().map(|at| address(*at)).collect::<Vec<_>>();
                let oldest = ClockTime(uptime.unwrap_or(0));
                let age = KeyAge::resolve(
                    &key(),
                    Some(ClockTime((now - first).max(1))),
                    0,
                    KeyLimits::default(),
                );
                let round = FenceRound::new(
                    time,
                    age,
                    &name(&live),
                    &name(&gone),
                    oldest,
                    KeyLimits::default(),
                );
                let token = rng.random_range(1..100_000);
                messages.extend(live.iter().map(|at| (*at, token, now, Some(rounds.len()))));
                rounds.push((round, token, now, live));
            }
            3 | 4 if !running.is_empty() => {
                let index = rng.random_range(0..running.len());
                let (at, token, sent) = running.swap_remove(index);
                let store = &mut endpoints[at].store;
                match rng.random_range(0..3) {
                    0 => store.finish(time, &key(), &answer(10)),
                    1 => store.abandon(time, &key(), AbandonOutcome::Unknown),
                    _ => {
                        // The call did not run, and the entry node resends it.
                        store.abandon(time, &key(), AbandonOutcome::NotRun);
                        runs -= 1;
                        messages.push((rng.random_range(0..endpoints.len()), token, sent, None));
                    }
                }
            }
            _ if !messages.is_empty() => {
                let index = rng.random_range(0..messages.len());
                let (at, token, sent, round) = messages.swap_remove(index);
                let (endpoint, elapsed) = (&mut endpoints[at], ClockTime(now - sent));
                if !endpoint.live {
                    // The message is lost.
                } else if let Some(round) = round {
                    let round: &mut FenceRound = &mut rounds[round].0;
                    let asked = request(token, round.request_age().0);
                    round.record_reply(time, address(at), endpoint.store.fence(time, &asked));
                } else if elapsed < ClockTime(60_000) {
                    // Deadlines in this model are at most 60 s; no request is written later.
                    let origin = KeyOrigin::Caller { elapsed };
                    let start = endpoint.store.begin(time, &key(), token, origin);
                    if same(&start, &BeginOutcome::Run) {
                        runs += 1;
                        by_fence |= token > 0;
                        running.push((at, token, sent));
                    }
                }
            }
            _ => {}
        }
        for (number, (round, token, sent, live)) in rounds.iter().enumerate() {
            if round.decide(time) == Some(FenceDecision::Run) && decided.insert(number) {
                messages.push((live[rng.random_range(0..live.len())], *token, *sent, None));
            }
        }
        assert!(runs <= 1, "seed {seed}: the key ran {runs} times");
    }
    (runs, by_fence)
}

/// Guards against running a key twice under any interleaving of attempts, fences, restarts and
/// differing member tables, and against a model in which no key runs.
#[test]
fn key_runs_at_most_once() {
    let results: Vec<_> = (0..100_000).map(run_model).collect();
    let ran = results.iter().filter(|(runs, _)| *runs == 1).count();
    let fenced = results.iter().filter(|(_, by_fence)| *by_fence).count();
    assert!(ran > 10_000, "{ran} ran");
    assert!(fenced > 1_000, "{fenced} ran after a fence");
}
