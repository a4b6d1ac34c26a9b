//! An open key range with the threads that read and append its log stream.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use waxwing_core::coordination::claim_owner::ClaimOwner;
use waxwing_core::coordination::claim_owner::Input;
use waxwing_core::state::claims::Record;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim_record;
use waxwing_wire::platform::Append;
use waxwing_wire::platform::Page;

use crate::transport::log_client::Error;
use crate::transport::log_client::LogClient;

use super::Message;
use super::counters;

/// Long-poll timeout of a read, in milliseconds; shorter than the time after which the log counts as down.
const READ_WAIT_MS: u64 = 1_000;

/// Pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// A range that this process has open.
#[derive(Debug)]
pub(super) struct Range {
    pub(super) owner: ClaimOwner,
    /// Reply channels of waiting requests by claimant.
    pub(super) replies: HashMap<u64, Sender<ClaimVerdict>>,
    pub(super) epoch: u64,
    /// Last exported value of the gauge of unconfirmed keys.
    pub(super) exported_pending: usize,
    is_closed: Arc<AtomicBool>,
    /// Cancels the thread that raises the fencing token at endpoints.
    pub(super) is_raise_cancelled: Arc<AtomicBool>,
    appends: Sender<Vec<Record>>,
}

/// Sends the events of a range's threads to the claims thread.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    pub(super) range: u8,
    pub(super) epoch: u64,
    pub(super) messages: Sender<Message>,
}

impl Reporter {
    /// Sends an event; a closed channel means that the process is exiting and is ignored.
    pub(super) fn report(&self, input: Input) {
        let message = Message::Range {
            range: self.range,
            epoch: self.epoch,
            input: Box::new(input),
        };
        let _ = self.messages.send(message);
    }
}

impl Range {
    /// Starts the reader and the appender of a range.
    pub(super) fn start(owner: ClaimOwner, client: &LogClient, reporter: Reporter) -> Self {
        let is_closed = Arc::new(AtomicBool::new(false));
        // Only one append is in progress at a time, so the channel never blocks the claims thread.
        let (appends, receiver) = flume::bounded(1);
        let epoch = reporter.epoch;
        let reader = (client.clone(), reporter.clone(), Arc::clone(&is_closed));
        thread::spawn(move || read(&reader.0, &reader.1, &reader.2));
        let client = client.clone();
        thread::spawn(move || append(&client, &reporter, &receiver));
        Self {
            owner,
            replies: HashMap::new(),
            epoch,
            exported_pending: 0,
            is_closed,
            is_raise_cancelled: Arc::default(),
            appends,
        }
    }

    /// Passes records to the appender thread.
    pub(super) fn append(&self, records: Vec<Record>) {
        if self.appends.try_send(records).is_err() {
            log::error!("an append was started while another was in progress");
        }
    }
}

impl Drop for Range {
    fn drop(&mut self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.is_raise_cancelled.store(true, Ordering::Relaxed);
    }
}

fn append(client: &LogClient, reporter: &Reporter, records: &Receiver<Vec<Record>>) {
    let stream = claim_record::stream_name(reporter.range);
    for records in records {
        let mut append = Append::default();
        for record in &records {
            append
                .records
                .push(claim_record::encode(reporter.range, record));
        }
        counters::count_append();
        let result = client.append(&stream, &append);
        if let Err(error) = &result {
            counters::count_log_failure("append");
            log::warn!("stream {stream} cannot be appended to: {error}");
        }
        let is_confirmed = result.is_ok();
        reporter.report(Input::AppendEnded { is_confirmed });
    }
}

fn read(client: &LogClient, reporter: &Reporter, is_closed: &AtomicBool) {
    let stream = claim_record::stream_name(reporter.range);
    let mut from = 0;
    let mut retention_ms = 0;
    while !is_closed.load(Ordering::Relaxed) {
        let page = match client.read(&stream, from, READ_WAIT_MS) {
            Ok(page) => page,
            Err(Error::Dropped { first_offset, .. }) => {
                log::warn!("stream {stream}: records from {from} to {first_offset} are dropped");
                from = first_offset;
                reporter.report(Input::Truncated(first_offset));
                continue;
            }
            Err(error @ Error::LostRecords { .. }) => {
                counters::count_log_failure("lost_records");
                log::error!(
                    "{error}; this VM grants no claims in range {} until it is restarted",
                    reporter.range
                );
                reporter.report(Input::LostRecords);
                return;
            }
            Err(error) => {
                counters::count_log_failure("read");
                log::warn!("stream {stream} cannot be read: {error}");
                thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
                continue;
            }
        };
        if page.retention_ms != retention_ms {
            retention_ms = page.retention_ms;
            let _ = reporter.messages.send(Message::Retention { retention_ms });
        }
        if from < page.first_offset {
            from = page.first_offset;
            reporter.report(Input::Truncated(from));
        }
        let next = page.records.last().map_or(from, |last| last.offset + 1);
        from = next;
        reporter.report(decode_page(reporter.range, &page, next));
    }
}

fn decode_page(range: u8, page: &Page, next: u64) -> Input {
    let mut records = Vec::new();
    for record in &page.records {
        let decoded = claim_record::decode(range, record);
        if let Err(error) = &decoded {
            counters::count_skipped(range);
            log::error!("stream {}: {error}", claim_record::stream_name(range));
        }
        records.push((record.offset, decoded.ok()));
    }
    Input::Read {
        records,
        is_end: next >= page.next_offset,
    }
}
