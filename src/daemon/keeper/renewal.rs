//! Decisions on the renewal of a target's grants. All functions are pure.

use crate::clock;
use crate::lease;
use crate::tables::keeper;
use crate::target::{admission, wire};

/// Returns the length of a grant from `now` on, in milliseconds, where the lease
/// allows grants `until` a time.
///
/// It is 0 if the lease allows none, or if the target is lost: its grants must
/// lapse, and the message only reads its clock.
pub fn grant_length(
    until: Result<clock::Millis, lease::Denied>,
    lost: bool,
    now: clock::Millis,
) -> u64 {
    match (until, lost) {
        (Ok(until), false) => until.since(now),
        _ => 0,
    }
}

/// Returns whether the target has the current list of holdings and runs no
/// requests on shards that were dropped from it.
pub fn is_settled(has_list: bool, reply: &wire::Reply) -> bool {
    has_list && reply.running == 0
}

/// Applies the load in a target's reply to its admission. The `first` reply
/// states the requests that the target runs for an earlier lease holder.
pub fn apply_reply(
    core: &mut admission::Core,
    now: clock::Millis,
    reply: &wire::Reply,
    restarted: bool,
    first: bool,
) {
    let cold = reply.state == wire::Condition::Cold;
    if restarted {
        core.restart(now);
    }
    match first {
        true => core.take_over(now, reply.active, !cold, now + keeper::TAKEOVER_LIMIT_MS),
        false => core.report(now, reply.active, cold),
    }
}

/// Applies the loss of a target to its admission. A `silent` target may be
/// frozen, and continue its running requests later.
pub fn apply_loss(core: &mut admission::Core, now: clock::Millis, silent: bool) {
    match silent {
        true => core.cool(),
        false => core.restart(now),
    }
}
