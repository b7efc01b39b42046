//! Budgets of retries and of hedged requests, for each service.

use crate::clock;
use crate::gateway::quota;
use crate::gateway::shared::Shared;
use crate::model;

/// Part of the allowed ratio of retries that hedges may use.
const HEDGE_RATIO_SHARE: f64 = 0.6;

/// Part of the extra retries that retries may use.
const RETRY_EXTRA_SHARE: f64 = 0.7;

/// Part of the extra retries that hedges may use.
const HEDGE_EXTRA_SHARE: f64 = 0.3;

/// Returns the limits of retries and of hedges, which together stay within the
/// bounds in the settings.
fn limits(shared: &Shared) -> (quota::RetryLimit, quota::RetryLimit) {
    let bounds = &shared.settings.bounds;
    let part = |ratio: f64, extra: f64| quota::RetryLimit {
        ratio: bounds.retry_share * ratio,
        extra: bounds.retry_extra * extra,
        window_ms: bounds.retry_window.0,
    };
    (
        part(1.0 - HEDGE_RATIO_SHARE, RETRY_EXTRA_SHARE),
        part(HEDGE_RATIO_SHARE, HEDGE_EXTRA_SHARE),
    )
}

/// Calls `action` with a service's budgets of retries and of hedges, after an
/// update of the number of live daemons.
fn with_budget<T>(
    shared: &Shared,
    service: &model::ServiceName,
    action: impl FnOnce(&mut quota::RetryBudget, &mut quota::RetryBudget) -> T,
) -> T {
    let mut budgets = shared.retry_budgets.borrow_mut();
    let (retries, hedges) = budgets.entry(service.clone()).or_insert_with(|| {
        let (retries, hedges) = limits(shared);
        (
            quota::RetryBudget::new(retries),
            quota::RetryBudget::new(hedges),
        )
    });
    // Until then, a daemon has the smallest share: it would take the whole limit otherwise.
    if let Some(live) = shared.peers.borrow().known_live(clock::now()) {
        retries.set_peers(live);
        hedges.set_peers(live);
    }
    action(retries, hedges)
}

/// Counts a caller's request to a service.
pub(crate) fn on_request(shared: &Shared, service: &model::ServiceName) {
    let now = clock::now();
    with_budget(shared, service, |retries, hedges| {
        retries.on_request(now);
        hedges.on_request(now);
    });
}

/// Takes a retry from a service's budget. Returns false if none is left.
pub(crate) fn take_retry(shared: &Shared, service: &model::ServiceName) -> bool {
    with_budget(shared, service, |retries, _| {
        retries.try_acquire(clock::now())
    })
}

/// Takes a hedge from a service's budget. Returns false if none is left.
pub(crate) fn take_hedge(shared: &Shared, service: &model::ServiceName) -> bool {
    with_budget(shared, service, |_, hedges| {
        hedges.try_acquire(clock::now())
    })
}
