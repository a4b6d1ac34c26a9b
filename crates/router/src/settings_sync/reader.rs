//! The reader of the settings stream, which also appends snapshots.

use std::thread;
use std::time::Duration;

use waxwing_wire::platform::Append;

use super::STREAM;
use super::owner::Message;
use super::owner::Next;
use crate::metric;
use crate::shared::Shared;
use crate::transport::log_client;
use crate::transport::log_client::LogClient;

/// Time that a read waits for the first record, in milliseconds.
const READ_WAIT_MS: u64 = 5_000;

/// First pause after a failed read, in milliseconds; it doubles up to the longest.
const PAUSE_FIRST_MS: u64 = 100;

/// Longest pause after a failed read, in milliseconds.
///
/// A change has to be in force within seconds after the log is available again.
const PAUSE_LONGEST_MS: u64 = 2_000;

/// Reads the stream for as long as the process runs.
pub(super) fn follow(shared: &Shared) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let mut next = Next::default();
    let mut failures = 0;
    loop {
        let message = match client.read(STREAM, next.read_from, READ_WAIT_MS) {
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
        next = match apply(shared, message) {
            Some(next) => next,
            None => continue,
        };
        if let Some(data) = next.snapshot.take() {
            append_snapshot(&client, data);
        }
    }
}

/// Hands what was read to the settings thread and waits until it is applied.
fn apply(shared: &Shared, message: Message) -> Option<Next> {
    let handle = &shared.settings_sync;
    let next = handle
        .send(message)
        .and_then(|()| handle.call(|reply| Message::Next { reply }));
    next.inspect_err(|error| log::error!("settings are not applied: {error}"))
        .ok()
}

fn append_snapshot(client: &LogClient, data: String) {
    let append = Append {
        records: vec![data],
    };
    // A failed append is repeated when the settings thread finds the snapshot still missing.
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
        log::warn!("the settings stream cannot be read: {error}");
    }
    let longest_ms = (PAUSE_FIRST_MS << failures.min(10)).min(PAUSE_LONGEST_MS);
    // A random part keeps the VMs from returning to the log all at once.
    let pause_ms = longest_ms / 2 + rand::random_range(0..=longest_ms / 2);
    thread::sleep(Duration::from_millis(pause_ms));
}
