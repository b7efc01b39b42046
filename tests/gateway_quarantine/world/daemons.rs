//! Work of the daemons of the model at regular times, and its checks.

use std::sync::atomic::Ordering;

use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::quarantine::Sizes;

use crate::world::{DAEMONS, Event, POPULAR, Request, TARGETS, VERDICTS, World, host, name};

/// Time since the last heartbeat after which a daemon does not count as live.
const LIVE_MS: u64 = 2_500;

/// Largest datagram that is sent.
const MAX_DATAGRAM_BYTES: usize = 1_400;

impl World {
    pub(super) fn step_daemon(&mut self, daemon: usize) {
        let now = self.now(daemon);
        let round = self.time + 7 * daemon as u64;
        if round.is_multiple_of(250) {
            for other in 0..DAEMONS {
                let link = (daemon.min(other), daemon.max(other));
                if other != daemon && self.runs(other) && !self.split.contains(&link) {
                    let (time, lost) = (self.time, self.draw(100) < self.loss);
                    if !lost {
                        self.daemons[daemon].heard[other] = time;
                    }
                }
            }
            let heard = self.daemons[daemon].heard;
            let live = (0..DAEMONS).filter(|other| heard[*other] + LIVE_MS > self.time);
            let live: Vec<_> = live.map(host).collect();
            self.daemons[daemon].quarantine.on_daemons(live, now);
        }
        if round.is_multiple_of(50) {
            let targets = &self.targets;
            let is_current = |instance: &Instance| {
                let target = (0..TARGETS).find(|t| name(*t) == instance.target.as_str());
                targets[target.unwrap()].listed <= instance.birth
            };
            self.daemons[daemon].quarantine.on_list(is_current, now);
        }
        if !round.is_multiple_of(25) {
            return;
        }
        for instance in self.daemons[daemon].quarantine.take_probes(now) {
            let (began, delay) = (self.time, 1 + self.draw(12));
            self.at(delay, Event::Probe(daemon, instance, began));
        }
        for (to, message) in self.daemons[daemon].quarantine.take_messages(now) {
            let bytes = rmp_serde::to_vec(&message).unwrap();
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let other = (0..DAEMONS).find(|other| host(*other) == to).unwrap();
            let link = (daemon.min(other), daemon.max(other));
            if self.split.contains(&link) || self.draw(100) < self.loss {
                continue;
            }
            let late = self.draw(100) < self.late;
            let delay = 1 + self.draw(if late { 1_000 } else { 25 });
            if self.draw(20) == 0 {
                self.at(delay + 300, Event::Datagram(other, bytes.clone()));
            }
            self.at(delay, Event::Datagram(other, bytes));
        }
        self.check(daemon);
    }

    fn check(&mut self, daemon: usize) {
        let time = self.time;
        let quarantine = &mut self.daemons[daemon].quarantine;
        for popular in 0..POPULAR {
            let digest = Request::Popular(popular).digest();
            let held = quarantine.is_quarantined(digest);
            assert!(!held, "popular request {digest} is quarantined at {time}");
        }
        VERDICTS.fetch_add(quarantine.take_events().len() as u64, Ordering::Relaxed);
        let (sizes, max) = (quarantine.sizes(), Sizes::MAX);
        let fits = sizes.answers <= max.answers
            && sizes.breaks <= max.breaks
            && sizes.crashes <= max.crashes
            && sizes.suspects <= max.suspects
            && sizes.verdicts <= max.verdicts
            && sizes.queued <= max.queued;
        assert!(fits, "{sizes:?}");
    }
}
