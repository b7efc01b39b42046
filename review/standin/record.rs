//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line, also to standard output if it is `loud`.
    fn write(&self, text: &str, loud: bool) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        if loud {
            print!("{line}");
        }
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes()).expect("the record");
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.write(text.as_ref(), false);
    }

    pub fn say(&self, text: impl AsRef<str>) {
        self.write(text.as_ref(), true);
    }
}
