//! Targets of the model: their starts, crashes and links.

use std::sync::atomic::Ordering;

use crate::world::{CRASHES, DOMAINS, Event, INNOCENT_BREAKS, RESETS, Request, TARGETS, World};

/// Time until the list shows a new instance.
const LIST_LAG_MS: u64 = 600;

impl World {
    /// Ends all targets of a failure domain at once.
    pub fn lose_domain(&mut self, domain: usize) {
        for target in (domain..TARGETS).step_by(DOMAINS) {
            self.crash(target);
        }
    }

    /// Resets the connections of a daemon to the targets of a failure domain, which go on,
    /// and refuses further ones for `ms`.
    pub fn reset(&mut self, daemon: usize, domain: usize, ms: u64) {
        for target in (domain..TARGETS).step_by(DOMAINS) {
            self.reset_link(daemon, target, ms);
        }
    }

    fn reset_link(&mut self, daemon: usize, target: usize, ms: u64) {
        let running = std::mem::take(&mut self.targets[target].running);
        let (broken, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|running| running.daemon == daemon);
        self.targets[target].running = rest;
        for running in broken {
            RESETS.fetch_add(1, Ordering::Relaxed);
            // A crashing one goes on: the target runs it to its end in any case.
            if self.crashing && matches!(running.request, Request::Crashing(_)) {
                self.targets[target].running.push(running);
            } else {
                self.at(0, Event::End(target, running, false));
            }
        }
        let until = self.time + ms;
        self.refusing.insert((daemon, target), until);
    }

    fn crash(&mut self, target: usize) {
        if !self.targets[target].up {
            return;
        }
        CRASHES.fetch_add(1, Ordering::Relaxed);
        let down = 2_000 + self.draw(2_000);
        let state = &mut self.targets[target];
        state.up = false;
        state.down_until = self.time + down;
        for running in std::mem::take(&mut state.running) {
            let delay = 1 + self.draw(12);
            if !matches!(running.request, Request::Crashing(_)) {
                INNOCENT_BREAKS.fetch_add(1, Ordering::Relaxed);
            }
            self.at(delay, Event::End(target, running, false));
        }
    }

    pub(super) fn step_targets(&mut self) {
        let time = self.time;
        for index in 0..TARGETS {
            let target = &mut self.targets[index];
            if !target.up && time >= target.down_until {
                (target.up, target.birth) = (true, time);
            }
            if target.up && time >= target.birth + LIST_LAG_MS {
                target.listed = target.birth;
            }
            let ended = target.running.iter().filter(|running| running.ends <= time);
            let ended: Vec<_> = ended.cloned().collect();
            target.running.retain(|running| running.ends > time);
            for running in ended {
                match running.request {
                    Request::Crashing(crashing) if self.crashing => {
                        self.targets[index].running.push(running);
                        self.oracles[crashing].on_crash(time);
                        self.crash(index);
                    }
                    _ if self.targets[index].up => {
                        let delay = 1 + self.draw(3);
                        self.at(delay, Event::End(index, running, true));
                    }
                    _ => {
                        let delay = 1 + self.draw(12);
                        self.at(delay, Event::End(index, running, false));
                    }
                }
            }
        }
    }
}
