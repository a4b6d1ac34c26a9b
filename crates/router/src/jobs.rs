//! Asynchronous jobs: the state replayed from the log, shared by the threads that read, append and run jobs.

mod appender;
mod reader;
mod runner;

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::state::jobs;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::JobState;
use waxwing_core::state::jobs::Submission;

use crate::jobs::appender::AppendOutcome;
use crate::jobs::appender::Message;
use crate::shared::Shared;

/// Counter of job events by kind.
pub const EVENTS: &str = "waxwing_jobs_total";

/// Messages that may wait for the appender.
const MESSAGES_MAX: usize = 1_024;

/// Total size of the bodies of pending jobs above which submissions are refused, in bytes.
const PENDING_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Time for which a submission waits for its record to be read back, in milliseconds.
const SUBMIT_WAIT_MS: u64 = 2_000;

/// Time beyond [`SUBMIT_WAIT_MS`] for the appender to finish an append in progress, in milliseconds.
const APPEND_GRACE_MS: u64 = 4_000;

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The log holds the job.
    Recorded,
    /// The log is down; the job was not recorded and will not be.
    LogDown,
    /// The log may hold the job.
    Unknown,
    /// Too many jobs are pending.
    Full,
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// The job has no result yet.
    Pending(Submission),
    /// The job has this result.
    Finished(JobResult),
    /// The result is stored in the log at this offset.
    Stored(u64),
}

/// Shared state of the jobs and the queue of the appender.
#[derive(Debug)]
pub struct Jobs {
    state: Mutex<State>,
    changed: Condvar,
    messages: Sender<Message>,
    inbox: Receiver<Message>,
}

#[derive(Debug, Default)]
struct State {
    jobs: jobs::Jobs,
    /// Offset of the next record to read.
    next_offset: u64,
    retention_ms: u64,
    is_log_up: bool,
}

/// Main function of a thread.
type ThreadMain = fn(&Arc<Shared>);

/// Starts the threads that read, append and run jobs.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(shared: &Arc<Shared>) -> std::io::Result<()> {
    let threads: [(&str, ThreadMain); 3] = [
        ("jobs-reader", reader::run),
        ("jobs-appender", appender::run),
        ("jobs", runner::run),
    ];
    for (name, run) in threads {
        let shared = Arc::clone(shared);
        let builder = thread::Builder::new().name(name.to_owned());
        builder.spawn(move || run(&shared))?;
    }
    Ok(())
}

impl Jobs {
    /// Creates the state; [`start`] starts the threads.
    #[expect(clippy::new_without_default, reason = "it opens a channel")]
    pub fn new() -> Self {
        let (messages, inbox) = flume::bounded(MESSAGES_MAX);
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            messages,
            inbox,
        }
    }

    /// Records a job and waits until the record was read back from the log, or can no longer be.
    pub fn submit(&self, id: Uuid, submission: Submission) -> SubmitOutcome {
        let (is_log_up, pending_bytes) = {
            let state = self.lock();
            (state.is_log_up, state.jobs.pending_bytes())
        };
        if !is_log_up {
            return SubmitOutcome::LogDown;
        }
        if pending_bytes + submission.body.len() > PENDING_MAX_BYTES {
            return SubmitOutcome::Full;
        }
        let (reply, outcome) = flume::bounded(1);
        let message = Message::Submit {
            id,
            submission,
            give_up: Instant::now() + Duration::from_millis(SUBMIT_WAIT_MS),
            reply,
        };
        if self.messages.try_send(message).is_err() {
            return SubmitOutcome::Full;
        }
        let wait = Duration::from_millis(SUBMIT_WAIT_MS + APPEND_GRACE_MS);
        match outcome.recv_timeout(wait) {
            Ok(AppendOutcome::Recorded) => SubmitOutcome::Recorded,
            Ok(AppendOutcome::NotRecorded) => SubmitOutcome::LogDown,
            Ok(AppendOutcome::MayBeRecorded) | Err(_) => SubmitOutcome::Unknown,
        }
    }

    /// Returns the status of an organisation's job as of the last record that this VM has read.
    pub fn find(&self, organisation: &Name, id: Uuid) -> Option<JobStatus> {
        let state = self.lock();
        Some(match state.jobs.get(organisation, id)? {
            JobState::Pending(submission) => JobStatus::Pending(submission.clone()),
            JobState::Finished(result) => JobStatus::Finished(result.clone()),
            JobState::Stored(offset) => JobStatus::Stored(offset),
        })
    }

    /// Returns the offset of the next record that this VM will read.
    pub fn next_offset(&self) -> u64 {
        self.lock().next_offset
    }

    /// Waits until this VM has read all records before `offset`, and returns whether it has.
    pub fn wait_for_offset(&self, offset: u64, wait: Duration) -> bool {
        let is_behind = |state: &mut State| state.next_offset < offset;
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), wait, is_behind);
        match waited {
            Ok((_, timeout)) => !timeout.timed_out(),
            Err(_) => false,
        }
    }

    /// Waits until each job that runs on this VM has a result in the log, and returns the number of those that have none.
    pub fn wait_for_results(&self, wait: Duration) -> usize {
        let has_unrecorded = |state: &mut State| state.jobs.running() > 0;
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), wait, has_unrecorded);
        match waited {
            Ok((state, _)) => state.jobs.running(),
            Err(poisoned) => poisoned.into_inner().0.jobs.running(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let guard = self.state.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn count(event: &'static str) {
    metrics::counter!(EVENTS, "event" => event).increment(1);
}
