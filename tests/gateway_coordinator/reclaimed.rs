//! A daemon that was the coordinator before the log was restored, and is it again.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::model;

use super::rig::{Rig, call_of, done, grant_of, ready};

/// Guards against an order of before the restore that is sent in the new term, with a fence
/// below those of lost records.
#[test]
fn may_send_before_restore_new_term() {
    let mut rig = Rig::new(vec![ready("a")]);
    rig.run(10, done);
    let copy = rig.coordinator.table().cloned();
    let mut late = None;
    while late.is_none() {
        rig.now += 1;
        let now = Millis(rig.now);
        for action in rig.coordinator.poll(now, 0) {
            match action {
                coordinator::Action::Read => {
                    let end = model::Offset(rig.end);
                    rig.coordinator.on_unchanged(now, now, end, end);
                }
                order => late = grant_of(&order).map(|_| call_of(&order)),
            }
        }
    }
    let end = model::Offset::new(1, 1).unwrap();
    rig.end = end.0;
    let now = Millis(rig.now);
    rig.coordinator
        .on_record(now, now, model::Offset(0), end, copy);
    rig.run(10, done);
    let now = Millis(rig.now);
    assert!(rig.coordinator.may_act(now), "no new term");
    assert!(!rig.coordinator.may_send(now, late.unwrap()));
}
