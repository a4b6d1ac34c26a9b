//! Position and staleness of a VM's copy of a topic, and the schedule of its reads of the log service.

use std::ops::Range;

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

/// Position in a topic.
///
/// The log service can lose its latest records and continue from an older copy of its data, and then gives out their
/// offsets again. It starts a new timeline each time. Offsets of different timelines cannot be compared, and positions are
/// ordered by their timeline first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Timeline of the log service; 0 if it states none.
    pub timeline: u64,
    /// Offset after the last record.
    pub offset: u64,
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

    /// Returns the range of the delay with which a follower lists a topic in a new timeline, in milliseconds.
    ///
    /// The readers list it at once and answer most followers within the delay.
    pub fn list_delay_ms(self) -> Range<u64> {
        self.bound_ms * 40 / 100..self.bound_ms * 80 / 100
    }

    /// Returns the maximum pause of a follower after failed reads, in milliseconds.
    fn retry_max_ms(self) -> u64 {
        self.bound_ms * 50 / 100
    }
}

/// Position and staleness of a VM's copy of one topic, and the state of its reads of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncState {
    /// Position after the last applied record; `None` before the first full list.
    confirmed: Option<Position>,
    /// Newest known timeline of the log service.
    timeline: u64,
    /// Whether records are missing, so that the next read must list everything.
    must_list: bool,
    /// Monotonic time at which the newest timeline became known, in milliseconds; `None` once the copy belongs to it.
    timeline_since_ms: Option<u64>,
    /// Monotonic time at which the log was known to end at `confirmed`, in milliseconds.
    as_of_ms: Option<u64>,
    /// Monotonic time at which this VM's last read began, in milliseconds.
    read_began_ms: Option<u64>,
    /// Consecutive failed reads of this VM.
    failures: u32,
    /// Whether the log service could not be reached since the last read began.
    is_interrupted: bool,
}

impl SyncState {
    /// Returns the position of the copy; `None` if records are missing, so that the next read must list everything.
    pub fn position(&self) -> Option<Position> {
        self.confirmed.filter(|_| !self.must_list)
    }

    /// Returns the offset to read on from; `None` if the next read must list everything.
    ///
    /// If the log service states no timeline, only a list shows what it lost while it could not be reached.
    pub fn read_offset(&self) -> Option<u64> {
        let position = self.position()?;
        (position.timeline > 0 || !self.is_interrupted).then_some(position.offset)
    }

    /// Returns the position of the last copy that was complete, also if records are missing since.
    pub fn last_position(&self) -> Option<Position> {
        self.confirmed
    }

    /// Returns the newest known timeline of the log service; 0 if none is known.
    pub fn timeline(&self) -> u64 {
        self.timeline
    }

    /// Returns the time since a new timeline became known to which the copy does not belong yet, in milliseconds.
    pub fn incomplete_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.timeline_since_ms;
        since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Records a timeline of the log service; a newer one than the known one lets the next read list everything.
    pub fn record_timeline(&mut self, timeline: u64, now_ms: u64) {
        if timeline > self.timeline {
            self.timeline = timeline;
            self.must_list = true;
            self.timeline_since_ms = self.confirmed.map(|_| now_ms);
        }
    }

    /// Returns the staleness, in milliseconds; `None` before the first list.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records the start of a read of the log service, and returns the offset to read on from, as
    /// [`read_offset`](Self::read_offset) does.
    pub fn begin_read(&mut self, now_ms: u64) -> Option<u64> {
        let offset = self.read_offset();
        self.read_began_ms = Some(now_ms);
        self.is_interrupted = false;
        offset
    }

    /// Records that the log service could not be reached, by this read or that of another topic.
    pub fn record_interruption(&mut self) {
        self.is_interrupted = true;
    }

    /// Records a failed read; returns whether it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.record_interruption();
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records a successful read; returns whether the previous one had failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Records that the log service no longer has the records after a position that it was read from, so that the next
    /// read must list everything, at once.
    ///
    /// It is ignored if the copy has another position by now, or belongs to an earlier timeline and is listed anyway.
    pub fn record_dropped(&mut self, position: Option<Position>) {
        if self.confirmed == position && self.timeline_since_ms.is_none() {
            self.must_list = true;
            self.read_began_ms = None;
        }
    }

    /// Records that the log service lost records without a new timeline, so that any offset is accepted.
    pub fn record_loss(&mut self) {
        self.confirmed = None;
        self.must_list = true;
    }

    /// Returns whether data up to `position` may be applied. Older data than the current copy is rejected, whatever its
    /// source, so that a VM never goes back to an earlier state.
    pub fn accepts(&self, position: Position) -> bool {
        let current = self.confirmed.unwrap_or_default();
        position.timeline >= self.timeline && position >= current
    }

    /// Records that the log ended at `position` at `as_of_ms`; returns whether the staleness decreased.
    pub fn confirm(&mut self, position: Position, as_of_ms: u64) -> bool {
        if !self.accepts(position) {
            return false;
        }
        self.timeline = position.timeline;
        self.confirmed = Some(position);
        self.must_list = false;
        self.timeline_since_ms = None;
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
        let retry_max_ms = match role {
            Role::Reader => READER_RETRY_MAX_MS,
            Role::Follower => timing.retry_max_ms(),
        };
        let scheduled_ms = match (role, self.timeline_since_ms) {
            (Role::Reader, Some(since_ms)) => since_ms,
            (Role::Reader, None) => read_began_ms + timing.period_ms(),
            (Role::Follower, Some(since_ms)) => {
                let delay_ms = timing.list_delay_ms();
                let range_ms = delay_ms.end - delay_ms.start;
                since_ms + delay_ms.start + draw % range_ms.max(1)
            }
            (Role::Follower, None) => {
                let jitter_ms = draw % timing.jitter_ms().max(1);
                let as_of_ms = self.as_of_ms.unwrap_or(0);
                as_of_ms + timing.stale_after_ms() + jitter_ms
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
