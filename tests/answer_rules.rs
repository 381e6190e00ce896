//! Tests of what a response from the address of an endpoint proves about a request.

use endivelanding::ResultCode;
use endivelanding::sidecar::{AnswerVerdict, EndpointAnswer};

const PROVEN: EndpointAnswer = EndpointAnswer {
    status: 200,
    states_not_run: false,
    has_request_id: true,
    has_proof: true,
    is_encoded: false,
};

#[test]
fn a_status_below_500_is_final_only_with_proof() {
    let unproven = [
        EndpointAnswer {
            has_request_id: false,
            ..PROVEN
        },
        EndpointAnswer {
            has_proof: false,
            ..PROVEN
        },
        EndpointAnswer {
            is_encoded: true,
            ..PROVEN
        },
    ];
    let statuses = (200..600).filter(|status| !matches!(status, 408 | 421 | 429 | 503));
    for status in statuses {
        let proven = EndpointAnswer { status, ..PROVEN };
        let malformed = match status {
            500..=599 => AnswerVerdict::Final,
            _ => AnswerVerdict::Unknown(ResultCode::AnswerMalformed),
        };
        for idempotent in [false, true] {
            let verdict = proven.verdict(idempotent, true);
            assert_eq!(verdict, AnswerVerdict::Final, "{status}");
            for answer in unproven {
                let answer = EndpointAnswer { status, ..answer };
                assert_eq!(answer.verdict(idempotent, true), malformed, "{answer:?}");
            }
        }
    }
}

#[test]
fn only_a_request_without_an_identifier_is_refused_as_malformed() {
    for status in (200..600).filter(|status| *status != 421) {
        let refusal = EndpointAnswer {
            status,
            states_not_run: true,
            ..PROVEN
        };
        let unidentified = match status {
            400 => ResultCode::MalformedRequest,
            _ => ResultCode::Overloaded,
        };
        for idempotent in [false, true] {
            let verdict = |is_identified| refusal.verdict(idempotent, is_identified);
            assert_eq!(verdict(true), AnswerVerdict::NotRun(ResultCode::Overloaded));
            assert_eq!(verdict(false), AnswerVerdict::NotRun(unidentified));
        }
    }
}

#[test]
fn a_refusal_counts_only_with_the_identifier_of_the_request() {
    for (status, states_not_run) in [(503, true), (429, true), (400, true), (421, false)] {
        let refusal = EndpointAnswer {
            status,
            states_not_run,
            has_request_id: false,
            ..PROVEN
        };
        for idempotent in [false, true] {
            let unknown = AnswerVerdict::Unknown(ResultCode::AnswerMalformed);
            assert_eq!(refusal.verdict(idempotent, true), unknown, "{status}");
            let unidentified = refusal.verdict(idempotent, false);
            assert!(matches!(unidentified, AnswerVerdict::NotRun(_)), "{status}");
        }
    }
}
