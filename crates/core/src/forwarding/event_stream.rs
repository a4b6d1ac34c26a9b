//! Splits a `text/event-stream` body into complete events.

/// Maximum length of an event, in bytes; longer input is not treated as an event stream.
const EVENT_MAX_BYTES: usize = 262_144;

/// Buffers the incomplete last event of a stream and tracks the id of the last complete event.
///
/// # Examples
///
/// ```
/// use waxwing_core::forwarding::event_stream::EventSplitter;
///
/// let mut splitter = EventSplitter::new(None);
/// assert_eq!(splitter.push(b"id: 7\ndata: a\n\nid: 8\nda"), b"id: 7\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some("7"));
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Creates a splitter; `last_id` is the id of the event after which the caller resumes.
    pub fn new(last_id: Option<String>) -> Self {
        Self {
            pending: Vec::new(),
            last_id,
            events: 0,
        }
    }

    /// Appends bytes and returns the events and comments that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let block = &self.pending[end..end + length];
            end += length;
            if is_comment(block) {
                continue;
            }
            if let Some(id) = event_id(block) {
                self.last_id = Some(id);
            }
            self.events += 1;
        }
        let rest = self.pending.split_off(end);
        std::mem::replace(&mut self.pending, rest)
    }

    /// Returns whether the incomplete event exceeds the maximum length.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_MAX_BYTES
    }

    /// Returns whether an event has begun that is not complete; comments and blank lines are none.
    pub fn has_incomplete(&self) -> bool {
        !is_comment(&self.pending)
    }

    /// Removes and returns the bytes after the last complete event, for a body that ended properly.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Discards the incomplete event of an interrupted run.
    pub fn drop_incomplete(&mut self) {
        self.pending.clear();
    }

    /// Returns the id of the last complete event that had one, or the id that the splitter was created with.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events, not counting comments.
    pub fn event_count(&self) -> u64 {
        self.events
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if (line.is_empty() || line == b"\r") && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Returns whether a block consists of comments only, such as keep-alive comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<String> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return Some(String::from_utf8_lossy(value).trim().to_owned());
    }
    None
}
