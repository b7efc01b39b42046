//! One daemon, and the attempts and crashes that it sees.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::quarantine::{Attempt, Break, Digest, Fitness, Quarantine, Rules};

pub const RULES: Rules = Rules {
    crashes: 3,
    hold_ms: 600_000,
};

pub const CRASHED: Break = Break {
    written: true,
    silent: true,
    own: false,
    fitness: Fitness::Warm,
};

/// Time at which the daemons of the plain tests start, in milliseconds.
const START: u64 = 10_000_000;

/// Digest of the request that crashes targets.
pub const CRASHING: Digest = Digest(0xdead);

pub fn at(ms: u64) -> Millis {
    Millis(START + ms)
}

pub fn instance(number: u64) -> Instance {
    Instance {
        target: format!("t{number}").as_str().into(),
        birth: number,
    }
}

pub fn attempt(digest: Digest, number: u64, began: u64) -> Attempt {
    Attempt {
        digest,
        route: "bookings".into(),
        instance: instance(number),
        began: at(began),
    }
}

pub fn alone(rules: Rules) -> Quarantine {
    Quarantine::new("h0".into(), rules, at(0))
}

/// Crashes an instance by an attempt from `began` to `ended`, proven 20 ms later.
pub fn crash(quarantine: &mut Quarantine, digest: Digest, number: u64, began: u64, ended: u64) {
    quarantine.on_broken(attempt(digest, number, began), CRASHED, at(ended));
    quarantine.on_refused(&instance(number), at(ended + 20), at(ended + 21));
}

/// Returns a daemon that refuses the request since 1,000 ms, by three crashes until 300 ms.
pub fn quarantined() -> Quarantine {
    let mut quarantine = alone(RULES);
    for number in 1..=3 {
        crash(
            &mut quarantine,
            CRASHING,
            number,
            100 * number - 50,
            100 * number,
        );
    }
    quarantine.take_messages(at(1_000));
    assert!(quarantine.is_quarantined(CRASHING));
    quarantine
}
