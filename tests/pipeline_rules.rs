//! Tests of the order in which the pipelined requests of a client connection start and are
//! responded to.

use endivelanding::sidecar::{
    PipelineLimits, PipelineTicket, PipelinedRequest, RequestPipeline, StartedRequest,
};
use proptest::prelude::{ProptestConfig, any, prop, prop_oneof, proptest};
use proptest::strategy::{Just, Strategy};
use proptest::test_runner::RngSeed;

const LIMITS: PipelineLimits = PipelineLimits {
    requests: 4,
    request_bytes: 100,
    held_bytes: 50,
};

type Pipeline = RequestPipeline<&'static str, &'static str>;

fn read(request: &'static str) -> PipelinedRequest<&'static str> {
    PipelinedRequest {
        request,
        size: 10,
        is_idempotent: true,
    }
}

fn write(request: &'static str) -> PipelinedRequest<&'static str> {
    PipelinedRequest {
        is_idempotent: false,
        ..read(request)
    }
}

fn start_all(pipeline: &mut Pipeline) -> Vec<StartedRequest<&'static str>> {
    std::iter::from_fn(|| pipeline.start_next(true)).collect()
}

fn names(started: &[StartedRequest<&'static str>]) -> Vec<&'static str> {
    started.iter().map(|started| started.request).collect()
}

#[test]
fn reads_run_together_and_are_answered_in_order() {
    let mut pipeline = Pipeline::new(LIMITS);
    for request in ["a", "b", "c"] {
        pipeline.push(read(request));
    }
    let started = start_all(&mut pipeline);
    assert_eq!(names(&started), ["a", "b", "c"]);
    let ahead: Vec<bool> = started.iter().map(|started| started.is_ahead).collect();
    assert_eq!(ahead, [false, true, true]);
    assert!(pipeline.finish(started[2].ticket, "c", 1), "c is held");
    assert!(pipeline.finish(started[1].ticket, "b", 1), "b is held");
    assert_eq!(pipeline.take_response(), None);
    assert!(!pipeline.finish(started[0].ticket, "a", 1));
    assert_eq!(pipeline.take_response(), Some("a"));
    assert_eq!(pipeline.take_response(), Some("b"));
    assert_eq!(pipeline.take_response(), Some("c"));
    assert!(pipeline.is_empty());
}

/// A response that closes the connection tells the client that the requests behind it were not
/// read, so work that must run once may not have been passed on by then.
#[test]
fn a_request_that_is_not_idempotent_runs_alone() {
    let mut pipeline = Pipeline::new(LIMITS);
    for request in [read("a"), write("w"), read("b"), read("c")] {
        pipeline.push(request);
    }
    let first = start_all(&mut pipeline);
    assert_eq!(names(&first), ["a"]);
    pipeline.finish(first[0].ticket, "a", 1);
    assert_eq!(names(&start_all(&mut pipeline)), [""; 0], "a was not sent");
    assert_eq!(pipeline.take_response(), Some("a"));
    let second = start_all(&mut pipeline);
    assert_eq!(names(&second), ["w"]);
    pipeline.finish(second[0].ticket, "w", 1);
    assert_eq!(names(&start_all(&mut pipeline)), [""; 0], "w was not sent");
    assert_eq!(pipeline.take_response(), Some("w"));
    assert_eq!(names(&start_all(&mut pipeline)), ["b", "c"]);
}

#[test]
fn a_rejected_request_keeps_its_place() {
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.push(read("a"));
    pipeline.push_response("404", 0);
    pipeline.push(read("b"));
    let started = start_all(&mut pipeline);
    assert_eq!(names(&started), ["a", "b"]);
    assert!(pipeline.finish(started[1].ticket, "b", 1));
    assert_eq!(pipeline.take_response(), None);
    pipeline.finish(started[0].ticket, "a", 1);
    assert_eq!(pipeline.take_response(), Some("a"));
    assert_eq!(pipeline.take_response(), Some("404"));
    assert_eq!(pipeline.take_response(), Some("b"));
}

#[test]
fn a_stop_runs_only_what_has_started_and_refuses_the_rest() {
    let mut pipeline = Pipeline::new(LIMITS);
    for request in [read("a"), read("b"), write("w"), read("c")] {
        pipeline.push(request);
    }
    let started = start_all(&mut pipeline);
    assert_eq!(names(&started), ["a", "b"]);
    let mut refused = Vec::new();
    pipeline.refuse_waiting(|request| {
        refused.push(*request);
        "refused"
    });
    assert_eq!(refused, ["w", "c"]);
    assert!(pipeline.start_next(true).is_none());
    pipeline.finish(started[1].ticket, "b", 1);
    assert!(!pipeline.is_finished());
    pipeline.finish(started[0].ticket, "a", 1);
    assert!(pipeline.is_finished());
    pipeline.close();
    assert!(!pipeline.accepts_requests());
    for response in ["a", "b", "refused", "refused"] {
        assert!(!pipeline.is_empty(), "the last response closes");
        assert_eq!(pipeline.take_response(), Some(response));
    }
    assert!(pipeline.is_empty() && pipeline.is_closed());
}

#[test]
fn limits_stop_receiving_and_starting() {
    let table: [(&str, PipelineLimits, bool, bool); 4] = [
        (
            "count",
            PipelineLimits {
                requests: 3,
                ..LIMITS
            },
            false,
            true,
        ),
        (
            "request bytes",
            PipelineLimits {
                request_bytes: 30,
                ..LIMITS
            },
            false,
            true,
        ),
        (
            "held bytes",
            PipelineLimits {
                held_bytes: 1,
                ..LIMITS
            },
            true,
            false,
        ),
        ("none", LIMITS, true, true),
    ];
    for (name, limits, accepts, starts) in table {
        let mut pipeline = Pipeline::new(limits);
        pipeline.push(read("a"));
        pipeline.push(read("b"));
        let started = start_all(&mut pipeline);
        pipeline.finish(started[1].ticket, "b", 1);
        pipeline.push(read("c"));
        assert_eq!(pipeline.accepts_requests(), accepts, "{name}");
        assert_eq!(pipeline.start_next(true).is_some(), starts, "{name}");
    }
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.push(read("a"));
    pipeline.push(read("b"));
    let first = pipeline.start_next(false).expect("the first always starts");
    assert!(pipeline.start_next(false).is_none(), "the node has no room");
    pipeline.finish(first.ticket, "a", 1);
    assert_eq!(pipeline.take_response(), Some("a"));
    assert!(pipeline.start_next(false).is_some());
}

/// One step of a random connection.
#[derive(Debug, Clone, Copy)]
enum Step {
    Receive {
        is_idempotent: bool,
    },
    Reject,
    Start,
    /// Finishes one of the running requests.
    Finish(usize),
    Send,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(|is_idempotent| Step::Receive { is_idempotent }),
        1 => Just(Step::Reject),
        4 => Just(Step::Start),
        4 => (0..16usize).prop_map(Step::Finish),
        4 => Just(Step::Send),
        1 => Just(Step::Stop),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Each response is sent once and in order, work that must run once starts alone, and every
    /// request that was received is responded to.
    #[test]
    fn random_connections_keep_the_rules(steps in prop::collection::vec(step(), 1..120)) {
        let mut pipeline: RequestPipeline<usize, usize> = RequestPipeline::new(LIMITS);
        // Kind of each request; `None` for a rejected one.
        let mut received: Vec<Option<bool>> = Vec::new();
        let mut running: Vec<(PipelineTicket, usize)> = Vec::new();
        let mut started = Vec::new();
        let mut sent: Vec<usize> = Vec::new();
        let mut stopped = false;
        let finish = |pipeline: &mut RequestPipeline<usize, usize>,
                      (ticket, number): (PipelineTicket, usize)| {
            pipeline.finish(ticket, number, 1);
        };
        for step in steps {
            match step {
                Step::Receive { is_idempotent } if pipeline.accepts_requests() => {
                    let request = received.len();
                    received.push(Some(is_idempotent));
                    pipeline.push(PipelinedRequest { request, size: 10, is_idempotent });
                }
                Step::Reject if pipeline.accepts_requests() => {
                    pipeline.push_response(received.len(), 1);
                    received.push(None);
                }
                Step::Start => {
                    let Some(next) = pipeline.start_next(true) else { continue };
                    assert!(!stopped);
                    let number = next.request;
                    let is_idempotent = received[number] == Some(true);
                    let unsent = sent.len()..number;
                    let reads_before = unsent.clone().all(|other| received[other] != Some(false));
                    assert!(unsent.is_empty() || (is_idempotent && reads_before));
                    assert_eq!(next.is_ahead, !unsent.is_empty());
                    running.push((next.ticket, number));
                    started.push(number);
                }
                Step::Finish(index) if !running.is_empty() => {
                    let request = running.swap_remove(index % running.len());
                    finish(&mut pipeline, request);
                }
                Step::Send => sent.extend(pipeline.take_response()),
                Step::Stop => {
                    stopped = true;
                    pipeline.refuse_waiting(|number| *number);
                    pipeline.close();
                }
                _ => {}
            }
        }
        pipeline.refuse_waiting(|number| *number);
        for request in running {
            finish(&mut pipeline, request);
        }
        sent.extend(std::iter::from_fn(|| pipeline.take_response()));
        assert!(pipeline.is_empty());
        assert!(sent.is_sorted_by(|first, second| first < second));
        for number in &started {
            assert!(sent.contains(number), "request {number} has no response");
        }
        assert!(sent.into_iter().eq(0..received.len()), "a request has no response");
    }
}
