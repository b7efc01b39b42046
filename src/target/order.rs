//! The holder's checks of a request, on admission and again before its first byte is sent.
//!
//! All functions are pure: state and facts are arguments.

use crate::lease;
use crate::model;
use crate::state;

/// Routing of one request, as its sender decided.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Target to which the request goes.
    pub target: &'a model::TargetName,
    /// Placement group, which carries the request's home regions.
    pub group: &'a model::GroupId,
    /// Shard by which the sender chose the target; `None` for shared services.
    pub shard: Option<model::Shard>,
}

/// Input of the checks besides the state.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Hash of the request's key, if it has one. The outer `None` means that the
    /// binding of the route or tenant has changed since the sender's decision.
    pub resolved: Option<Option<model::KeyHash>>,
    /// Whether the target is within its grace period, in which it serves keys it
    /// owns although it takes no new work.
    pub in_grace: bool,
    /// Whether and how long this daemon's lease lets it act for the target.
    pub right: Result<lease::Right, lease::Denied>,
}

/// Reason why a request must not be sent. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The target takes no new work.
    OutOfWork,
    /// The target is outside the request's home regions.
    WrongRegion,
    /// The binding of the route or tenant has changed.
    Rebound,
    /// The target does not own the key under the shard that the sender named.
    NotOwner,
    /// This daemon's lease does not let it act for the target.
    NoRight(lease::Denied),
}

/// Checks everything that can have changed since the sender's decision, and
/// returns the hash of the request's key, if it has one.
///
/// # Errors
/// Returns the first reason found why the request must not be sent.
pub fn check(
    state: &state::State,
    order: &Order<'_>,
    facts: &Facts,
) -> Result<Option<model::KeyHash>, Refused> {
    let grace_applies = order.shard.is_some() && facts.in_grace;
    if !state.takes_work(order.target) && !grace_applies {
        return Err(Refused::OutOfWork);
    }
    let target = state.config.targets.get(order.target);
    if !target.is_some_and(|target| state.in_regions(target, &order.group.regions)) {
        return Err(Refused::WrongRegion);
    }
    let key = facts.resolved.ok_or(Refused::Rebound)?;
    if !is_owner(state, order, key) {
        return Err(Refused::NotOwner);
    }
    facts.right.map_err(Refused::NoRight)?;
    Ok(key)
}

/// Returns whether the target owns the request's key under the shard that the
/// sender named: a key that was pinned since is owned under another shard.
///
/// A request without a key passes if the sender named no shard.
pub fn is_owner(state: &state::State, order: &Order<'_>, key: Option<model::KeyHash>) -> bool {
    let Some(key) = key else {
        return order.shard.is_none();
    };
    let owner = state.owner(order.group, key);
    owner.is_some_and(|(shard, owner)| Some(shard) == order.shard && owner.target == *order.target)
}

/// Returns whether the first byte of an admitted request may be written now.
///
/// `withdrawn` says whether the shard is excluded from the target's grants
/// because it is moving away. `remaining` is the request's remaining time in
/// milliseconds; for keyed services the lease must cover all of it.
pub fn may_write(
    state: &state::State,
    order: &Order<'_>,
    key: Option<model::KeyHash>,
    withdrawn: bool,
    right: Result<lease::Right, lease::Denied>,
    remaining: u64,
) -> bool {
    let covers = |right: lease::Right| order.shard.is_none() || remaining <= right.span;
    !withdrawn && is_owner(state, order, key) && right.is_ok_and(covers)
}
