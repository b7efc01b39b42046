//! In-memory counts of good and total requests of each service, by time bucket.

use std::collections::{BTreeMap, VecDeque};
use std::ops::AddAssign;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::model;

/// Width of a fine bucket, in milliseconds.
pub(crate) const FINE_WIDTH_MS: u64 = 10_000;
/// Number of fine buckets: the last hour and the incomplete bucket.
const FINE_BUCKETS: u64 = 361;
/// Width of a coarse bucket.
const COARSE_WIDTH_MS: u64 = 300_000;
/// Number of coarse buckets: the last 3 days and the incomplete bucket.
const COARSE_BUCKETS: u64 = 865;

/// Numbers of good and of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered within the service's objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        *self += other;
    }

    /// Returns the fraction of requests that were not good; 0 without requests.
    pub fn bad_share(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (self.total - self.good.min(self.total)) as f64 / self.total as f64
    }
}

/// Counts by age. Ages, unlike clock readings, can be compared between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Width of a bucket, in milliseconds.
    pub width: u64,
    /// Counts, newest bucket first; the newest is incomplete.
    pub buckets: Vec<Counts>,
}

impl Series {
    /// Returns the sum of the last `window` milliseconds and the newest bucket,
    /// which is incomplete.
    pub fn sum(&self, window: u64) -> Counts {
        let count = (window / self.width) as usize + 1;
        let mut sum = Counts::default();
        for bucket in self.buckets.iter().take(count) {
            sum.add(*bucket);
        }
        sum
    }

    /// Adds the counts of another daemon to the buckets of the same age. Does
    /// nothing if the widths differ.
    pub fn merge(&mut self, other: &Self) {
        if other.width != self.width {
            return;
        }
        let length = self.buckets.len().max(other.buckets.len());
        self.buckets.resize(length, Counts::default());
        for (bucket, other_counts) in self.buckets.iter_mut().zip(&other.buckets) {
            bucket.add(*other_counts);
        }
    }
}

/// Buckets of one width, oldest first, each with its number: time divided by width.
#[derive(Debug)]
pub(crate) struct Buckets<T> {
    width: u64,
    capacity: u64,
    entries: VecDeque<(u64, T)>,
}

impl<T: Copy + Default + AddAssign> Buckets<T> {
    /// Returns an empty series that keeps the newest `capacity` buckets of `width`
    /// milliseconds.
    pub(crate) fn new(width: u64, capacity: u64) -> Self {
        Self {
            width,
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds counts to the bucket of `now`, and removes expired buckets.
    pub(crate) fn add(&mut self, now: clock::Millis, counts: T) {
        let number = now.0 / self.width;
        match self.entries.back_mut() {
            // Threads may record requests out of order; late ones count in the last bucket.
            Some((last, bucket)) if *last >= number => *bucket += counts,
            _ => self.entries.push_back((number, counts)),
        }
        while self
            .entries
            .front()
            .is_some_and(|(first, _)| first + self.capacity <= number)
        {
            self.entries.pop_front();
        }
    }

    /// Returns the counts of all buckets by age at `now`, the newest first.
    pub(crate) fn by_age(&self, now: clock::Millis) -> Vec<T> {
        let number = now.0 / self.width;
        let mut buckets = Vec::new();
        for (bucket_number, counts) in self.entries.iter().rev() {
            let age = number.saturating_sub(*bucket_number);
            if age >= self.capacity {
                break;
            }
            buckets.resize((age as usize + 1).max(buckets.len()), T::default());
            buckets[age as usize] += *counts;
        }
        buckets
    }
}

impl Buckets<Counts> {
    fn series(&self, now: clock::Millis) -> Series {
        Series {
            width: self.width,
            buckets: self.by_age(now),
        }
    }
}

/// Counts of one service.
#[derive(Debug)]
struct Service {
    fine: Buckets<Counts>,
    coarse: Buckets<Counts>,
}

/// Counts of all services of one daemon.
#[derive(Debug)]
pub struct Table {
    start: clock::Millis,
    services: Mutex<BTreeMap<model::ServiceName, Service>>,
}

/// Reported counts of one service in one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Counted {
    /// The service.
    pub service: model::ServiceName,
    /// The last hour.
    pub fine: Series,
    /// The last 3 days.
    pub coarse: Series,
}

/// Reported counts of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Time since the daemon started, in milliseconds; earlier requests are not counted.
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
                fine: Buckets::new(FINE_WIDTH_MS, FINE_BUCKETS),
                coarse: Buckets::new(COARSE_WIDTH_MS, COARSE_BUCKETS),
            };
            services.insert(service.clone(), empty);
        }
        if let Some(buckets) = services.get_mut(service) {
            buckets.fine.add(now, counts);
            buckets.coarse.add(now, counts);
        }
    }

    /// Removes the counts of services for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&model::ServiceName) -> bool) {
        self.services.lock().retain(|name, _| keep(name));
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
