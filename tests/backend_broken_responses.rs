//! Tests of responses to `HttpBackend` that break off.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/backend_calls.rs"]
mod backend_calls;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/scripted_server.rs"]
mod scripted_server;
#[path = "support/test_loop.rs"]
mod test_loop;

use backend_calls::{OK, backend, run};
use endivelanding::error::ResultCode;
use scripted_server::{ScriptStep, ScriptedServer};
use test_loop::block_on;

/// Guards against a response that breaks off being accepted as complete.
#[test]
fn a_response_that_breaks_off_at_any_byte_is_no_result() {
    let responses = [
        "HTTP/1.1 200 OK\r\nx-shop: 7\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 204 No Content\r\nx-shop: 7\r\n\r\n",
    ];
    let cuts: Vec<&[u8]> = responses
        .iter()
        .flat_map(|text| (0..text.len()).map(|length| &text.as_bytes()[..length]))
        .collect();
    let sent = cuts.clone();
    // An unsuccessful request is followed by its cancellation.
    let server = ScriptedServer::start(move |_, request| {
        let path = request.split(' ').nth(1).expect("a path");
        let response = match path.strip_prefix("/work/") {
            Some(number) => sent[number.parse::<usize>().expect("a number")].to_vec(),
            None => OK.to_vec(),
        };
        vec![ScriptStep::Send(response), ScriptStep::Close]
    });
    block_on(async {
        let backend = backend(server.address, 1);
        for (number, cut) in cuts.into_iter().enumerate() {
            let result = run(&backend, &format!("/work/{number}")).await;
            let cut = String::from_utf8_lossy(cut);
            assert_eq!(result, Err(ResultCode::ConnectionLost), "{cut:?}");
        }
        backend.close().await;
    });
}
