//! Processes that this program started, and what the system says of them.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal};
use signal_hook::consts::{SIGINT, SIGTERM};

/// Unit of the times in `/proc/<pid>/stat`, in seconds; fixed by the kernel's
/// interface.
const TICK: f64 = 0.01;

/// Size of a page, in bytes.
const PAGE: u64 = 4_096;

/// Processes that were started and not ended yet.
static OPEN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn open() -> MutexGuard<'static, BTreeSet<u32>> {
    OPEN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Has a signal that ends this program end the processes that it started, too.
///
/// # Errors
/// The signals can't be handled.
pub fn end_on_signals() -> io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        let Some(signal) = signals.forever().next() else {
            return;
        };
        for pid in open().iter() {
            send(*pid, Signal::KILL);
        }
        std::process::exit(128 + signal);
    });
    Ok(())
}

fn send(pid: u32, signal: Signal) {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let sent = pid.map(|pid| rustix::process::kill_process(pid, signal));
    if let Some(Err(error)) = sent {
        eprintln!("no signal to process {pid:?}: {error}");
    }
}

/// A process that is killed when the value is dropped.
pub struct Process {
    child: Child,
    ended: bool,
}

impl Process {
    /// Starts a program whose output goes to the file `output`.
    ///
    /// # Errors
    /// The file can't be written or the program can't be started.
    pub fn start(program: &Path, args: &[String], output: &Path) -> io::Result<Self> {
        let file = File::create(output)?;
        // A signal must not come between the start and the note of it.
        let mut open = open();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        open.insert(child.id());
        Ok(Self {
            child,
            ended: false,
        })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if self.ended {
            return;
        }
        self.ended = true;
        open().remove(&self.child.id());
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait().map(drop)) {
            eprintln!("process {} could not be killed: {error}", self.child.id());
        }
    }

    /// Stops the process for `time` and resumes it.
    pub fn pause(&self, time: Duration) {
        self.signal(Signal::STOP);
        thread::sleep(time);
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        send(self.child.id(), signal);
    }

    /// Returns the processor time used so far, user and system, in seconds.
    pub fn cpu(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The name in brackets may hold spaces; user time is the 14th field.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
        ticks * TICK
    }

    /// Returns the resident memory, in bytes.
    pub fn resident(&self) -> u64 {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.child.id()));
        let pages = statm.ok().and_then(|statm| {
            let resident = statm.split_whitespace().nth(1)?;
            resident.parse::<u64>().ok()
        });
        pages.unwrap_or_default() * PAGE
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program built beside this one.
///
/// # Errors
/// This program's own path is unknown.
pub fn beside(name: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

/// Returns the load averages of the machine.
pub fn machine_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fields: Vec<_> = text.split_whitespace().take(3).collect();
    fields.join(" ")
}
