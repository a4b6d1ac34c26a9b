//! Appends job records in batches, and repeats each until it was read back.

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

/// Maximum wait for a message, in milliseconds.
const POLL_MS: u64 = 20;

/// Time after which a record that was not read back is appended again, in milliseconds.
const APPEND_AGAIN_MS: u64 = 1_000;

/// Minimum time between two appends of this VM, in milliseconds.
///
/// The log takes several hundred appends a second from all clients, of which claims may use 400. Five VMs use at most
/// 50 a second with this pause, independent of the number of jobs.
const APPEND_PAUSE_MS: u64 = 100;

/// Size above which no further record is added to an append, in bytes of base64.
const APPEND_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Message to the appender.
#[derive(Debug)]
pub(crate) enum Message {
    /// Record a submission for a waiting caller.
    Submit {
        id: Uuid,
        submission: Submission,
        give_up: Instant,
        reply: Sender<AppendOutcome>,
    },
    /// Record a submission again; its newest record in the log is at `known_offset`.
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
    /// Records were read back; check which appends are done.
    Wake,
}

/// Outcome of recording a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    Recorded,
    NotRecorded,
    MayBeRecorded,
}

enum Purpose {
    Submit {
        give_up: Instant,
        reply: Sender<AppendOutcome>,
    },
    Renew {
        known_offset: u64,
    },
    Finish,
}

struct PendingAppend {
    id: Uuid,
    purpose: Purpose,
    record: String,
    append_at: Instant,
    may_be_in_log: bool,
}

pub(crate) fn run(shared: &Arc<Shared>) {
    let client = LogClient::new(&shared.config.platform.log_address);
    let jobs = &shared.jobs;
    let mut queue: Vec<PendingAppend> = Vec::new();
    let mut next_append = Instant::now();
    loop {
        if let Ok(message) = jobs.inbox.recv_timeout(Duration::from_millis(POLL_MS)) {
            queue.extend(new_pending(message));
        }
        // Messages that arrived since the last append are batched into one.
        queue.extend(jobs.inbox.try_iter().filter_map(new_pending));
        {
            let state = jobs.lock();
            queue.retain(|pending| !pending.is_settled(&state.jobs));
        }
        if Instant::now() >= next_append && append(&client, &mut queue) {
            next_append = Instant::now() + Duration::from_millis(APPEND_PAUSE_MS);
        }
    }
}

fn new_pending(message: Message) -> Option<PendingAppend> {
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
    Some(PendingAppend {
        id,
        purpose,
        record: record.encode(),
        append_at: Instant::now(),
        may_be_in_log: false,
    })
}

impl PendingAppend {
    /// Returns whether the record was read back or given up, and sends the outcome to a waiting caller.
    fn is_settled(&self, jobs: &Jobs) -> bool {
        match &self.purpose {
            Purpose::Submit { give_up, reply } => {
                let outcome = if jobs.contains(self.id) {
                    AppendOutcome::Recorded
                } else if Instant::now() < *give_up {
                    return false;
                } else if self.may_be_in_log {
                    AppendOutcome::MayBeRecorded
                } else {
                    AppendOutcome::NotRecorded
                };
                // The caller may have stopped waiting.
                let _ = reply.try_send(outcome);
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

/// Appends the due records in one batch, and returns whether there were any.
fn append(client: &LogClient, queue: &mut [PendingAppend]) -> bool {
    let now = Instant::now();
    let mut append = Append::default();
    let mut bytes = 0;
    let mut sent = Vec::new();
    for (index, pending) in queue.iter().enumerate() {
        if pending.append_at > now || bytes > APPEND_MAX_BYTES {
            continue;
        }
        bytes += pending.record.len();
        append.records.push(pending.record.clone());
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
        let pending = &mut queue[index];
        pending.append_at = Instant::now() + Duration::from_millis(APPEND_AGAIN_MS);
        pending.may_be_in_log |= !is_not_appended;
    }
    true
}
