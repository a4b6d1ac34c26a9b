//! Jobs: state replayed from the stream `jobs`, and selection of the jobs that this VM runs.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use uuid::Uuid;

use crate::Name;
use crate::coordination::rendezvous;

/// Retry delay after the first failed run, in milliseconds; it doubles with each further failure.
const RETRY_DELAY_MIN_MS: u64 = 500;

/// Upper bound of the retry delay, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 60_000;

/// Time after which a renewed submission that has not been read back is appended again, in milliseconds.
const REAPPEND_INTERVAL_MS: u64 = 10_000;

/// Size of the results cached in memory, in bytes; older ones are read from the log.
const CACHED_RESULTS_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// A request that is stored in the log until it has a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Organisation that submitted the job.
    pub organisation: Name,
    /// Request class, prefixed with the team.
    pub class: Name,
    /// Body of the chat-completions request.
    pub body: String,
}

/// Final answer of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: String,
}

/// State of a job according to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState<'a> {
    /// The job has no result yet.
    Pending(&'a Submission),
    /// The result is cached in memory.
    Finished(&'a JobResult),
    /// The result is stored in the log at this offset.
    Stored(u64),
}

/// An action that this VM must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Run the job.
    Run(Uuid),
    /// Append the submission again before it falls out of the log's retention.
    Append(Uuid),
}

/// Offset and timestamp of a log record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordMetadata {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
}

/// All jobs whose records the log retains, with their run state in this process.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    pending: BTreeMap<Uuid, Pending>,
    finished: BTreeMap<Uuid, Finished>,
    /// Finished jobs, oldest first.
    finish_order: VecDeque<Uuid>,
    /// Finished jobs whose result is cached in memory, oldest first.
    cached: VecDeque<Uuid>,
    result_bytes: usize,
    pending_bytes: usize,
    running: usize,
}

#[derive(Clone, Debug)]
struct Pending {
    submission: Submission,
    metadata: RecordMetadata,
    run_state: RunState,
    reappend_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Finished {
    organisation: Name,
    metadata: RecordMetadata,
    result: Option<JobResult>,
}

/// Run state of a pending job in this process.
#[derive(Clone, Copy, Debug)]
enum RunState {
    Idle { not_before_ms: u64, failures: u32 },
    Running { failures: u32 },
}

impl Jobs {
    /// Applies a submission record; for a pending job it only renews the log's retention.
    pub fn submit(&mut self, id: Uuid, metadata: RecordMetadata, submission: Submission) {
        if self.finished.contains_key(&id) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.metadata = metadata;
            pending.reappend_at_ms = 0;
            return;
        }
        self.pending_bytes += submission.body.len();
        let pending = Pending {
            submission,
            metadata,
            run_state: RunState::Idle {
                not_before_ms: 0,
                failures: 0,
            },
            reappend_at_ms: 0,
        };
        self.pending.insert(id, pending);
    }

    /// Applies a result record; only the first result of a job counts.
    ///
    /// The record repeats the organisation because the submission may already have left the log.
    pub fn finish(
        &mut self,
        id: Uuid,
        metadata: RecordMetadata,
        organisation: Name,
        result: JobResult,
    ) {
        if self.finished.contains_key(&id) {
            return;
        }
        if let Some(pending) = self.pending.remove(&id) {
            self.pending_bytes -= pending.submission.body.len();
            self.running -= usize::from(matches!(pending.run_state, RunState::Running { .. }));
        }
        self.result_bytes += result.body.len();
        self.finish_order.push_back(id);
        self.cached.push_back(id);
        let finished = Finished {
            organisation,
            metadata,
            result: Some(result),
        };
        self.finished.insert(id, finished);
        while self.result_bytes > CACHED_RESULTS_MAX_BYTES
            && let Some(oldest) = self.cached.pop_front()
        {
            self.evict_result(oldest);
        }
    }

    /// Drops a result from memory; the log still has it.
    fn evict_result(&mut self, id: Uuid) {
        let finished = self.finished.get_mut(&id);
        let result = finished.and_then(|finished| finished.result.take());
        self.result_bytes -= result.map_or(0, |result| result.body.len());
    }

    /// Removes finished jobs whose result was appended before `kept_from_ms` and has left the log.
    pub fn expire(&mut self, kept_from_ms: u64) {
        while let Some(id) = self.finish_order.front().copied()
            && let Some(finished) = self.finished.get(&id)
            && finished.metadata.time_ms < kept_from_ms
        {
            self.evict_result(id);
            self.finish_order.pop_front();
            if self.cached.front() == Some(&id) {
                self.cached.pop_front();
            }
            self.finished.remove(&id);
        }
    }

    /// Returns a job if it belongs to the organisation.
    pub fn get(&self, organisation: &Name, id: Uuid) -> Option<JobState<'_>> {
        if let Some(pending) = self.pending.get(&id) {
            let is_owner = pending.submission.organisation == *organisation;
            return is_owner.then_some(JobState::Pending(&pending.submission));
        }
        let finished = self.finished.get(&id)?;
        if finished.organisation != *organisation {
            return None;
        }
        Some(match &finished.result {
            Some(result) => JobState::Finished(result),
            None => JobState::Stored(finished.metadata.offset),
        })
    }

    /// Returns whether the log has a record of the job.
    pub fn contains(&self, id: Uuid) -> bool {
        self.pending.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns whether the log has a result of the job.
    pub fn is_finished(&self, id: Uuid) -> bool {
        self.finished.contains_key(&id)
    }

    /// Returns the submission of a pending job and the metadata of its newest submission record.
    pub fn pending_job(&self, id: Uuid) -> Option<(&Submission, RecordMetadata)> {
        let pending = self.pending.get(&id)?;
        Some((&pending.submission, pending.metadata))
    }

    /// Returns the total size of the bodies of all pending jobs, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Returns the number of jobs that run on this VM, or ran here and have no result in the log yet.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the actions due on the VM `local_vm` and marks them as started.
    ///
    /// At most `running_max` jobs run on this VM at a time; a job counts until its result is read back from the log.
    /// `now_ms` is wall-clock time, as in the log's records.
    pub fn next_actions(
        &mut self,
        now_ms: u64,
        local_vm: &Name,
        members: &[Name],
        retention_ms: u64,
        running_max: usize,
    ) -> Vec<JobAction> {
        let mut work = Vec::new();
        for (id, pending) in &mut self.pending {
            let has_capacity = self.running < running_max;
            let should_run = has_capacity && pending.is_runnable(now_ms);
            let renew_at_ms = pending.metadata.time_ms.saturating_add(retention_ms / 2);
            let should_append = now_ms >= renew_at_ms && now_ms >= pending.reappend_at_ms;
            if !(should_run || should_append) || !is_assigned(*id, local_vm, members) {
                continue;
            }
            if should_append {
                pending.reappend_at_ms = now_ms + REAPPEND_INTERVAL_MS;
                work.push(JobAction::Append(*id));
            }
            if should_run {
                self.running += 1;
                pending.run_state = RunState::Running {
                    failures: pending.run_state.failures(),
                };
                work.push(JobAction::Run(*id));
            }
        }
        work
    }

    /// Records that a run ended without a result; the job is retried after a backoff of at least `wait_ms`.
    pub fn fail(&mut self, now_ms: u64, id: Uuid, wait_ms: u64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let RunState::Running { failures } = pending.run_state else {
            return;
        };
        let delay_ms = RETRY_DELAY_MIN_MS << failures.min(16);
        pending.run_state = RunState::Idle {
            not_before_ms: now_ms + delay_ms.min(RETRY_DELAY_MAX_MS).max(wait_ms),
            failures: failures + 1,
        };
        self.running -= 1;
    }
}

impl Pending {
    fn is_runnable(&self, now_ms: u64) -> bool {
        match self.run_state {
            RunState::Idle { not_before_ms, .. } => now_ms >= not_before_ms,
            RunState::Running { .. } => false,
        }
    }
}

impl RunState {
    fn failures(self) -> u32 {
        match self {
            Self::Idle { failures, .. } | Self::Running { failures } => failures,
        }
    }
}

fn is_assigned(id: Uuid, local_vm: &Name, members: &[Name]) -> bool {
    let order = rendezvous::rank_candidates(&id.to_string(), members);
    order.first().copied() == Some(local_vm)
}
