//! Callers of the model, and the attempts that daemons make for them.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::quarantine::{Admission, Attempt, Break, Fitness};

use crate::world::{CRASHING, DAEMONS, Event, POPULAR, Request, Running, TARGETS, World, instance};

/// Targets that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// Requests in progress at a target.
const MAX_RUNNING: usize = 10;

impl World {
    /// Chooses a target, and sends a request to it if the daemon admits that.
    pub(super) fn attempt(&mut self, daemon: usize, request: Request, mut tried: Vec<usize>) {
        if !self.serves(daemon) || tried.len() as u32 >= MAX_ATTEMPTS {
            return;
        }
        let digest = request.digest();
        let now = self.now(daemon);
        if self.daemons[daemon]
            .quarantine
            .refusal(digest, now)
            .is_some()
        {
            return self.on_refused(request);
        }
        // One attempt in ten goes to a cold target, if there is one.
        let cold = self.draw(10) == 0;
        let fits = |world: &Self, target: usize| {
            let state = &world.targets[target];
            state.up
                && state.listed == state.birth
                && !tried.contains(&target)
                && state.running.len() < MAX_RUNNING
        };
        let open: Vec<_> = (0..TARGETS).filter(|t| fits(self, *t)).collect();
        let (warm, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|t| self.is_warm(*t));
        let chosen = if cold && !rest.is_empty() { rest } else { warm };
        if chosen.is_empty() {
            return;
        }
        let target = chosen[self.draw(chosen.len() as u64) as usize];
        match self.daemons[daemon].quarantine.admit(digest, now) {
            Admission::Refused(_) => return self.on_refused(request),
            Admission::Open | Admission::Trial => {}
        }
        if let Request::Crashing(index) = request
            && self.crashing
        {
            let time = self.time;
            self.oracles[index].on_send(time);
        }
        tried.push(target);
        let run = 5 + self.draw(75);
        let running = Running {
            request,
            daemon,
            start: self.daemons[daemon].start,
            tried,
            birth: self.targets[target].birth,
            began: self.time,
            ends: self.time + run,
            warm: self.is_warm(target),
        };
        self.targets[target].running.push(running);
    }

    fn on_refused(&self, request: Request) {
        assert!(
            !matches!(request, Request::Popular(_)),
            "a popular request is refused at {}",
            self.time
        );
    }

    pub(super) fn end(&mut self, target: usize, running: Running, answered: bool) {
        let daemon = running.daemon;
        if running.start != self.daemons[daemon].start {
            return;
        }
        let now = self.now(daemon);
        let offset = self.daemons[daemon].offset;
        let digest = running.request.digest();
        let instance = instance(target, running.birth);
        let began = Millis(running.began + offset);
        let quarantine = &mut self.daemons[daemon].quarantine;
        if answered {
            quarantine.on_response(&instance, began);
            quarantine.on_answered(digest, now);
            return;
        }
        let attempt = Attempt {
            digest,
            route: "bookings".into(),
            instance,
            began,
        };
        let end = Break {
            written: true,
            silent: true,
            own: false,
            fitness: match running.warm {
                true => Fitness::Warm,
                false => Fitness::Cold,
            },
        };
        quarantine.on_broken(attempt, end, now);
        if running.request != Request::Crashing(1) {
            self.at(1, Event::Attempt(daemon, running.request, running.tried));
        }
    }

    pub(super) fn step_callers(&mut self) {
        for index in 0..CRASHING {
            if self.time >= self.next_crashing[index] {
                let pause = 1 + self.draw(2 * self.crashing_ms);
                self.next_crashing[index] = self.time + pause;
                let daemon = self.draw(DAEMONS as u64) as usize;
                self.attempt(daemon, Request::Crashing(index), Vec::new());
            }
        }
        for daemon in 0..DAEMONS {
            if self.draw(7) == 0 {
                let popular = self.draw(POPULAR);
                self.attempt(daemon, Request::Popular(popular), Vec::new());
            }
            if self.draw(30) == 0 {
                self.varied += 1;
                self.attempt(daemon, Request::Varied(self.varied), Vec::new());
            }
        }
    }
}
