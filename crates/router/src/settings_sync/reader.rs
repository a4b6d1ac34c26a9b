//! Reads the settings stream and appends snapshots.

use std::thread;
use std::time::Duration;

use waxwing_wire::platform::Append;

use super::STREAM;
use super::owner::Message;
use super::owner::ReaderTask;
use crate::metric;
use crate::shared::Shared;
use crate::transport::log_client;
use crate::transport::log_client::LogClient;

/// Long-poll timeout of a read, in milliseconds.
const READ_WAIT_MS: u64 = 5_000;

/// Pause after the first failed read, in milliseconds; it doubles up to [`PAUSE_MAX_MS`].
const PAUSE_MIN_MS: u64 = 100;

/// Maximum pause after a failed read, in milliseconds.
///
/// A change must be active within seconds after the log is available again.
const PAUSE_MAX_MS: u64 = 2_000;

/// Reads the stream for as long as the process runs.
pub(super) fn follow(shared: &Shared) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let mut task = ReaderTask::default();
    let mut failures = 0;
    loop {
        let message = match client.read(STREAM, task.read_from, READ_WAIT_MS) {
            Ok(page) => Message::Page { page },
            Err(log_client::Error::Dropped { first_offset, .. }) => {
                Message::Dropped { first_offset }
            }
            Err(error) => {
                pause(failures, &error);
                failures += 1;
                continue;
            }
        };
        if failures > 0 {
            log::info!("the settings stream is read again after {failures} failed reads");
            failures = 0;
        }
        task = match apply(shared, message) {
            Some(task) => task,
            None => continue,
        };
        if let Some(data) = task.snapshot.take() {
            append_snapshot(&client, data);
        }
    }
}

/// Passes a message to the settings thread, waits until it is applied and returns the next task.
fn apply(shared: &Shared, message: Message) -> Option<ReaderTask> {
    let handle = &shared.settings_sync;
    let task = handle
        .send(message)
        .and_then(|()| handle.call(|reply| Message::NextTask { reply }));
    task.inspect_err(|error| log::error!("settings are not applied: {error}"))
        .ok()
}

fn append_snapshot(client: &LogClient, data: String) {
    let append = Append {
        records: vec![data],
    };
    // After a failed append the settings thread requests the snapshot again while it is still due.
    let outcome = match client.append(STREAM, &append) {
        Ok(()) => "confirmed",
        Err(error) => {
            log::warn!("the snapshot of the settings is not confirmed: {error}");
            "unconfirmed"
        }
    };
    metrics::counter!(metric::SETTINGS_SNAPSHOTS, "outcome" => outcome).increment(1);
}

fn pause(failures: u32, error: &log_client::Error) {
    metrics::counter!(metric::SETTINGS_READ_FAILURES).increment(1);
    if failures == 0 {
        log::warn!("the settings stream cannot be read, the settings in force stay: {error}");
    }
    let limit_ms = (PAUSE_MIN_MS << failures.min(10)).min(PAUSE_MAX_MS);
    // Jitter keeps the VMs from reconnecting to the log all at once.
    let pause_ms = limit_ms / 2 + rand::random_range(0..=limit_ms / 2);
    thread::sleep(Duration::from_millis(pause_ms));
}
