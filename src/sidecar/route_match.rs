//! Matching of client requests with the routes of the installed configuration.

use std::sync::Arc;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::client_server::ClientContext;
use crate::sidecar::client_session::UNAVAILABLE_RETRY_AFTER;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::request_receiver::ReceivedRequest;

/// Assumed remaining time of a request whose client does not state one.
const DEFAULT_REMAINING_TIME: ClockTime = ClockTime(30_000);

/// Matches a request with its route and picks the target service.
///
/// # Errors
///
/// The response for the client if no configuration is installed or no route matches. It states that
/// there is no route only if the configuration is known to be in force.
pub(crate) fn match_route(
    context: &ClientContext,
    received: ReceivedRequest,
) -> Result<OutboundRequest, ClientResponse> {
    let ReceivedRequest {
        head,
        body,
        arrived,
        ..
    } = received;
    let Some(config) = context.state.config() else {
        let id = head.id.as_deref().unwrap_or("-");
        log::info!("event=no_configuration request={id}");
        return Err(ClientResponse::local(
            ResultCode::NodeNotReady,
            Some(UNAVAILABLE_RETRY_AFTER),
        ));
    };
    let Some(rule) = config.lookup(&head.host, head.path()) else {
        let is_confirmed = context.state.confirms_config();
        log::info!(
            "event=no_route request={} confirmed={is_confirmed} host={} path={} {}",
            head.id.as_deref().unwrap_or("-"),
            head.host,
            head.path(),
            context.state.view_summary()
        );
        return Err(match is_confirmed {
            true => ClientResponse::local(ResultCode::NoRoute, None),
            false => ClientResponse::local(ResultCode::NodeNotReady, Some(UNAVAILABLE_RETRY_AFTER)),
        });
    };
    let remaining_time = head.remaining_time.unwrap_or(DEFAULT_REMAINING_TIME);
    let client_deadline = arrived + remaining_time.min(rule.timeout);
    let parents = &context.dispatcher.attempts.inbound.parents;
    let parent_priority = parents.borrow().parent_priority(arrived + remaining_time);
    let service = context.dispatcher.picker.borrow_mut().pick(rule).clone();
    Ok(OutboundRequest {
        id: head.id.unwrap_or_default(),
        method: head.method.as_str().to_owned(),
        target: head.target,
        headers: head.headers,
        body,
        arrived,
        client_deadline,
        deadline: client_deadline,
        rule: Arc::clone(rule),
        parent_priority,
        service,
        version: config.version(),
    })
}
