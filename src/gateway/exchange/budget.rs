//! Budget of requests that are sent more than once.

use crate::clock;
use crate::gateway::quota;
use crate::gateway::shared::Shared;
use crate::model;

/// Part of the retry budget's share of requests that hedges may use.
const HEDGE_SHARE: f64 = 0.6;

/// Returns the budgets of retries and of hedges, which together keep the bounds.
fn terms(shared: &Shared) -> (quota::Terms, quota::Terms) {
    let bounds = &shared.settings.bounds;
    let part = |ratio: f64, fixed: f64| quota::Terms {
        ratio: bounds.retry_share * ratio,
        fixed: bounds.retry_extra * fixed,
        window: bounds.retry_window.0,
    };
    (part(1.0 - HEDGE_SHARE, 0.7), part(HEDGE_SHARE, 0.3))
}

fn with_budget<T>(
    shared: &Shared,
    service: &model::ServiceName,
    act: impl FnOnce(&mut quota::Retry, &mut quota::Retry) -> T,
) -> T {
    let mut budgets = shared.retries.borrow_mut();
    let (retries, hedges) = budgets.entry(service.clone()).or_insert_with(|| {
        let (retries, hedges) = terms(shared);
        (quota::Retry::new(retries), quota::Retry::new(hedges))
    });
    let live = shared.peers.borrow().live(clock::now());
    retries.set_peers(live);
    hedges.set_peers(live);
    act(retries, hedges)
}

pub(crate) fn on_request(shared: &Shared, service: &model::ServiceName) {
    let now = clock::now();
    with_budget(shared, service, |retries, hedges| {
        retries.on_request(now);
        hedges.on_request(now);
    });
}

pub(crate) fn take_retry(shared: &Shared, service: &model::ServiceName) -> bool {
    with_budget(shared, service, |retries, _| retries.take(clock::now()))
}

pub(crate) fn take_hedge(shared: &Shared, service: &model::ServiceName) -> bool {
    with_budget(shared, service, |_, hedges| hedges.take(clock::now()))
}
