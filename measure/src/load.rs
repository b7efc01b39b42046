//! Open-loop load: requests are due at fixed times, whatever became of the
//! earlier ones, and a late send counts from when it was due.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::caller::{Answer, Call, Caller};
use crate::report;

/// Longest latency that is told from longer ones, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Rate and duration of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses that the threads call, one after the other.
    pub addresses: Vec<SocketAddr>,
    /// Requests per second that are due.
    pub rate: f64,
    /// Time for which requests are due.
    pub time: Duration,
    /// Threads, each with one connection; more requests can't be open at once.
    pub threads: usize,
    /// Longest time for one call.
    pub timeout: Duration,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct End {
    /// Number of the request, from 0.
    pub number: u64,
    /// Time since the start of the load at which it was due.
    pub due: Duration,
    /// Time from when it was due to the end of its answer.
    pub took: Duration,
    /// Status code; 0 if there was no complete answer.
    pub status: u16,
    /// Reason of a refusal, or the kind of the transport's error.
    pub reason: String,
    /// Identifier that the router gave it.
    pub request: String,
    /// Target that answered.
    pub target: String,
}

/// What became of a load.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Every request, by number.
    pub ends: Vec<End>,
    /// Time from the start to the last answer, in seconds.
    pub seconds: f64,
}

impl Outcome {
    /// Returns the requests due in a span of time since the start.
    pub fn during(&self, from: Duration, to: Duration) -> Self {
        let due = self.ends.iter().filter(|end| (from..to).contains(&end.due));
        Self {
            ends: due.cloned().collect(),
            seconds: (to - from).as_secs_f64(),
        }
    }

    /// Returns the requests that were answered.
    pub fn good(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| end.status == 200)
    }

    /// Returns the time from the start to the last answer that was complete.
    pub fn answered_for(&self) -> Duration {
        let ends = self.good().map(|end| end.due + end.took);
        ends.max().unwrap_or_default()
    }

    /// Returns the number of requests that were answered.
    pub fn ok(&self) -> u64 {
        self.good().count() as u64
    }

    /// Returns the number of requests that were not answered, by status and reason.
    pub fn failures(&self) -> BTreeMap<String, u64> {
        let mut failures = BTreeMap::new();
        for end in self.ends.iter().filter(|end| end.status != 200) {
            let key = format!("{} {}", end.status, end.reason);
            *failures.entry(key).or_default() += 1;
        }
        failures
    }

    /// Returns the number of requests whose answer was cut off or did not come.
    pub fn lost(&self) -> u64 {
        self.ends.iter().filter(|end| end.status == 0).count() as u64
    }

    /// Returns a quantile of the latency of the requests answered, in milliseconds.
    pub fn latency(&self, quantile: f64) -> f64 {
        let mut histogram = Histogram::<u64>::new_with_max(LONGEST, 3).expect("bounds are valid");
        for end in self.good() {
            let micros = end.took.as_micros() as u64;
            histogram.saturating_record(micros.max(1));
        }
        histogram.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Prints the counts on standard error, and the lost answers as a measure.
    pub fn log(&self, what: &str) {
        let (ok, all) = (self.ok(), self.ends.len());
        let quantiles = [0.5, 0.99, 0.999].map(|quantile| self.latency(quantile));
        eprintln!(
            "  {what}: {ok} of {all} answered in {:.1} s, p50/p99/p999 {quantiles:?} ms, \
             others {:?}",
            self.seconds,
            self.failures()
        );
        let case = what.replace(", ", "_").replace(' ', "_");
        report::against("lost_answers", &case, self.lost() as f64, "answers", 0.0);
    }
}

/// Sends the requests that `call` returns by number, and waits for all of them.
pub fn run(load: &Load, call: impl Fn(u64) -> Call + Sync) -> Outcome {
    let count = (load.rate * load.time.as_secs_f64()) as u64;
    let next = AtomicU64::new(0);
    let ends = Mutex::new(Vec::with_capacity(count as usize));
    let start = Instant::now() + Duration::from_millis(20);
    let worker = |address: SocketAddr| {
        let mut caller = Caller::new(address, load.timeout);
        let mut mine = Vec::new();
        // The default slack of 50 us would be counted as latency.
        if let Err(error) = rustix::thread::set_current_timer_slack(NonZeroU64::new(1)) {
            eprintln!("timer slack is unchanged: {error}");
        }
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                break;
            }
            let due = Duration::from_secs_f64(number as f64 / load.rate);
            thread::sleep((start + due).saturating_duration_since(Instant::now()));
            mine.push(one(&mut caller, &call(number), number, due, start));
        }
        ends.lock().expect("no thread panics").append(&mut mine);
    };
    thread::scope(|scope| {
        for index in 0..load.threads {
            let address = load.addresses[index % load.addresses.len()];
            let worker = &worker;
            scope.spawn(move || worker(address));
        }
    });
    let mut ends = ends.into_inner().expect("no thread panics");
    ends.sort_by_key(|end| end.number);
    Outcome {
        ends,
        seconds: start.elapsed().as_secs_f64(),
    }
}

fn one(caller: &mut Caller, call: &Call, number: u64, due: Duration, start: Instant) -> End {
    let result = caller.call(call);
    let took = start.elapsed().saturating_sub(due);
    let text = |answer: &Answer, name| answer.header(name).unwrap_or_default().to_owned();
    let (status, reason, request, target) = match &result {
        Ok(answer) => (
            answer.status,
            text(answer, "outcome-reason"),
            text(answer, "request-id"),
            text(answer, "target-name"),
        ),
        Err(error) => (0, error.kind().to_string(), String::new(), String::new()),
    };
    End {
        number,
        due,
        took,
        status,
        reason,
        request,
        target,
    }
}
