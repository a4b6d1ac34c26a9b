//! Reads the log stream `jobs` and applies its records.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use waxwing_core::state::jobs;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::RecordMetadata;
use waxwing_core::state::jobs::Submission;
use waxwing_gateway::clock::unix_now_ms;
use waxwing_wire::job_record::JobRecord;
use waxwing_wire::job_record::STREAM;
use waxwing_wire::platform::Page;
use waxwing_wire::platform::Record;

use crate::jobs::Jobs;
use crate::jobs::appender::Message;
use crate::shared::Shared;
use crate::transport::log_client::Error;
use crate::transport::log_client::LogClient;

/// Long-poll timeout of a read, in milliseconds; it also bounds how late a log outage is detected.
const READ_WAIT_MS: u64 = 1_000;

/// Pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

pub(crate) fn run(shared: &Arc<Shared>) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let jobs = &shared.jobs;
    // The first read does not wait, since submissions are refused until it has completed.
    let mut wait_ms = 0;
    loop {
        match client.read(STREAM, jobs.next_offset(), wait_ms) {
            Ok(page) => {
                wait_ms = READ_WAIT_MS;
                jobs.apply_page(&page);
            }
            Err(Error::Dropped { first_offset, .. }) => {
                // Pending jobs are appended again before the log drops their records, so no job is lost.
                jobs.lock().next_offset = first_offset;
            }
            Err(error @ Error::LostRecords { .. }) => {
                log::error!("{error}; this VM accepts no jobs until it is restarted");
                jobs.lock().is_log_up = false;
                return;
            }
            Err(error) => {
                log::warn!("jobs cannot be read: {error}");
                jobs.lock().is_log_up = false;
                wait_ms = 0;
                thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
            }
        }
    }
}

impl Jobs {
    fn apply_page(&self, page: &Page) {
        let mut state = self.lock();
        state.is_log_up = true;
        state.retention_ms = page.retention_ms;
        for record in &page.records {
            state.next_offset = record.offset + 1;
            match JobRecord::decode(record) {
                Ok(decoded) => apply(&mut state.jobs, decoded, record),
                Err(error) => log::error!("record skipped: {error}"),
            }
        }
        let kept_from_ms = unix_now_ms().saturating_sub(page.retention_ms);
        state.jobs.expire(kept_from_ms);
        drop(state);
        self.changed.notify_all();
        if !page.records.is_empty() {
            // With a full inbox the appender checks the state anyway.
            let _ = self.messages.try_send(Message::Wake);
        }
    }
}

fn apply(jobs: &mut jobs::Jobs, decoded: JobRecord, record: &Record) {
    let metadata = RecordMetadata {
        offset: record.offset,
        time_ms: record.time_ms,
    };
    match decoded {
        JobRecord::Submitted {
            id,
            organisation,
            class,
            body,
        } => {
            let submission = Submission {
                organisation,
                class,
                body,
            };
            jobs.submit(id, metadata, submission);
        }
        JobRecord::Finished {
            id,
            organisation,
            status,
            content_type,
            body,
        } => {
            let result = JobResult {
                status,
                content_type,
                body,
            };
            jobs.finish(id, metadata, organisation, result);
        }
    }
}
