//! Good and total requests of each service in buckets of time, in memory.

use std::collections::{BTreeMap, VecDeque};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::model;

/// Width of a fine bucket, in milliseconds.
const FINE: u64 = 10_000;
/// Fine buckets kept: the last hour, and the one that is not complete yet.
const FINE_KEPT: u64 = 361;
/// Width of a coarse bucket, in milliseconds.
const COARSE: u64 = 300_000;
/// Coarse buckets kept: the last 3 days, and the one that is not complete yet.
const COARSE_KEPT: u64 = 865;

/// Good and total requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered within the service's time.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Returns the share of requests that were not good; 0 without requests.
    pub fn bad_share(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (self.total - self.good.min(self.total)) as f64 / self.total as f64
    }
}

/// Counts by age: clocks of different hosts can't be compared, ages can.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Width of a bucket, in milliseconds.
    pub width: u64,
    /// Counts, the newest bucket first; it is not complete yet.
    pub buckets: Vec<Counts>,
}

impl Series {
    /// Returns the counts of the last `window` milliseconds, and of the
    /// newest bucket, which is not complete yet.
    pub fn sum(&self, window: u64) -> Counts {
        let count = (window / self.width) as usize + 1;
        let mut sum = Counts::default();
        for bucket in self.buckets.iter().take(count) {
            sum.add(*bucket);
        }
        sum
    }

    /// Adds the counts of another daemon, bucket by bucket of the same age.
    pub fn merge(&mut self, other: &Self) {
        if other.width != self.width {
            return;
        }
        let length = self.buckets.len().max(other.buckets.len());
        self.buckets.resize(length, Counts::default());
        for (bucket, more) in self.buckets.iter_mut().zip(&other.buckets) {
            bucket.add(*more);
        }
    }
}

/// Buckets of one width, oldest first, each with the number of its time.
#[derive(Debug)]
struct Buckets {
    width: u64,
    kept: u64,
    filled: VecDeque<(u64, Counts)>,
}

impl Buckets {
    fn new(width: u64, kept: u64) -> Self {
        Self {
            width,
            kept,
            filled: VecDeque::new(),
        }
    }

    fn add(&mut self, now: clock::Millis, counts: Counts) {
        let number = now.0 / self.width;
        match self.filled.back_mut() {
            // A request that ended earlier may be counted later.
            Some((last, bucket)) if *last >= number => bucket.add(counts),
            _ => self.filled.push_back((number, counts)),
        }
        while self
            .filled
            .front()
            .is_some_and(|(first, _)| first + self.kept <= number)
        {
            self.filled.pop_front();
        }
    }

    fn series(&self, now: clock::Millis) -> Series {
        let number = now.0 / self.width;
        let mut buckets = Vec::new();
        for (at, counts) in self.filled.iter().rev() {
            let age = number.saturating_sub(*at);
            if age >= self.kept {
                break;
            }
            buckets.resize((age as usize + 1).max(buckets.len()), Counts::default());
            buckets[age as usize].add(*counts);
        }
        Series {
            width: self.width,
            buckets,
        }
    }
}

#[derive(Debug)]
struct Service {
    fine: Buckets,
    coarse: Buckets,
}

/// Counts of all services of one daemon.
#[derive(Debug)]
pub struct Table {
    start: clock::Millis,
    services: Mutex<BTreeMap<model::ServiceName, Service>>,
}

/// Counts of one service in one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Counted {
    /// The service.
    pub service: model::ServiceName,
    /// The last hour.
    pub fine: Series,
    /// The last 3 days.
    pub coarse: Series,
}

/// Counts of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Time since the daemon started, in milliseconds; it knows nothing from before.
    pub covered_ms: u64,
    /// Counts by service.
    pub services: Vec<Counted>,
}

impl Table {
    /// Returns a table without counts of a daemon that started at `now`.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            start: now,
            services: Mutex::default(),
        }
    }

    /// Counts a request that ended at `now`.
    pub fn record(&self, service: &model::ServiceName, good: bool, now: clock::Millis) {
        let counts = Counts {
            good: u64::from(good),
            total: 1,
        };
        let mut services = self.services.lock();
        if !services.contains_key(service) {
            let empty = Service {
                fine: Buckets::new(FINE, FINE_KEPT),
                coarse: Buckets::new(COARSE, COARSE_KEPT),
            };
            services.insert(service.clone(), empty);
        }
        if let Some(buckets) = services.get_mut(service) {
            buckets.fine.add(now, counts);
            buckets.coarse.add(now, counts);
        }
    }

    /// Returns all counts at `now`, for a daemon on `host`.
    pub fn reply(&self, host: &model::HostName, now: clock::Millis) -> Reply {
        let services = self.services.lock();
        let services = services.iter().map(|(name, buckets)| Counted {
            service: name.clone(),
            fine: buckets.fine.series(now),
            coarse: buckets.coarse.series(now),
        });
        Reply {
            host: host.clone(),
            covered_ms: now.since(self.start),
            services: services.collect(),
        }
    }
}
