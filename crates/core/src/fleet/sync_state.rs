//! How old the belief of a VM is, and when it has to read the log service itself.

/// Pause after the first failed read, in milliseconds; doubles with each further one.
const RETRY_MIN_MS: u64 = 100;

/// Longest pause of a reader after failed reads, in milliseconds.
const READER_RETRY_MAX_MS: u64 = 400;

/// Whether a VM reads for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads the log service at a steady pace and answers the others.
    Reader,
    /// It asks readers, and reads the log service only if they cannot vouch for what they say.
    Follower,
}

/// The pace of reading, as parts of the time within which a change must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time within which a change must be in force at every VM that reaches the log service, in milliseconds.
    pub bound_ms: u64,
}

impl Timing {
    /// Returns the time from one read of a reader to the next, in milliseconds.
    pub fn period_ms(self) -> u64 {
        self.bound_ms * 40 / 100
    }

    /// Returns the longest time for which a reader lets a question wait for news, in milliseconds.
    ///
    /// A little more than the period, so that a sound reader always has news by then.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms * 50 / 100
    }

    /// Returns the age of a belief from which a follower reads by itself, in milliseconds.
    ///
    /// It leaves time for a jitter and for the call itself within the bound.
    pub fn stale_after_ms(self) -> u64 {
        self.bound_ms * 60 / 100
    }

    /// Returns the time over which the reads of followers are spread, in milliseconds.
    pub fn jitter_ms(self) -> u64 {
        self.bound_ms * 15 / 100
    }

    /// Returns the longest pause of a follower after failed reads, in milliseconds.
    fn retry_max_ms(self) -> u64 {
        self.bound_ms * 50 / 100
    }
}

/// What a VM knows of one topic: up to which record, as of when, and how its own reads went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncState {
    /// Offset after the last record that is taken into account; `None` before the first list.
    offset: Option<u64>,
    /// Steady time at which nothing beyond `offset` existed, in milliseconds.
    as_of_ms: Option<u64>,
    /// Steady time at which the last read of this VM began, in milliseconds.
    began_ms: Option<u64>,
    /// Reads of this VM that failed in a row.
    failures: u32,
}

impl SyncState {
    /// Returns the offset from which to read on.
    pub fn offset(&self) -> Option<u64> {
        self.offset
    }

    /// Returns how old the belief is, in milliseconds; `None` if there is none.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records that a read of this VM begins.
    pub fn begin_read(&mut self, now_ms: u64) {
        self.began_ms = Some(now_ms);
    }

    /// Records that a read of this VM failed; returns whether it is the first one in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records that a read of this VM succeeded; returns whether reads had failed before.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Forgets the offset, so that the next read lists everything.
    pub fn reset_offset(&mut self) {
        self.offset = None;
        self.began_ms = None;
    }

    /// Returns whether something known up to `offset` may be applied. What is older than the belief must not be: a VM
    /// never goes back, whoever tells it.
    pub fn accepts(&self, offset: u64) -> bool {
        self.offset.is_none_or(|known| offset >= known)
    }

    /// Takes in that nothing beyond `offset` existed at a time; returns whether the belief got younger.
    pub fn confirm(&mut self, offset: u64, as_of_ms: u64) -> bool {
        if !self.accepts(offset) {
            return false;
        }
        self.offset = Some(offset);
        let is_younger = self.as_of_ms.is_none_or(|known_ms| as_of_ms > known_ms);
        if is_younger {
            self.as_of_ms = Some(as_of_ms);
        }
        is_younger
    }

    /// Returns the time at which this VM has to read the log service itself; `draw` is uniformly random.
    pub fn next_read_ms(&self, timing: Timing, role: Role, draw: u64) -> u64 {
        let Some(began_ms) = self.began_ms else {
            return 0;
        };
        let (paced_ms, retry_max_ms) = match role {
            Role::Reader => (began_ms + timing.period_ms(), READER_RETRY_MAX_MS),
            Role::Follower => {
                let jitter_ms = draw % timing.jitter_ms().max(1);
                let as_of_ms = self.as_of_ms.unwrap_or(0);
                (
                    as_of_ms + timing.stale_after_ms() + jitter_ms,
                    timing.retry_max_ms(),
                )
            }
        };
        if self.failures == 0 {
            return paced_ms;
        }
        let doublings = (self.failures - 1).min(16);
        let pause_ms = (RETRY_MIN_MS << doublings).min(retry_max_ms);
        let retry_ms = began_ms + pause_ms + draw % (pause_ms / 2);
        match role {
            Role::Reader => retry_ms,
            // A reader may have told what this VM could not read.
            Role::Follower => retry_ms.max(paced_ms),
        }
    }
}

/// Returns the time as of which an answer of a reader holds, on the clock of the VM that asked.
///
/// The question was sent at `sent_ms`, the reader let it wait for `waited_ms`, and its own belief had `age_ms` then. How
/// long the answer was on its way does not matter, nor how long the reader was paused before it sent it.
pub fn as_of_ms(sent_ms: u64, waited_ms: u64, age_ms: u64) -> u64 {
    (sent_ms + waited_ms).saturating_sub(age_ms)
}
