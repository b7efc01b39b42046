//! Grants: worst-case expiry, lists of shards, lost and restarted targets.

use std::sync::Arc;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::target::grants::{Failure, Grants, LIST_ONLY, Next, ReplyOutcome};
use pistachiomoor::target::wire;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

type List = Arc<[wire::Holding]>;

/// A list with one shard, whose number identifies the version of the list.
fn list(version: u32) -> List {
    Arc::from([wire::Holding {
        group: wire::group("orders@bkk").unwrap(),
        fence: model::Fence::at(model::Offset(3)),
        shards: [model::Shard::Range(version)].into_iter().collect(),
    }])
}

fn reply(clock: u64) -> wire::Reply {
    wire::Reply {
        clock,
        running: 0,
        active: 0,
        queued: 0,
        state: wire::Condition::Warm,
    }
}

/// One control call: its input, the expected message, the reply and the expected outcome.
struct Call {
    at: u64,
    length: u64,
    version: u32,
    valid_until: u64,
    has_list: bool,
    /// Clock reading in the target's reply, and the expected outcome.
    reply: (u64, ReplyOutcome),
    lapsed_at: u64,
}

const fn call(at: u64, length: u64, version: u32, sent: (u64, bool), clock: u64) -> Call {
    let outcome = ReplyOutcome {
        restarted: false,
        clock_lag_ms: 0,
        confirmed: true,
        again: sent.0 <= LIST_ONLY,
    };
    Call {
        at,
        length,
        version,
        valid_until: sent.0,
        has_list: sent.1,
        reply: (clock, outcome),
        lapsed_at: 0,
    }
}

fn with_lost_list(mut call: Call, restarted: bool, clock_lag_ms: u64) -> Call {
    let outcome = &mut call.reply.1;
    (outcome.restarted, outcome.clock_lag_ms) = (restarted, clock_lag_ms);
    (outcome.confirmed, outcome.again) = (false, true);
    call
}

fn with_expiry(lapsed_at: u64, call: Call) -> Call {
    Call { lapsed_at, ..call }
}

/// Grants whose list was confirmed at time 100 with a clock reading of 5,000.
fn confirmed_grants() -> Grants {
    let mut grants = Grants::new(model::Offset(7));
    run(&mut grants, [call(100, 450, 0, (LIST_ONLY, true), 5_000)]);
    grants
}

fn run(grants: &mut Grants, calls: impl IntoIterator<Item = Call>) {
    for call in calls {
        let now = Millis(call.at);
        let message = grants.prepare(now, call.length, &list(call.version));
        let message = message.unwrap();
        let sent = (message.valid_until, message.shards.is_some());
        assert_eq!(sent, (call.valid_until, call.has_list), "at {now:?}");
        let (clock, outcome) = call.reply;
        assert_eq!(grants.on_reply(now, &reply(clock)), outcome, "at {now:?}");
        assert_eq!(grants.lapsed_at(), Millis(call.lapsed_at), "at {now:?}");
    }
}

#[test]
fn prepare_sends_list_when_changed() {
    let calls = [
        with_expiry(580, call(130, 450, 0, (5_480, false), 5_030)),
        with_expiry(580, call(200, 450, 1, (LIST_ONLY, true), 5_100)),
        with_expiry(650, call(200, 450, 1, (5_550, false), 5_100)),
    ];
    run(&mut confirmed_grants(), calls);
}

#[test]
fn prepare_without_lease_or_fresh_clock_grants_nothing() {
    let calls = [
        call(130, 0, 1, (0, false), 5_030),
        call(1_131, 450, 0, (0, false), 6_031),
    ];
    run(&mut confirmed_grants(), calls);
}

#[test]
fn prepare_late_list_is_fenced_off() {
    let mut grants = confirmed_grants();
    let late = grants.prepare(Millis(200), 450, &list(1)).unwrap();
    grants.on_failure(Millis(350), Failure::TimedOut);
    let next = grants.prepare(Millis(350), 450, &list(2)).unwrap();
    assert!(model::Fence::from(next.fence) > model::Fence::from(late.fence));
    assert_eq!(grants.fence(), next.fence.into());
}

#[test]
fn on_reply_restarted_target_gets_list_again() {
    let calls = [
        with_expiry(
            650,
            with_lost_list(call(200, 450, 0, (5_550, false), 12), true, 0),
        ),
        with_expiry(650, call(200, 450, 0, (LIST_ONLY, true), 12)),
        with_expiry(750, call(300, 450, 0, (562, false), 112)),
    ];
    run(&mut confirmed_grants(), calls);
}

#[test]
fn on_reply_clock_lag_extends_expiry() {
    let lagging = with_lost_list(call(300, 450, 0, (5_650, false), 5_050), false, 150);
    run(&mut confirmed_grants(), [with_expiry(900, lagging)]);
}

#[test]
fn on_failure_refused_rereads_clock() {
    let mut grants = confirmed_grants();
    grants.on_failure(Millis(200), Failure::Refused);
    let mut reread = call(250, 450, 0, (LIST_ONLY, true), 3);
    reread.reply.1.restarted = true;
    run(&mut grants, [reread]);
}

#[test]
fn on_conflict_stops_holder() {
    let mut grants = confirmed_grants();
    grants.prepare(Millis(200), 450, &list(0)).unwrap();
    let highest = wire::Fence { offset: 9, step: 0 };
    grants.on_conflict(&wire::Conflict { clock: 1, highest });
    let stopped = grants.prepare(Millis(300), 450, &list(0)).unwrap_err();
    assert_eq!(stopped.0, model::Fence::at(model::Offset(9)));
}

#[test]
fn on_failure_table() {
    use Failure::{Answer, Refused, TimedOut};
    let retry = |at| Next::RetryAt(Millis(at));
    let cases: [(&[(u64, Failure)], Next); 8] = [
        (&[(100, Refused)], retry(150)),
        (&[(100, Refused), (149, Refused)], retry(150)),
        (&[(100, Refused), (150, Refused)], Next::Lost),
        (&[(100, TimedOut)], retry(100)),
        (&[(100, TimedOut), (250, TimedOut)], Next::Lost),
        (&[(100, TimedOut), (101, Refused)], retry(150)),
        (&[(100, Answer), (300, Answer), (500, Answer)], retry(700)),
        (&[(100, Refused), (150, Answer), (350, Refused)], retry(400)),
    ];
    for (failures, expected) in cases {
        let mut grants = confirmed_grants();
        let steps = failures.iter();
        let next = steps.map(|&(at, failure)| grants.on_failure(Millis(at), failure));
        assert_eq!(next.last(), Some(expected), "{failures:?}");
    }
}

#[test]
fn on_failure_reply_resets_count() {
    let mut grants = confirmed_grants();
    grants.on_failure(Millis(100), Failure::TimedOut);
    grants.prepare(Millis(200), 450, &list(0)).unwrap();
    grants.on_reply(Millis(200), &reply(5_100));
    let next = grants.on_failure(Millis(400), Failure::TimedOut);
    assert_eq!(next, Next::RetryAt(Millis(400)));
}

#[test]
fn holding_wire_round_trip() {
    let holding = &list(5)[0];
    let wire = wire::Shards::from(holding);
    assert_eq!(wire.group, "orders@bkk");
    assert_eq!(wire::Holding::try_from(wire).as_ref(), Ok(holding));
}

#[test]
fn holding_malformed_is_rejected() {
    for (group, ranges) in [
        ("", vec![]),
        ("a@", vec![]),
        ("a", vec![(2, 1)]),
        ("a", vec![(0, 4), (4, 5)]),
    ] {
        let shards = wire::Shards {
            group: group.to_owned(),
            fence: wire::Fence { offset: 1, step: 0 },
            ranges,
            pinned: vec![],
        };
        assert!(wire::Holding::try_from(shards).is_err(), "{group:?}");
    }
}

/// One step of a random schedule between a holder and a target.
#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Send { length: u64, change: bool },
    Deliver { which: usize, replies: bool },
    TimeOut,
    PauseClock,
    ResumeClock,
    Restart { connecting: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u64..300).prop_map(Step::Pass),
        6 => (0_u64..=450, any::<bool>())
            .prop_map(|(length, change)| Step::Send { length, change }),
        9 => (0_usize..3, prop::bool::weighted(0.8))
            .prop_map(|(which, replies)| Step::Deliver { which, replies }),
        1 => Just(Step::TimeOut),
        1 => Just(Step::PauseClock),
        2 => Just(Step::ResumeClock),
        1 => any::<bool>().prop_map(|connecting| Step::Restart { connecting }),
    ]
}

/// Model of a target and the network between it and its holder, in the holder's time.
struct Model {
    now: Millis,
    clock: u64,
    paused: bool,
    /// Time for which the clock was paused since the holder's last reading, in milliseconds.
    clock_lag: u64,
    highest: wire::Fence,
    valid_until: u64,
    shards: Option<u32>,
    in_flight: Vec<wire::Message>,
    grants: Grants,
    version: u32,
    waiting: bool,
    latest_expiry: Millis,
    confirmed: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            now: Millis(10_000),
            clock: 600,
            paused: false,
            clock_lag: 0,
            highest: wire::Fence { offset: 0, step: 0 },
            valid_until: 0,
            shards: None,
            in_flight: Vec::new(),
            grants: Grants::new(model::Offset(7)),
            version: 0,
            waiting: false,
            latest_expiry: Millis(0),
            confirmed: 0,
        }
    }

    fn act(&mut self, step: &Step) {
        match *step {
            Step::Pass(millis) => self.pass(millis),
            Step::Send { length, change } => self.send(length, change),
            Step::Deliver { which, replies } => self.deliver(which, replies),
            Step::TimeOut => {
                self.waiting = false;
                self.grants.on_failure(self.now, Failure::TimedOut);
            }
            Step::PauseClock => self.paused = true,
            Step::ResumeClock => self.paused = false,
            Step::Restart { connecting } => self.restart(connecting),
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + 1;
            self.clock += u64::from(!self.paused);
            self.clock_lag += u64::from(self.paused);
            self.check();
        }
    }

    fn send(&mut self, length: u64, change: bool) {
        self.version += u32::from(change);
        let list = list(self.version);
        let message = self.grants.prepare(self.now, length, &list).unwrap();
        if message.valid_until > LIST_ONLY {
            self.latest_expiry = self.latest_expiry.max(self.now + length);
        }
        self.in_flight.insert(0, message);
        self.waiting = true;
    }

    /// Delivers the message at index `which`; 0 is the newest. Only the newest can
    /// still have a caller that waits for the reply.
    fn deliver(&mut self, which: usize, replies: bool) {
        if which >= self.in_flight.len() {
            return;
        }
        let message = self.in_flight.remove(which);
        let waiting = which == 0 && std::mem::take(&mut self.waiting);
        let key = |fence: wire::Fence| (fence.offset, fence.step);
        if key(message.fence) < key(self.highest) {
            return;
        }
        self.highest = message.fence;
        if message.valid_until > 0 {
            self.valid_until = message.valid_until;
            let list = message.shards.as_ref();
            self.shards = list.map_or(self.shards, |list| Some(list[0].ranges[0].0));
        }
        if waiting && replies {
            self.clock_lag = 0;
            let outcome = self.grants.on_reply(self.now, &reply(self.clock));
            if outcome.confirmed {
                self.confirmed = self.version;
            }
        }
        self.check();
    }

    /// Replaces the target's process. Of the messages in transit, only one that is
    /// still connecting reaches the new process.
    fn restart(&mut self, connecting: bool) {
        let keep = connecting && self.waiting && !self.in_flight.is_empty();
        self.in_flight.truncate(usize::from(keep));
        // No process serves within the first millisecond of its clock.
        (self.clock, self.paused) = (1, false);
        (self.valid_until, self.shards) = (0, None);
        self.highest = wire::Fence { offset: 0, step: 0 };
    }

    fn check(&self) {
        let Some(shards) = self.shards else { return };
        if self.clock >= self.valid_until {
            return;
        }
        let bound = self.grants.lapsed_at() + self.clock_lag;
        assert!(
            self.now < bound,
            "answers at {:?}, bound {bound:?}",
            self.now
        );
        assert!(shards >= self.confirmed, "an outdated list was restored");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(0x6772_616e_7473),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a grant that outlasts `lapsed_at` because of a delayed
    /// message, a paused clock or a restart of the target, and against a delayed
    /// list that restores dropped shards.
    #[test]
    fn lapsed_at_bounds_every_grant(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in &steps {
            model.act(step);
        }
    }

    /// Guards against a bound that is later than necessary: without clock pauses
    /// and restarts, it is at most the end of the longest grant plus the delay of
    /// the last reply.
    #[test]
    fn lapsed_at_is_tight(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        let (mut sent, mut reply_delay) = (model.now, 0);
        for step in steps {
            if matches!(step, Step::PauseClock | Step::Restart { .. }) {
                continue;
            }
            if matches!(step, Step::Send { .. }) {
                sent = model.now;
            }
            if matches!(step, Step::Deliver { replies: true, .. }) {
                reply_delay = model.now.since(sent);
            }
            model.act(&step);
            prop_assert!(model.grants.lapsed_at() <= model.latest_expiry + reply_delay);
        }
    }
}
