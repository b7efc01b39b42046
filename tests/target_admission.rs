//! Admission control: concurrency limit, slow start, fairness, blocked shards, permits.

use std::collections::HashMap;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use pistachiomoor::clock::{self, Millis};
use pistachiomoor::model;
use pistachiomoor::target::admission::{
    Admission, Core, Event, Limits, Offer, Outcome, Place, Refused, Ticket,
};

const FAR_DEADLINE: Millis = Millis(1_000_000);
const RESPONSE_TIME: Duration = Duration::from_millis(10);

fn limits(concurrency: u32, queue: usize) -> Limits {
    Limits { concurrency, queue }
}

fn group() -> model::GroupId {
    model::GroupId {
        service: "orders".into(),
        regions: vec![],
    }
}

fn place(home: u32) -> Option<Place> {
    Some(Place {
        group: Arc::new(group()),
        shard: model::Shard::Range(home),
        key: model::KeyHash(u64::from(home)),
        home,
    })
}

/// Returns the place of a pinned key whose hash shard is `home`.
fn pinned_place(home: u32) -> Option<Place> {
    let place = place(home)?;
    let shard = model::Shard::Pinned(place.key);
    Some(Place { shard, ..place })
}

fn shards(shards: &[u32]) -> model::ShardSet {
    shards.iter().copied().map(model::Shard::Range).collect()
}

/// Offers a request and returns its ticket; fails unless it is admitted at once.
fn admit(core: &mut Core, place: Option<Place>) -> Ticket {
    match core.offer(Millis(0), 0, place, FAR_DEADLINE) {
        Ok(Offer::Admitted(ticket)) => ticket,
        other => panic!("expected admission, found {other:?}"),
    }
}

/// Offers a request and returns its ticket; fails unless it is queued.
fn queue(core: &mut Core, tenant: u64, place: Option<Place>) -> Ticket {
    match core.offer(Millis(0), tenant, place, FAR_DEADLINE) {
        Ok(Offer::Queued(ticket)) => ticket,
        other => panic!("expected a queued request, found {other:?}"),
    }
}

fn succeed(core: &mut Core, requests: u32) {
    for _ in 0..requests {
        let ticket = admit(core, None);
        core.finish(Millis(0), ticket, Outcome::Success, RESPONSE_TIME);
    }
}

#[test]
fn limit_cold_doubles_after_successes() {
    let mut core = Core::new(limits(4, 8));
    let limits = [0, 3, 1, 4, 4].map(|requests| {
        succeed(&mut core, requests);
        core.limit()
    });
    assert_eq!(limits, [1, 1, 2, 4, 4]);
}

#[test]
fn limit_resets_at_each_signal() {
    let signals: [fn(&mut Core, Ticket); 6] = [
        |core, ticket| core.finish(Millis(0), ticket, Outcome::Shed, RESPONSE_TIME),
        |core, ticket| core.finish(Millis(0), ticket, Outcome::Cold, RESPONSE_TIME),
        |core, ticket| core.finish(Millis(0), ticket, Outcome::Refused, RESPONSE_TIME),
        |core, _| core.report(Millis(0), 1, true),
        |core, _| core.restart(Millis(0)),
        |core, _| core.take_over(Millis(0), 0, false, FAR_DEADLINE),
    ];
    for (index, signal) in signals.iter().enumerate() {
        let mut core = Core::new(limits(4, 8));
        succeed(&mut core, 8);
        assert_eq!(core.limit(), 4);
        let ticket = admit(&mut core, None);
        signal(&mut core, ticket);
        assert_eq!(core.limit(), 1, "signal {index}");
    }
}

#[test]
fn limit_ignores_successes_from_before_reset() {
    let mut core = Core::new(limits(2, 8));
    succeed(&mut core, 2);
    let earlier = [admit(&mut core, None), admit(&mut core, None)];
    core.cool();
    for ticket in earlier {
        core.finish(Millis(0), ticket, Outcome::Success, RESPONSE_TIME);
    }
    assert_eq!(core.limit(), 1);
}

#[test]
fn take_over_requests_expire_at_bound() {
    let mut core = Core::new(limits(4, 8));
    core.take_over(Millis(0), 3, false, Millis(9_000));
    queue(&mut core, 0, None);
    core.serve(Millis(8_999));
    assert_eq!(core.running(), 0);
    core.serve(Millis(9_000));
    assert_eq!(core.running(), 1);
}

#[test]
fn take_over_warm_target_allows_one_more() {
    let mut core = Core::new(limits(4, 8));
    core.take_over(Millis(0), 3, true, Millis(9_000));
    admit(&mut core, None);
    queue(&mut core, 0, None);
    core.take_over(Millis(0), 4, true, Millis(9_000));
    assert_eq!(core.limit(), 4);
}

#[test]
fn offer_full_queue_evicts_for_other_tenant() {
    let mut core = Core::new(limits(1, 4));
    admit(&mut core, None);
    let flood: Vec<Ticket> = (0..4).map(|_| queue(&mut core, 1, None)).collect();
    let more = core.offer(Millis(0), 1, None, FAR_DEADLINE);
    assert_eq!(more, Err(Refused::QueueFull));
    queue(&mut core, 2, None);
    let evicted = Event::Refused(flood[3], Refused::QueueFull);
    assert_eq!(core.take_events(), [evicted]);
    assert_eq!(core.waiting(), 4);
}

#[test]
fn offer_refuses_wait_beyond_deadline() {
    let mut core = Core::new(limits(1, 64));
    succeed(&mut core, 1);
    admit(&mut core, None);
    for _ in 0..3 {
        queue(&mut core, 1, None);
    }
    let mut offer = |tenant, deadline| core.offer(Millis(0), tenant, None, Millis(deadline));
    let after_ms = 40;
    assert_eq!(offer(1, 39), Err(Refused::Overloaded { after_ms }));
    // A request of another tenant waits for only one of them.
    assert!(offer(2, 39).is_ok());
    // The fifth waits 50 ms: at most three quarters of the deadline minus a run of 10 ms.
    let after_ms = 50;
    assert_eq!(offer(1, 76), Err(Refused::Overloaded { after_ms }));
    assert!(offer(1, 77).is_ok());
    assert_eq!(offer(3, 0), Err(Refused::Deadline));
}

#[test]
fn serve_refuses_request_past_deadline() {
    let mut core = Core::new(limits(1, 8));
    let running = admit(&mut core, None);
    let Ok(Offer::Queued(late)) = core.offer(Millis(0), 0, None, Millis(20)) else {
        panic!("expected a queued request");
    };
    core.finish(Millis(20), running, Outcome::Success, RESPONSE_TIME);
    let refused = Event::Refused(late, Refused::Deadline);
    assert_eq!(core.take_events(), [refused]);
    assert_eq!(core.running(), 0);
}

#[test]
fn block_refuses_and_drains() {
    let mut core = Core::new(limits(1, 8));
    let running = admit(&mut core, place(5));
    core.tag(running, "r1".into());
    let waiting = queue(&mut core, 0, place(6));
    let block = core.block(&group(), &shards(&[4, 5, 6]));
    let refused = Event::Refused(waiting, Refused::Moving);
    assert_eq!(core.take_events(), [refused]);
    assert_eq!(core.running_in(block), 1);
    assert_eq!(core.tags(Some(block)), ["r1".into()]);
    let again = core.offer(Millis(0), 0, place(4), FAR_DEADLINE);
    assert_eq!(again, Err(Refused::Moving));
    queue(&mut core, 0, place(7));
    core.finish(Millis(0), running, Outcome::Success, RESPONSE_TIME);
    assert!(core.take_events().contains(&Event::Drained(block)));
    core.unblock(block);
    assert!(core.offer(Millis(0), 0, place(4), FAR_DEADLINE).is_ok());
}

/// Guards against moving a key while a request on it still runs under the shard
/// that the key had before it was pinned or unpinned.
#[test]
fn block_drains_key_under_other_shard() {
    let key = model::Shard::Pinned(model::KeyHash(5));
    let cases = [
        (place(5), key, 1),
        (place(6), key, 0),
        (pinned_place(5), model::Shard::Range(5), 1),
        (pinned_place(5), model::Shard::Range(6), 0),
    ];
    for (run, moving, expected) in cases {
        let mut core = Core::new(limits(1, 8));
        let ticket = admit(&mut core, run.clone());
        core.tag(ticket, "r1".into());
        let block = core.block(&group(), &[moving].into_iter().collect());
        assert_eq!(core.running_in(block), expected, "{run:?} in {moving}");
        assert_eq!(core.tags(Some(block)).len(), expected);
        core.take_events();
        core.finish(Millis(0), ticket, Outcome::Success, RESPONSE_TIME);
        let drained = core.take_events().contains(&Event::Drained(block));
        assert_eq!(drained, expected == 1, "{run:?} in {moving}");
    }
}

/// Guards against refusing requests on a pinned key, or waiting for them, while
/// only the key's hash shard moves.
#[test]
fn block_admits_key_under_other_shard() {
    let mut core = Core::new(limits(1, 8));
    let block = core.block(&group(), &shards(&[5]));
    admit(&mut core, pinned_place(5));
    assert_eq!(core.running_in(block), 0);
}

#[test]
fn close_refuses_and_reports_idle() {
    let mut core = Core::new(limits(1, 8));
    let running = admit(&mut core, None);
    let waiting = queue(&mut core, 0, None);
    core.close();
    let refused = Event::Refused(waiting, Refused::Closed);
    assert_eq!(core.take_events(), [refused]);
    assert_eq!(
        core.offer(Millis(0), 0, None, FAR_DEADLINE),
        Err(Refused::Closed)
    );
    core.finish(Millis(0), running, Outcome::Success, RESPONSE_TIME);
    assert_eq!(core.take_events(), [Event::Idle]);
}

#[test]
fn enter_permit_is_freed_by_drop_and_panic() {
    let admission = Admission::new(limits(1, 8));
    let deadline = clock::now() + 60_000;
    drop(admission.enter(0, None, deadline).unwrap());
    let caught = panic::catch_unwind(AssertUnwindSafe(|| {
        let _permit = admission.enter(0, None, deadline).unwrap();
        panic::resume_unwind(Box::new("worker failed"));
    }));
    assert!(caught.is_err());
    assert_eq!(admission.step(|core, _| core.running()), 0);
}

#[test]
fn enter_waits_at_most_until_deadline() {
    let admission = Admission::new(limits(1, 8));
    let permit = admission.enter(0, None, clock::now() + 60_000).unwrap();
    let refused = admission.enter(0, None, clock::now() + 5).err();
    assert_eq!(refused, Some(Refused::Deadline));
    assert_eq!(admission.step(|core, _| core.waiting()), 0);
    permit.finish(Outcome::Success, RESPONSE_TIME);
}

#[test]
fn enter_threads_stay_within_limit() {
    let admission = Admission::new(limits(2, 64));
    let deadline = clock::now() + 60_000;
    let work = |tenant| {
        for _ in 0..200 {
            let permit = admission.enter(tenant, place(1), deadline).unwrap();
            let running = admission.step(|core, _| core.running());
            assert!(running <= 2, "{running} run");
            permit.finish(Outcome::Success, Duration::ZERO);
        }
    };
    std::thread::scope(|scope| {
        for tenant in 0..8 {
            scope.spawn(move || work(tenant));
        }
    });
    let block = admission.block(&group(), &shards(&[1]));
    assert_eq!(admission.wait_drained(block, deadline), 0);
    admission.step(|core, _| core.close());
    assert_eq!(admission.wait_idle(deadline), 0);
}

/// Simulated load on one target in virtual time. Requests are cancelled at their deadline.
struct LoadModel {
    core: Core,
    random: u64,
    deadlines: HashMap<Ticket, Millis>,
    /// End, start and ticket of each running request.
    runs: Vec<(Millis, Millis, Ticket)>,
    timely: u32,
}

impl LoadModel {
    /// Returns an exponentially distributed number from a xorshift generator.
    fn exponential(&mut self, mean: f64) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        -mean * (1.0 - (self.random >> 11) as f64 / (1_u64 << 53) as f64).ln()
    }

    fn start(&mut self, now: Millis, ticket: Ticket) {
        let service = 8 + self.exponential(2.0) as u64;
        let end = (now + service).min(self.deadlines[&ticket]);
        self.runs.push((end, now, ticket));
    }

    fn finish_until(&mut self, now: Millis) {
        while let Some(&(end, start, ticket)) = self.runs.iter().min()
            && end <= now
        {
            self.runs.retain(|run| run.2 != ticket);
            let in_time = end < self.deadlines[&ticket];
            self.timely += u32::from(in_time);
            let outcome = match in_time {
                true => Outcome::Success,
                false => Outcome::Failed,
            };
            let elapsed = Duration::from_millis(end.since(start));
            self.core.finish(end, ticket, outcome, elapsed);
            for event in self.core.take_events() {
                if let Event::Admitted(ticket) = event {
                    self.start(end, ticket);
                }
            }
        }
    }
}

/// Returns the number of requests that end before their deadline within 20 s,
/// offered at `rate` per millisecond to a target with four slots.
fn count_timely(rate: f64) -> u32 {
    let mut load = LoadModel {
        core: Core::new(limits(4, 1_000)),
        random: 0x9e37_79b9_7f4a_7c15,
        deadlines: HashMap::new(),
        runs: Vec::new(),
        timely: 0,
    };
    let mut time = 0.0;
    while time < 20_000.0 {
        time += load.exponential(1.0 / rate);
        let now = Millis(time as u64);
        load.finish_until(now);
        let deadline = now + 200;
        let (ticket, admitted) = match load.core.offer(now, 0, None, deadline) {
            Ok(Offer::Admitted(ticket)) => (ticket, true),
            Ok(Offer::Queued(ticket)) => (ticket, false),
            Err(_) => continue,
        };
        load.deadlines.insert(ticket, deadline);
        if admitted {
            load.start(now, ticket);
        }
    }
    load.timely
}

/// Guards against admitting requests too late to end before their deadline.
#[test]
fn offer_keeps_goodput_under_overload() {
    let timely = [0.5, 1.0, 2.0].map(|offered| count_timely(offered * 0.4));
    let largest = *timely.iter().max().expect("three loads");
    assert!(
        f64::from(timely[2]) >= 0.9 * f64::from(largest),
        "{timely:?}"
    );
}

/// Guards against an estimate above all deadlines, which would refuse every
/// request and thus never be corrected.
#[test]
fn offer_admits_to_free_slot_despite_estimate() {
    let mut core = Core::new(limits(1, 8));
    let slow = admit(&mut core, None);
    core.finish(Millis(0), slow, Outcome::Success, Duration::from_secs(5));
    let offer = |core: &mut Core| core.offer(Millis(0), 0, None, Millis(100));
    assert!(matches!(offer(&mut core), Ok(Offer::Admitted(_))));
    assert!(matches!(offer(&mut core), Err(Refused::Overloaded { .. })));
}

/// Guards against admitting a waiting request that can't end before its deadline,
/// while others wait.
#[test]
fn serve_refuses_request_that_cannot_end_in_time() {
    let mut core = Core::new(limits(1, 8));
    succeed(&mut core, 1);
    let running = admit(&mut core, None);
    let offers = [30, 100].map(|deadline| core.offer(Millis(0), 0, None, Millis(deadline)));
    let [Ok(Offer::Queued(short)), Ok(Offer::Queued(long))] = offers else {
        panic!("expected places in the queue, found {offers:?}");
    };
    core.finish(Millis(21), running, Outcome::Success, RESPONSE_TIME);
    let refused = Event::Refused(short, Refused::Overloaded { after_ms: 20 });
    let events = core.take_events();
    assert_eq!(events, [refused, Event::Admitted(long)]);
}
