//! Which software version began each stream, so that it goes on only there.
//!
//! What two versions of an endpoint's software write does not fit together, and endpoints do not check it. A caller that
//! takes a stream up names only its own attempt that brought the first event. The VMs tell each other what began at which
//! version; where several versions serve, it is also kept in the log service.

use std::collections::HashMap;

use crate::Name;
use crate::hash::hash_name;
use crate::hash::mix;

/// Most streams that are remembered.
const STREAMS_MAX: usize = 65_536;

/// Time for which each round of adverts repeats what was learned, in milliseconds; some of the datagrams may be lost.
pub const NEWS_MS: u64 = 900;

/// Hash of the id of a caller's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

impl From<&str> for AttemptKey {
    fn from(id: &str) -> Self {
        Self(hash_name(id))
    }
}

/// Hash of a service's name and a version of its endpoints' software, the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareKey(pub u64);

impl SoftwareKey {
    /// Returns the key of a version of a service's software.
    pub fn new(service: &Name, version: &Name) -> Self {
        Self(mix(
            mix(hash_name(service.as_str())) ^ hash_name(version.as_str())
        ))
    }
}

/// A stream that began at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Attempt that brought its first event.
    pub attempt: AttemptKey,
    /// Version at which it began; `None` if that is not certain.
    pub software: Option<SoftwareKey>,
    /// Time since its last attempt began or took it up, in milliseconds.
    pub age_ms: u64,
}

/// Who passed on the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// This VM.
    Here,
    /// Another VM of this data centre, or of a fleet in which all VMs tell each other.
    Nearby,
    /// A VM of another data centre, or the log service.
    Elsewhere,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    software: Option<SoftwareKey>,
    at_ms: u64,
    learned: Learned,
    learned_at_ms: u64,
}

/// The streams that began lately, and where.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<AttemptKey, Stream>,
}

impl StreamOrigins {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this VM passes on the first event of a stream, or of what is taken up of it.
    pub fn record(&mut self, attempt: AttemptKey, software: Option<SoftwareKey>, now_ms: u64) {
        let origin = StreamOrigin {
            attempt,
            software,
            age_ms: 0,
        };
        self.add(origin, Learned::Here, now_ms);
    }

    /// Merges what another VM or the log service knows.
    pub fn merge(&mut self, origins: &[StreamOrigin], learned: Learned, now_ms: u64) {
        for origin in origins {
            self.add(*origin, learned, now_ms);
        }
    }

    fn add(&mut self, origin: StreamOrigin, learned: Learned, now_ms: u64) {
        let at_ms = now_ms.saturating_sub(origin.age_ms);
        if let Some(known) = self.streams.get_mut(&origin.attempt) {
            known.at_ms = known.at_ms.max(at_ms);
            if known.software != origin.software && known.software.is_some() {
                // One of them is wrong, and which one cannot be told.
                known.software = None;
                known.learned_at_ms = now_ms;
            }
            return;
        }
        if self.streams.len() >= STREAMS_MAX {
            return;
        }
        self.streams.insert(
            origin.attempt,
            Stream {
                software: origin.software,
                at_ms,
                learned,
                learned_at_ms: now_ms,
            },
        );
    }

    /// Returns what is known of the stream that an attempt began: `None` if nothing is.
    pub fn find(&self, attempt: AttemptKey) -> Option<StreamOrigin> {
        let stream = self.streams.get(&attempt)?;
        Some(StreamOrigin {
            attempt,
            software: stream.software,
            age_ms: 0,
        })
    }

    /// Returns the streams that were learned since a time, as far as `learned` is among `sources`.
    pub fn since(&self, since_ms: u64, sources: &[Learned], now_ms: u64) -> Vec<StreamOrigin> {
        let mut origins = Vec::new();
        for (attempt, stream) in &self.streams {
            if stream.learned_at_ms < since_ms || !sources.contains(&stream.learned) {
                continue;
            }
            origins.push(StreamOrigin {
                attempt: *attempt,
                software: stream.software,
                age_ms: now_ms.saturating_sub(stream.at_ms),
            });
        }
        origins
    }

    /// Forgets streams that nobody can take up any more.
    pub fn expire(&mut self, lifetime_ms: u64, now_ms: u64) {
        self.streams
            .retain(|_, stream| now_ms.saturating_sub(stream.at_ms) < lifetime_ms);
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
