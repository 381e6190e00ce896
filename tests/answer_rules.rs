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
            assert_eq!(proven.verdict(idempotent), AnswerVerdict::Final, "{status}");
            for answer in unproven {
                let answer = EndpointAnswer { status, ..answer };
                assert_eq!(answer.verdict(idempotent), malformed, "{answer:?}");
            }
        }
    }
}
