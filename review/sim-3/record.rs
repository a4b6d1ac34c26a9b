//! The record of a play: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Log {
    began: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Returns the time since the play began, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line with its time.
    pub fn write(&self, line: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{} {line}", self.now_ms());
    }
}
