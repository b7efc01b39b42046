//! Slots of requests that were given up while the target may still run them.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use pistachiomoor::clock::{self, Millis};
use pistachiomoor::target::admission::{Admission, Core, Limits, Offer, Outcome, Refused, Ticket};
use pistachiomoor::target::{cancel, control};
use pistachiomoor::token;

const FAR_DEADLINE: Millis = Millis(1_000_000);
const LIMITS: Limits = Limits {
    concurrency: 1,
    queue: 8,
};

fn admit(core: &mut Core) -> Ticket {
    match core.offer(Millis(0), 0, None, FAR_DEADLINE) {
        Ok(Offer::Admitted(ticket)) => ticket,
        other => panic!("expected admission, found {other:?}"),
    }
}

/// Guards against exceeding the target's limit while a request that was given up
/// still runs, and against a slot that is never freed.
#[test]
fn give_up_keeps_slot_until_settled() {
    type Step = fn(&mut Core, Ticket);
    let steps: [(&str, Step, bool); 9] = [
        ("nothing", |_, _| {}, true),
        (
            "other ticket",
            |core, _| core.settle(Millis(100), Ticket(99)),
            true,
        ),
        ("active", |core, _| core.report(Millis(900), 1, false), true),
        (
            "idle, report too early",
            |core, _| core.report(Millis(249), 0, false),
            true,
        ),
        ("before deadline", |core, _| core.serve(Millis(999)), true),
        ("idle", |core, _| core.report(Millis(250), 0, false), false),
        (
            "cancelled",
            |core, ticket| core.settle(Millis(100), ticket),
            false,
        ),
        ("restarted", |core, _| core.restart(Millis(100)), false),
        ("deadline", |core, _| core.serve(Millis(1_000)), false),
    ];
    for (name, step, occupied) in steps {
        let mut core = Core::new(LIMITS);
        let ticket = admit(&mut core);
        core.give_up(Millis(100), ticket, Millis(1_000));
        core.close();
        core.take_events();
        step(&mut core, ticket);
        assert_eq!(core.running() == 1, occupied, "{name}");
        assert_eq!(
            core.take_events().is_empty(),
            occupied,
            "{name}: idle reported"
        );
        core.open();
        let offer = core.offer(Millis(0), 0, None, FAR_DEADLINE);
        assert_eq!(matches!(offer, Ok(Offer::Queued(_))), occupied, "{name}");
    }
}

/// Guards against freeing the slot of a request that was not given up.
#[test]
fn settle_keeps_running_request() {
    let mut core = Core::new(LIMITS);
    let ticket = admit(&mut core);
    core.settle(Millis(0), ticket);
    core.report(Millis(900), 0, false);
    assert_eq!(core.running(), 1);
    core.finish(Millis(900), ticket, Outcome::Success, Duration::ZERO);
    assert_eq!(core.running(), 0);
}

/// Guards against a worker that still waits for a slot after its request was cancelled.
#[test]
fn enter_ends_when_cancelled() {
    let admission = Admission::new(LIMITS);
    let deadline = clock::now() + 60_000;
    let permit = admission.enter(0, None, deadline).unwrap();
    let token = token::Token::new();
    let refused = thread::scope(|scope| {
        let waiting = scope.spawn(|| admission.enter_unless(&token, 0, None, deadline).err());
        while admission.step(|core, _| core.waiting()) == 0 {
            thread::yield_now();
        }
        token.cancel();
        waiting.join().unwrap()
    });
    assert_eq!(refused, Some(Refused::Cancelled));
    assert_eq!(admission.step(|core, _| core.waiting()), 0);
    permit.finish(Outcome::Success, Duration::ZERO);
}

/// Answers one cancellation per reply on one connection and returns their request lines.
fn serve_cancellations(listener: TcpListener, replies: &'static [&'static str]) -> Vec<String> {
    let (stream, _) = listener.accept().unwrap();
    let mut lines = BufReader::new(&stream).lines();
    let mut paths = Vec::new();
    for reply in replies {
        let head = lines.by_ref().map(Result::unwrap);
        let head: Vec<_> = head.take_while(|line| !line.is_empty()).collect();
        paths.push(head[0].clone());
        let (mut writer, length) = (&stream, reply.len());
        write!(
            writer,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{reply}"
        )
        .unwrap();
    }
    paths
}

/// Guards against freeing a slot while its request may still be in transit, and
/// against keeping it after the target has confirmed the cancellation.
#[test]
fn run_settles_after_confirmation() {
    let cases: [&'static [&'static str]; 2] = [
        &[r#"{"cancelled":1}"#],
        &[r#"{"cancelled":0}"#, r#"{"cancelled":0}"#],
    ];
    for replies in cases {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let admission = Admission::new(LIMITS);
        let deadline = clock::now() + 60_000;
        let permit = admission.enter(0, None, deadline).unwrap();
        let queue = cancel::Queue::default();
        queue.push(cancel::Job {
            target: address,
            request: "r-1".to_owned(),
            unsettled: Some(permit.give_up(deadline)),
        });
        assert_eq!(admission.step(|core, _| core.running()), 1);
        let token = token::Token::new();
        let paths = thread::scope(|scope| {
            scope.spawn(|| queue.run(&control::Client::new(), &token));
            let paths = scope
                .spawn(|| serve_cancellations(listener, replies))
                .join()
                .unwrap();
            admission.step(|core, _| core.close());
            assert_eq!(admission.wait_idle(deadline), 0);
            token.cancel();
            paths
        });
        let path = "POST /control/cancel/r-1 HTTP/1.1".to_owned();
        assert_eq!(paths, vec![path; replies.len()]);
    }
}
