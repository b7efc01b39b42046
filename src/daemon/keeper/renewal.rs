//! Decisions on a renewal of a target's grants; pure.

use crate::clock;
use crate::lease;
use crate::tables::keeper;
use crate::target::{admission, wire};

/// Returns the time to grant from `now` on, in milliseconds, where the lease
/// allows grants `until`. A lost target's grants must lapse, so that only its
/// clock is read.
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

/// Returns whether the target has the wanted list and runs nothing on the
/// shards that the list dropped.
pub fn is_settled(has_list: bool, reply: &wire::Reply) -> bool {
    has_list && reply.running == 0
}

/// Takes what a target says of its load into its admission. The `first` reply
/// tells what the target runs for an earlier holder.
pub fn take_reply(
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
        true => core.take_over(now, reply.active, !cold, now + keeper::TAKE_OVER),
        false => core.report(now, reply.active, cold),
    }
}

/// Takes the loss of a target into its admission. A `silent` one may be frozen
/// and go on with what it runs.
pub fn take_loss(core: &mut admission::Core, now: clock::Millis, silent: bool) {
    match silent {
        true => core.cool(),
        false => core.restart(now),
    }
}
