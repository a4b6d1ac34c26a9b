//! Appends job records in batches until each was read back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flume::Sender;
use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::Jobs;
use waxwing_core::state::jobs::Submission;
use waxwing_wire::job_record::JobRecord;
use waxwing_wire::job_record::STREAM;
use waxwing_wire::platform::Append;

use crate::jobs;
use crate::shared::Shared;
use crate::transport::log_client::LogClient;

/// Longest wait for a message, in milliseconds.
const POLL_MS: u64 = 20;

/// Time after which a record that was not read back is appended again, in milliseconds.
const APPEND_AGAIN_MS: u64 = 1_000;

/// Least time between two appends of this VM, in milliseconds.
///
/// The log takes several hundred appends a second from all clients, of which claims may use 400. Five VMs use at most
/// 50 with this pause, whatever the number of jobs.
const APPEND_PAUSE_MS: u64 = 100;

/// Size of one append beyond which no further record is added to it, in bytes of base64.
const APPEND_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// What the appender is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// Record a submission for a caller who waits.
    Submit {
        id: Uuid,
        submission: Submission,
        give_up: Instant,
        reply: Sender<Verdict>,
    },
    /// Record the submission again; the log's newest record of it is at `known_offset`.
    Renew {
        id: Uuid,
        submission: Submission,
        known_offset: u64,
    },
    /// Record a result.
    Finish {
        id: Uuid,
        organisation: Name,
        result: JobResult,
    },
    /// Records were read back.
    Wake,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Recorded,
    NotRecorded,
    MayBeRecorded,
}

enum Purpose {
    Submit {
        give_up: Instant,
        reply: Sender<Verdict>,
    },
    Renew {
        known_offset: u64,
    },
    Finish,
}

struct Entry {
    id: Uuid,
    purpose: Purpose,
    record: String,
    append_at: Instant,
    may_be_in_log: bool,
}

pub(crate) fn run(shared: &Arc<Shared>) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let jobs = &shared.jobs;
    let mut entries: Vec<Entry> = Vec::new();
    let mut append_from = Instant::now();
    loop {
        if let Ok(message) = jobs.inbox.recv_timeout(Duration::from_millis(POLL_MS)) {
            entries.extend(new_entry(message));
        }
        // What arrived since the last append goes into one append together.
        entries.extend(jobs.inbox.try_iter().filter_map(new_entry));
        {
            let state = jobs.lock();
            entries.retain(|entry| !entry.is_settled(&state.jobs));
        }
        if Instant::now() >= append_from && append(&client, &mut entries) {
            append_from = Instant::now() + Duration::from_millis(APPEND_PAUSE_MS);
        }
    }
}

fn new_entry(message: Message) -> Option<Entry> {
    let (id, purpose, record) = match message {
        Message::Submit {
            id,
            submission,
            give_up,
            reply,
        } => {
            let record = JobRecord::from_submission(id, submission);
            (id, Purpose::Submit { give_up, reply }, record)
        }
        Message::Renew {
            id,
            submission,
            known_offset,
        } => {
            let record = JobRecord::from_submission(id, submission);
            (id, Purpose::Renew { known_offset }, record)
        }
        Message::Finish {
            id,
            organisation,
            result,
        } => {
            let record = JobRecord::from_result(id, organisation, result);
            (id, Purpose::Finish, record)
        }
        Message::Wake => return None,
    };
    Some(Entry {
        id,
        purpose,
        record: record.encode(),
        append_at: Instant::now(),
        may_be_in_log: false,
    })
}

impl Entry {
    /// Returns whether the entry was read back or given up, and tells a waiting caller.
    fn is_settled(&self, jobs: &Jobs) -> bool {
        match &self.purpose {
            Purpose::Submit { give_up, reply } => {
                let verdict = if jobs.contains(self.id) {
                    Verdict::Recorded
                } else if Instant::now() < *give_up {
                    return false;
                } else if self.may_be_in_log {
                    Verdict::MayBeRecorded
                } else {
                    Verdict::NotRecorded
                };
                // The caller may be gone.
                let _ = reply.try_send(verdict);
                true
            }
            Purpose::Renew { known_offset } => {
                let newest = jobs.pending_job(self.id);
                newest.is_none_or(|(_, metadata)| metadata.offset > *known_offset)
            }
            Purpose::Finish => jobs.is_finished(self.id),
        }
    }
}

/// Makes one append of the entries that are due, and returns whether there were any.
fn append(client: &LogClient, entries: &mut [Entry]) -> bool {
    let now = Instant::now();
    let mut append = Append::default();
    let mut bytes = 0;
    let mut sent = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        if entry.append_at > now || bytes > APPEND_MAX_BYTES {
            continue;
        }
        bytes += entry.record.len();
        append.records.push(entry.record.clone());
        sent.push(index);
    }
    if sent.is_empty() {
        return false;
    }
    let appended = client.append(STREAM, &append);
    if let Err(error) = &appended {
        log::warn!("{} job records were not confirmed: {error}", sent.len());
        jobs::count("append_failed");
    }
    let is_not_appended = appended.is_err_and(|error| error.is_not_appended());
    for index in sent {
        let entry = &mut entries[index];
        entry.append_at = Instant::now() + Duration::from_millis(APPEND_AGAIN_MS);
        entry.may_be_in_log |= !is_not_appended;
    }
    true
}
