//! Check of a VM that has just started: whether its configuration is as new as those of the other VMs.

/// Time in which VMs that were told of a start answer, in milliseconds.
const ANSWER_MS: u64 = 300;

/// Time after its start after which a VM relies on what it knows, in milliseconds.
const CHECK_MAX_MS: u64 = 4_000;

/// Decides from when on a VM that has started relies on its configuration.
///
/// The log service may have continued from an older copy of its data, and VMs that run for longer may know a newer
/// configuration than it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartCheck {
    started_ms: u64,
    /// Time at which the other VMs were told of the start, in milliseconds.
    announced_ms: Option<u64>,
    /// Whether a VM that reads for others has told what it knows.
    has_view: bool,
    is_over: bool,
}

/// What a VM knows of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Whether all VMs whose addresses are known were heard.
    pub is_complete: bool,
    /// Newest version of a configuration that one of them has; 0 if none has one.
    pub newest_version: u64,
}

impl StartCheck {
    /// Begins the check.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            announced_ms: None,
            has_view: false,
            is_over: false,
        }
    }

    /// Records that the other VMs were told of the start.
    pub fn record_announcement(&mut self, now_ms: u64) {
        self.announced_ms = Some(now_ms);
    }

    /// Records that a VM that reads for others has told what it knows.
    pub fn record_view(&mut self) {
        self.has_view = true;
    }

    /// Returns whether the VM started so recently that others may know more than the log service told it.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.started_ms) < CHECK_MAX_MS
    }

    /// Returns whether the check was over when it was made last.
    pub fn was_over(&self) -> bool {
        self.is_over
    }

    /// Returns whether the VM relies on its configuration; once it does, it does so for good.
    pub fn is_over(&mut self, version: u64, heard: Heard, now_ms: u64) -> bool {
        let elapsed_ms = self.announced_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        let has_answers =
            elapsed_ms.is_some_and(|elapsed_ms| heard.is_complete || elapsed_ms >= ANSWER_MS);
        let is_newest = (has_answers || self.has_view) && version >= heard.newest_version;
        self.is_over = self.is_over || is_newest || !self.is_recent(now_ms);
        self.is_over
    }
}
