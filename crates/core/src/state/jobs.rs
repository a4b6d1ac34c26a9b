//! Jobs: what the records of the stream `jobs` add up to, and which VM works on what.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use uuid::Uuid;

use crate::Name;
use crate::coordination::rendezvous;

/// First pause after a failed run, in milliseconds; it doubles with each further failure.
const PAUSE_MIN_MS: u64 = 500;

/// Longest pause after a failed run, in milliseconds.
const PAUSE_MAX_MS: u64 = 60_000;

/// Time after which a repeated submission that was not read back is sent again, in milliseconds.
const APPEND_AGAIN_MS: u64 = 10_000;

/// Size of the results that are held in memory; older ones are read from the log again.
const RESULTS_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// A request that must not be lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Organisation that submitted it.
    pub organisation: Name,
    /// Class, with the team as prefix.
    pub class: Name,
    /// Chat-completions body.
    pub body: String,
}

/// Final answer of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: String,
}

/// What the log holds of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState<'a> {
    /// It has no result yet.
    Pending(&'a Submission),
    /// Its result is in memory.
    Finished(&'a JobResult),
    /// Its result is in the log at this offset.
    Stored(u64),
}

/// What this VM has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Run the job.
    Run(Uuid),
    /// Append its submission again, before the log drops it.
    Append(Uuid),
}

/// Position and time of a record in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordMetadata {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
}

/// All jobs whose records the log keeps, and what this process does about them.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    pending: BTreeMap<Uuid, Pending>,
    finished: BTreeMap<Uuid, Finished>,
    /// Finished jobs, the oldest first.
    order: VecDeque<Uuid>,
    /// Finished jobs whose result is in memory, the oldest first.
    in_memory: VecDeque<Uuid>,
    result_bytes: usize,
    pending_bytes: usize,
    running: usize,
}

#[derive(Clone, Debug)]
struct Pending {
    submission: Submission,
    metadata: RecordMetadata,
    local: Local,
    append_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Finished {
    organisation: Name,
    metadata: RecordMetadata,
    result: Option<JobResult>,
}

/// What this process does about a pending job.
#[derive(Clone, Copy, Debug)]
enum Local {
    Idle { not_before_ms: u64, failures: u32 },
    Running { failures: u32 },
}

impl Jobs {
    /// Applies a submission; a repeated one only renews the time for which the log keeps the job.
    pub fn submit(&mut self, id: Uuid, metadata: RecordMetadata, submission: Submission) {
        if self.finished.contains_key(&id) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.metadata = metadata;
            pending.append_at_ms = 0;
            return;
        }
        self.pending_bytes += submission.body.len();
        let pending = Pending {
            submission,
            metadata,
            local: Local::Idle {
                not_before_ms: 0,
                failures: 0,
            },
            append_at_ms: 0,
        };
        self.pending.insert(id, pending);
    }

    /// Applies a result; the first result of a job counts and later ones are ignored.
    ///
    /// The submission may have left the log before, so the result names the organisation again.
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
            self.running -= usize::from(matches!(pending.local, Local::Running { .. }));
        }
        self.result_bytes += result.body.len();
        self.order.push_back(id);
        self.in_memory.push_back(id);
        let finished = Finished {
            organisation,
            metadata,
            result: Some(result),
        };
        self.finished.insert(id, finished);
        while self.result_bytes > RESULTS_MAX_BYTES
            && let Some(oldest) = self.in_memory.pop_front()
        {
            self.release(oldest);
        }
    }

    /// Drops a result from memory; the log still holds it.
    fn release(&mut self, id: Uuid) {
        let finished = self.finished.get_mut(&id);
        let result = finished.and_then(|finished| finished.result.take());
        self.result_bytes -= result.map_or(0, |result| result.body.len());
    }

    /// Forgets the finished jobs whose result was appended before `kept_from_ms`, which the log no longer keeps.
    pub fn expire(&mut self, kept_from_ms: u64) {
        while let Some(id) = self.order.front().copied()
            && let Some(finished) = self.finished.get(&id)
            && finished.metadata.time_ms < kept_from_ms
        {
            self.release(id);
            self.order.pop_front();
            if self.in_memory.front() == Some(&id) {
                self.in_memory.pop_front();
            }
            self.finished.remove(&id);
        }
    }

    /// Returns a job of the organisation.
    pub fn get(&self, organisation: &Name, id: Uuid) -> Option<JobState<'_>> {
        if let Some(pending) = self.pending.get(&id) {
            let is_own = pending.submission.organisation == *organisation;
            return is_own.then_some(JobState::Pending(&pending.submission));
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

    /// Returns whether the log holds the job.
    pub fn contains(&self, id: Uuid) -> bool {
        self.pending.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns whether the log holds a result of the job.
    pub fn is_finished(&self, id: Uuid) -> bool {
        self.finished.contains_key(&id)
    }

    /// Returns the submission of a pending job and its newest record.
    pub fn pending_job(&self, id: Uuid) -> Option<(&Submission, RecordMetadata)> {
        let pending = self.pending.get(&id)?;
        Some((&pending.submission, pending.metadata))
    }

    /// Returns the size of the bodies of all pending jobs.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Returns what the VM `own` has to do, and counts it as begun.
    ///
    /// At most `running_max` jobs run at once on this VM, including those whose result is not in the log yet. `now_ms`
    /// is wall-clock time, since the log's records carry it.
    pub fn next_actions(
        &mut self,
        now_ms: u64,
        own: &Name,
        members: &[Name],
        retention_ms: u64,
        running_max: usize,
    ) -> Vec<JobAction> {
        let mut work = Vec::new();
        for (id, pending) in &mut self.pending {
            let has_room = self.running < running_max;
            let runs = has_room && pending.is_runnable(now_ms);
            let half_at_ms = pending.metadata.time_ms.saturating_add(retention_ms / 2);
            let appends = now_ms >= half_at_ms && now_ms >= pending.append_at_ms;
            if !(runs || appends) || !is_first(*id, own, members) {
                continue;
            }
            if appends {
                pending.append_at_ms = now_ms + APPEND_AGAIN_MS;
                work.push(JobAction::Append(*id));
            }
            if runs {
                self.running += 1;
                pending.local = Local::Running {
                    failures: pending.local.failures(),
                };
                work.push(JobAction::Run(*id));
            }
        }
        work
    }

    /// Takes note that a run ended without a result; the job runs again after a pause of at least `wait_ms`.
    pub fn fail(&mut self, now_ms: u64, id: Uuid, wait_ms: u64) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Local::Running { failures } = pending.local else {
            return;
        };
        let pause_ms = PAUSE_MIN_MS << failures.min(16);
        pending.local = Local::Idle {
            not_before_ms: now_ms + pause_ms.min(PAUSE_MAX_MS).max(wait_ms),
            failures: failures + 1,
        };
        self.running -= 1;
    }
}

impl Pending {
    fn is_runnable(&self, now_ms: u64) -> bool {
        match self.local {
            Local::Idle { not_before_ms, .. } => now_ms >= not_before_ms,
            Local::Running { .. } => false,
        }
    }
}

impl Local {
    fn failures(self) -> u32 {
        match self {
            Self::Idle { failures, .. } | Self::Running { failures } => failures,
        }
    }
}

fn is_first(id: Uuid, own: &Name, members: &[Name]) -> bool {
    let order = rendezvous::rank_candidates(&id.to_string(), members);
    order.first().copied() == Some(own)
}
