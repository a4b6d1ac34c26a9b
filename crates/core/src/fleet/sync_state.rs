//! Staleness of a VM's copy of a topic, and the schedule of its reads of the log service.

/// Pause after the first failed read, in milliseconds; doubles with each further failure.
const RETRY_MIN_MS: u64 = 100;

/// Maximum pause of a reader after failed reads, in milliseconds.
const READER_RETRY_MAX_MS: u64 = 400;

/// Role of a VM in the distribution of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Polls the log service periodically and answers followers.
    Reader,
    /// Polls readers, and reads the log service only if their answers are too stale.
    Follower,
}

/// Intervals of the reads, derived from the staleness bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Staleness bound, in milliseconds: each VM that can reach the log service applies a change within this time.
    pub bound_ms: u64,
}

impl Timing {
    /// Returns the interval between reads of a reader, in milliseconds.
    pub fn period_ms(self) -> u64 {
        self.bound_ms * 40 / 100
    }

    /// Returns the long-poll timeout of requests to a reader, in milliseconds.
    ///
    /// It exceeds the period, so that a healthy reader has completed a read by then.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms * 50 / 100
    }

    /// Returns the staleness at which a follower reads the log service itself, in milliseconds.
    ///
    /// It leaves time within the bound for the jitter and for the call.
    pub fn stale_after_ms(self) -> u64 {
        self.bound_ms * 60 / 100
    }

    /// Returns the range of the random delay of a follower's read, in milliseconds.
    pub fn jitter_ms(self) -> u64 {
        self.bound_ms * 15 / 100
    }

    /// Returns the maximum pause of a follower after failed reads, in milliseconds.
    fn retry_max_ms(self) -> u64 {
        self.bound_ms * 50 / 100
    }
}

/// Offset and staleness of a VM's copy of one topic, and the state of its reads of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncState {
    /// Offset after the last applied record; `None` before the first full list.
    offset: Option<u64>,
    /// Monotonic time at which the log was known to end at `offset`, in milliseconds.
    as_of_ms: Option<u64>,
    /// Monotonic time at which this VM's last read began, in milliseconds.
    read_began_ms: Option<u64>,
    /// Consecutive failed reads of this VM.
    failures: u32,
}

impl SyncState {
    /// Returns the offset of the next read; `None` if it must list everything.
    pub fn offset(&self) -> Option<u64> {
        self.offset
    }

    /// Returns the staleness, in milliseconds; `None` before the first list.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records the start of a read of the log service.
    pub fn begin_read(&mut self, now_ms: u64) {
        self.read_began_ms = Some(now_ms);
    }

    /// Records a failed read; returns whether it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records a successful read; returns whether the previous one had failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Clears the offset, so that the next read lists everything.
    pub fn reset_offset(&mut self) {
        self.offset = None;
        self.read_began_ms = None;
    }

    /// Returns whether data up to `offset` may be applied. Older data than the current copy is rejected, whatever its
    /// source, so that a VM never goes back to an earlier state.
    pub fn accepts(&self, offset: u64) -> bool {
        self.offset.is_none_or(|current| offset >= current)
    }

    /// Records that the log ended at `offset` at `as_of_ms`; returns whether the staleness decreased.
    pub fn confirm(&mut self, offset: u64, as_of_ms: u64) -> bool {
        if !self.accepts(offset) {
            return false;
        }
        self.offset = Some(offset);
        let is_fresher = self.as_of_ms.is_none_or(|current_ms| as_of_ms > current_ms);
        if is_fresher {
            self.as_of_ms = Some(as_of_ms);
        }
        is_fresher
    }

    /// Returns the time at which this VM must read the log service; `draw` is uniformly random.
    pub fn next_read_ms(&self, timing: Timing, role: Role, draw: u64) -> u64 {
        let Some(read_began_ms) = self.read_began_ms else {
            return 0;
        };
        let (scheduled_ms, retry_max_ms) = match role {
            Role::Reader => (read_began_ms + timing.period_ms(), READER_RETRY_MAX_MS),
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
            return scheduled_ms;
        }
        let doublings = (self.failures - 1).min(16);
        let pause_ms = (RETRY_MIN_MS << doublings).min(retry_max_ms);
        let retry_ms = read_began_ms + pause_ms + draw % (pause_ms / 2);
        match role {
            Role::Reader => retry_ms,
            // An answer of a reader may have made the read unnecessary.
            Role::Follower => retry_ms.max(scheduled_ms),
        }
    }
}

/// Returns the time as of which a reader's answer is valid, on the clock of the VM that sent the request.
///
/// The request was sent at `sent_ms`, the reader held it for `waited_ms`, and the reader's copy then had a staleness of
/// `age_ms`. Neither the transit time of the answer nor a pause of the reader before sending it affects the result.
pub fn as_of_ms(sent_ms: u64, waited_ms: u64, age_ms: u64) -> u64 {
    (sent_ms + waited_ms).saturating_sub(age_ms)
}
