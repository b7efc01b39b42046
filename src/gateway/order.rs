//! What an answer to an order proves.

use crate::gateway::adapter;
use crate::gateway::client;
use crate::gateway::coordinator::OrderOutcome;

/// Returns the outcome of an order that was sent to a target, from its answer.
///
/// An answer counts only if nothing shows that it may be one to something else: the target
/// sent nothing before the order was written, the answer names no request, as orders have no
/// identifier, and a refusal is the first answer on its connection. The caller sends orders
/// on connections that carry nothing but orders, and each release on one of its own.
pub fn outcome(
    adapter: &dyn adapter::Adapter,
    answer: Result<&http::Response<bytes::Bytes>, client::Failure>,
) -> OrderOutcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(client::Failure::Refused) => return OrderOutcome::ConnectionRefused,
        Err(_) => return OrderOutcome::Unanswered,
    };
    let id = answer.headers().get(&adapter.names().request);
    if id.is_some_and(|id| !id.is_empty()) {
        return OrderOutcome::Unclear;
    }
    let origin = answer.extensions().get();
    match (adapter.parse_order(answer), origin) {
        (_, None | Some(client::Origin::Early | client::Origin::Misframed)) => {
            OrderOutcome::Unclear
        }
        (adapter::OrderResponse::Accepted(handover), _) => OrderOutcome::Done(handover),
        (adapter::OrderResponse::Fenced, Some(client::Origin::First)) => OrderOutcome::Fenced,
        // An earlier grant may have been refused on this connection.
        (adapter::OrderResponse::Fenced, _) => OrderOutcome::Unclear,
        (adapter::OrderResponse::Rejected(_), _) => OrderOutcome::Rejected,
    }
}
