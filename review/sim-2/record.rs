//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<(File, Vec<(u128, String)>)>)>);

impl Record {
    pub fn create(path: &str) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self(Arc::new((
            Instant::now(),
            Mutex::new((file, Vec::new())),
        ))))
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u128 {
        self.0 .0.elapsed().as_millis()
    }

    pub fn write(&self, line: &str) {
        let mut guard = self.0 .1.lock().unwrap();
        let at_ms = self.now_ms();
        let _ = writeln!(guard.0, "{:>9.3} s  {line}", at_ms as f64 / 1_000.0);
        guard.1.push((at_ms, line.to_owned()));
    }

    /// Returns all lines so far, with their times in milliseconds.
    pub fn lines(&self) -> Vec<(u128, String)> {
        self.0 .1.lock().unwrap().1.clone()
    }
}
